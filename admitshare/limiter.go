package admitshare

import (
	"slices"
	"time"
)

const (
	// PlanLifetime is how long a plan counts after a gateway received it.
	PlanLifetime = 1500 * time.Millisecond
	// minReturnFraction and maxReturnFraction bound the delay after which a refused client is asked to return, as
	// parts of its time left. The later returns still leave time to be served.
	minReturnFraction, maxReturnFraction = 0.1, 0.33
	// minSlackFraction and maxSlackFraction bound it, as parts of the slack until its latency target, while there is one: what
	// is left is for the way of both requests and for a wait.
	minSlackFraction, maxSlackFraction = 0.1, 0.5
)

// Limiter applies the leader's plan to the requests of one gateway. The zero value admits all requests. It is not
// safe for concurrent use.
type Limiter struct {
	fractions  map[Group]int64 // thousandths
	queued     []string        // services
	credits    map[Group]float64
	receivedAt time.Duration
}

// Update replaces the plan.
func (l *Limiter) Update(now time.Duration, plan Plan) {
	credits := make(map[Group]float64, len(plan.Groups))
	l.fractions = make(map[Group]int64, len(plan.Groups))
	for _, f := range plan.Groups {
		l.fractions[f.Group] = f.Permille
		if credit, known := l.credits[f.Group]; known {
			credits[f.Group] = credit
		}
	}
	l.credits, l.queued, l.receivedAt = credits, plan.Queued, now
}

// Queued reports whether the requests of a service get their servers from the leader.
func (l *Limiter) Queued(now time.Duration, service string) bool {
	return l.Fresh(now) && slices.Contains(l.queued, service)
}

// Fresh reports whether there is a plan that counts.
func (l *Limiter) Fresh(now time.Duration) bool {
	return l.fractions != nil && now-l.receivedAt < PlanLifetime
}

// Admit reports whether a request may be served. The part of a group's requests that is admitted differs from the
// plan by less than one request at any time. random is a uniform number in [0, 1) by which gateways start at different
// points: otherwise all would refuse the first request of each client.
func (l *Limiter) Admit(now time.Duration, group Group, random float64) bool {
	permille, limited := l.fractions[group]
	if !limited || !l.Fresh(now) {
		return true
	}
	credit, known := l.credits[group]
	if !known {
		credit = random
	}
	credit += float64(permille) / 1000
	admitted := credit >= 1
	if admitted {
		credit--
	}
	l.credits[group] = credit
	return admitted
}

// RetryAfter returns when a refused client is to return. The returns of the refused clients spread over the time in
// which a retry can still be served within the latency target, or else before the deadline. left is the time until the deadline,
// slack that until the target without the work, and random a uniform number in [0, 1).
func RetryAfter(left, slack time.Duration, random float64) time.Duration {
	latest := maxReturnFraction * float64(max(left, 0))
	if slack > 0 {
		fraction := minSlackFraction + (maxSlackFraction-minSlackFraction)*random
		return time.Duration(min(fraction*float64(slack), latest))
	}
	fraction := minReturnFraction + (maxReturnFraction-minReturnFraction)*random
	return time.Duration(fraction * float64(max(left, 0)))
}
