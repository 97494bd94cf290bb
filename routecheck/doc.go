// Package routecheck checks a route configuration before it is put into force. It reports all reasons for which control
// hosts would refuse it, entries that never get requests, limits that contradict each other or the fleet, and the
// differences from the configuration in force.
//
// # Contract
//
//   - Check is a pure function. The package uses no network, clock or files.
//   - Equal inputs have equal reports. For a valid configuration, the order of its routes, services, shares and regions does
//     not matter.
//   - If the configuration in force is known, a report has errors if and only if control hosts would refuse the
//     configuration, with two exceptions. A configuration that is in force already has no errors: whether a put of it is
//     accepted or refused because of its base, it changes nothing. A put that was accepted earlier and has been replaced
//     since is acknowledged again without effect, but has errors: Check does not know earlier configurations.
//   - Checks that need something that is not known are left out.
package routecheck
