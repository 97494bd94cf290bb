package serverload

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// minInterval is the least time between two digests, and maxPerSecond the number of digests a second to all
	// gateways together: each is sent to each gateway as a separate message.
	minInterval  = 500 * time.Millisecond
	maxPerSecond = 400
	// bytesPerSecond bounds the digests to one gateway, without the full one at the start. If more servers have
	// changed, those that changed most are listed.
	bytesPerSecond = 900
	// headBytes is the size of a digest without entries, and of what its message adds.
	headBytes = 40
	// speedPart is the part of a digest that speeds may take.
	speedPart = 0.25
	// speedHysteresis is the least change of a speed's level that is listed.
	speedHysteresis = 2
	// loadMemory is the age of a server's newest load report from which its load is unknown.
	loadMemory = 3 * time.Second
	// speedMemory is the time constant of the decay of the observations of speeds, and speedPrior the weight, in
	// requests, of the assumption that a server has mean speed.
	speedMemory = 15 * time.Second
	speedPrior  = 4.0
	// failureMemory is the time constant of the decay of failures and answers.
	failureMemory = 2 * time.Second
	// minFailures is the number of failures from which a server may count as failing.
	minFailures = 1.5
	// maxObservationAge bounds the age that a report may have.
	maxObservationAge = 10 * time.Second
)

// Observation is what a gateway observed of a server.
type Observation struct {
	ServerID    string
	StartMillis int64
	Slots       int64

	Reported         bool // whether the next three fields count
	Running, Waiting int64
	Age              time.Duration // of the load report

	Failures int64 // requests that the server failed, or did not answer
	Answers  int64 // requests that it ran without a failure

	Samples  int64   // requests that show the server's speed
	SpeedSum float64 // sum of the logarithms of the speed that they show
}

// Tracker holds the loads and speeds of all servers. The zero value is empty.
type Tracker struct {
	servers map[string]*server
	nextAt  time.Duration // time of the next digest
}

type server struct {
	hash        uint32
	startMillis int64
	perSlot     float64
	at          time.Duration // time that perSlot stands for; 0 if there was no report
	observedAt  time.Duration
	failures    float64 // decayed, like answers
	answers     float64
	failuresAt  time.Duration // time to which they are decayed
	speedSum    float64
	samples     float64
	speedAt     time.Duration // time to which speedSum and samples are decayed
	sentLoad    uint8
	sentSpeed   int8
}

// Observe records an observation.
func (t *Tracker) Observe(now time.Duration, o Observation) {
	if o.Slots <= 0 || o.Running < 0 || o.Waiting < 0 || o.Age < 0 || o.Age > maxObservationAge || o.Samples < 0 {
		return
	}
	s := t.servers[o.ServerID]
	if s == nil || s.startMillis != o.StartMillis {
		if t.servers == nil {
			t.servers = map[string]*server{}
		}
		started := &server{hash: Hash(o.ServerID), startMillis: o.StartMillis, sentLoad: unknownLoad}
		if s != nil {
			started.sentLoad, started.sentSpeed = s.sentLoad, s.sentSpeed
		}
		s = started
		t.servers[o.ServerID] = s
	}
	s.observedAt = now
	s.observeFailures(now, o)
	if at := now - o.Age; o.Reported && (s.at == 0 || at > s.at) {
		s.at, s.perSlot = at, float64(o.Running+o.Waiting)/float64(o.Slots)
	}
	if o.Samples > 0 && math.Abs(o.SpeedSum) <= float64(o.Samples)*maxSpeedLevel {
		factor := math.Exp(-float64(now-s.speedAt) / float64(speedMemory))
		s.speedSum, s.samples, s.speedAt = s.speedSum*factor+o.SpeedSum, s.samples*factor+float64(o.Samples), now
	}
}

func (s *server) observeFailures(now time.Duration, o Observation) {
	factor := math.Exp(-float64(now-s.failuresAt) / float64(failureMemory))
	s.failures = s.failures*factor + float64(max(o.Failures, 0))
	s.answers = s.answers*factor + float64(max(o.Answers, 0))
	s.failuresAt = now
}

// failing reports whether the server fails most of its requests. It stands for a full one in the digests: its failures
// are often quick, so that it would attract all requests.
func (s *server) failing(now time.Duration) bool {
	decay := math.Exp(-float64(now-s.failuresAt) / float64(failureMemory))
	return s.failures*decay >= minFailures && s.failures > s.answers
}

