// Package admitshare shares the capacity of a service among gateways when more is demanded than there is.
//
// Each gateway sees a small part of the requests and can't tell how much of the capacity the others use.
// Gateways therefore report what they are asked for (Counter), the leader compares the sum with the capacity of
// the servers (Planner), and sends the fraction of each group of requests that is to be admitted. A gateway
// applies the fractions (Limiter) to each request as it arrives, so that a request that can't be served is
// refused at once. Fractions are the same for all gateways, so clients of a busy gateway and of a quiet one
// are served alike.
//
// Groups with a more urgent priority are planned first, and less urgent ones share what is left. The plan is
// corrected by the load that the servers report: estimates of capacity and of work are never exact.
//
// A plan counts for PlanLifetime. A gateway that has lost the leader for longer uses its own Throttle, which
// follows the part of its requests that servers accept (client-side throttling, in Beyer et al., "Site Reliability
// Engineering", O'Reilly 2016, chapter "Handling Overload").
//
// The package does no I/O and reads no clock: times are durations since an origin of the caller's choice.
package admitshare
