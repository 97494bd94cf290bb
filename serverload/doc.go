// Package serverload shares what gateways learn of the load and the speed of backend servers. At the leader, a Tracker
// keeps the newest load report of each server, and its speed, and makes digests of what has changed. At a gateway, a
// View holds what the digests say.
//
// What was learned of a server is forgotten a minute after the last news of it (Forgotten): at the leader, after the last
// observation of any gateway; at a gateway, after its own last observation. The leader lists the servers that it forgets, and
// a View without digests forgets all of them.
//
// The package does no I/O, reads no clock and uses no locks: times are durations since an arbitrary origin.
package serverload

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// loadStep is the resolution of the requests per slot, and unknownLoad the level that stands for an unknown load.
	loadStep    = 0.25
	unknownLoad = 15
	// ageStep is the resolution of ages, and maxAge the greatest level of them.
	ageStep = 125 * time.Millisecond
	maxAge  = 15
	// speedSteps is the number of levels by which the speed doubles, and maxSpeedLevel the greatest level.
	speedSteps    = 8
	maxSpeedLevel = 24
	// entryBytes is the size of an entry: a hash and a level.
	entryBytes = 5
)

// serverMemory is the time after which a server without news is forgotten.
const serverMemory = time.Minute

// Forgotten reports whether what was learned of a server does not count any more. newsAt is the time of the last news of
// the server.
func Forgotten(now, newsAt time.Duration) bool { return now-newsAt > serverMemory }

// Hash returns the hash of a server's ID that stands for it in digests.
func Hash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

func loadLevel(perSlot float64) uint8 {
	return uint8(min(max(math.Round(perSlot/loadStep), 0), unknownLoad-1))
}

func speedLevel(logSpeed float64) int8 {
	return int8(min(max(math.Round(logSpeed/math.Ln2*speedSteps), -maxSpeedLevel), maxSpeedLevel))
}

func speedOf(level int8) float64 { return math.Exp2(float64(level) / speedSteps) }
