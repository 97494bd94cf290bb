package entry

import "math/rand/v2"

// Chooser picks a server of a service that is not divided by key.
type Chooser interface {
	// Choose returns the index of a server, or -1. outstanding returns a
	// server's requests running or waiting at this host.
	Choose(servers []Server, outstanding func(Server) int) int
}

// leastOutstanding picks the server with the fewest outstanding requests, and
// one of them at random when there are several.
type leastOutstanding struct{ random *rand.Rand }

// Choose implements Chooser.
func (c leastOutstanding) Choose(servers []Server, outstanding func(Server) int) int {
	best, bestLoad, ties := -1, 0, 0
	for i, server := range servers {
		load := outstanding(server)
		switch {
		case best < 0 || load < bestLoad:
			best, bestLoad, ties = i, load, 1
		case load == bestLoad:
			ties++
			if c.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