// Load returns the requests per slot of a server, running and waiting, and whether they are known.
func (t *Tracker) Load(now time.Duration, serverID string) (perSlot float64, known bool) {
	s := t.servers[serverID]
	if s == nil || s.at == 0 || now-s.at > loadMemory || s.failing(now) {
		return 0, false
	}
	return s.perSlot, true
}

// Speed returns the speed of a server relative to the mean of its service; 1 if it is not known.
func (t *Tracker) Speed(serverID string) float64 {
	s := t.servers[serverID]
	if s == nil {
		return 1
	}
	return speedOf(s.speedLevel())
}

func (s *server) loadLevel(now time.Duration) uint8 {
	if s.failing(now) {
		return unknownLoad - 1
	}
	if s.at == 0 || now-s.at > loadMemory {
		return unknownLoad
	}
	return loadLevel(s.perSlot)
}

func (s *server) speedLevel() int8 { return speedLevel(s.speedSum / (s.samples + speedPrior)) }

// loadChange returns by how much the load differs from the one sent last; 0 if it doesn't.
func (s *server) loadChange(now time.Duration) int {
	level := s.loadLevel(now)
	if level == s.sentLoad {
		return 0
	}
	if level == unknownLoad || s.sentLoad == unknownLoad {
		return unknownLoad
	}
	return max(int(level), int(s.sentLoad)) - min(int(level), int(s.sentLoad))
}

// speedDue reports whether the speed is to be listed. That of a server that is forgotten follows the news that its load is
// unknown, by which a View tells it from a mean speed.
func (s *server) speedDue(now time.Duration) bool {
	change := int(s.speedLevel()) - int(s.sentSpeed)
	if Forgotten(now, s.observedAt) {
		return change != 0 && s.sentLoad == unknownLoad
	}
	return change >= speedHysteresis || change <= -speedHysteresis
}

// interval returns the time between two digests.
func interval(gateways int) time.Duration {
	return max(minInterval, time.Duration(gateways)*time.Second/maxPerSecond)
}

// Changes returns the digest that is due for a number of gateways, or false. Also a digest that lists nothing is sent:
// it tells that nothing has changed.
func (t *Tracker) Changes(now time.Duration, gateways int) (Digest, bool) {
	if now < t.nextAt || len(t.servers) == 0 {
		return Digest{}, false
	}
	every := interval(gateways)
	t.nextAt = now + every
	entries := (int(bytesPerSecond*every.Seconds()) - headBytes) / entryBytes
	var changed, speeds []*server
	for id, s := range t.servers {
		if Forgotten(now, s.observedAt) {
			if s.sentLoad == unknownLoad && s.sentSpeed == 0 { // gateways know nothing of it any more
				delete(t.servers, id)
				continue
			}
			s.speedSum, s.samples = 0, 0
		}
		if s.loadChange(now) > 0 {
			changed = append(changed, s)
		}
		if s.speedDue(now) {
			speeds = append(speeds, s)
		}
	}
	slices.SortFunc(changed, func(a, b *server) int { return cmp.Compare(b.loadChange(now), a.loadChange(now)) })
	speeds = speeds[:min(len(speeds), int(speedPart*float64(entries)))]
	changed = changed[:min(len(changed), entries-len(speeds))]
	var d Digest
	for _, s := range changed {
		s.sentLoad = s.loadLevel(now)
		d.Loads = s.appendLoad(d.Loads, now)
	}
	for _, s := range speeds {
		s.sentSpeed = s.speedLevel()
		d.Speeds = s.appendSpeed(d.Speeds)
	}
	return d, true
}

// Full returns a digest of all that was sent so far, for a gateway that has none of it.
func (t *Tracker) Full(now time.Duration) Digest {
	d := Digest{Full: true}
	for _, s := range t.servers {
		if s.sentLoad != unknownLoad {
			d.Loads = s.appendLoad(d.Loads, now)
		}
		if s.sentSpeed != 0 {
			d.Speeds = s.appendSpeed(d.Speeds)
		}
	}
	return d
}

func (s *server) appendLoad(b []byte, now time.Duration) []byte {
	age := uint8(min((now-s.at)/ageStep, maxAge))
	return append(binary.BigEndian.AppendUint32(b, s.hash), s.sentLoad<<4|age)
}

func (s *server) appendSpeed(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, s.hash), uint8(s.sentSpeed))
}
