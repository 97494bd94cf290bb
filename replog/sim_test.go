package replog

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // fixed for reproducible schedules
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
	stepTime      = time.Millisecond // also the delay of messages in sim.run
)

// host is a member with its disk and its application, whose state is a hash of the
// applied entries.
type host struct {
	name    string
	id      uint64
	node    *Node
	disk    Restored
	rate    float64 // of its clock, relative to sim.now
	paused  bool
	hash    uint64
	applied uint64   // index of the last applied entry
	reads   []string // results of reads

	writeTime time.Duration // of each synced write
	writing   *Ready        // whose write is in progress, or nil
	writtenAt time.Duration // when that write ends, in sim.now
}

// sim drives hosts in virtual time and checks the invariants at each step.
type sim struct {
	fatalf  func(format string, args ...any)
	now     time.Duration
	hosts   []*host // in the order of their names
	queue   []Message
	blocked map[[2]string]bool // sender and receiver host names
	pad     int                // bytes added to each snapshot

	leaders      map[uint64]uint64 // by term
	entries      map[uint64]Entry  // applied, by index
	hashes       map[uint64]uint64 // application states, by index
	highest      uint64            // highest index known to be committed
	minReadIndex map[uint64]uint64 // by read context
	starts       uint64
}

func newSim(fatalf func(string, ...any), members []Member, rates ...float64) *sim {
	s := &sim{
		fatalf: fatalf, blocked: map[[2]string]bool{}, leaders: map[uint64]uint64{},
		entries: map[uint64]Entry{}, hashes: map[uint64]uint64{}, minReadIndex: map[uint64]uint64{},
	}
	for i, m := range members {
		h := &host{name: m.Name, id: m.ID, disk: Bootstrap(members), rate: 1}
		if i < len(rates) {
			h.rate = rates[i]
		}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

func (s *sim) clock(h *host) time.Duration { return time.Duration(float64(s.now) * h.rate) }

// start starts or restarts the host from its disk.
func (s *sim) start(h *host) {
	s.starts++
	config := Config{
		ID: h.id, Name: h.name, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		MaxEntriesPerMessage: 8, MaxInflight: 4, Rand: rand.New(rand.NewPCG(7, s.starts)),
	}
	restored := h.disk
	restored.Entries = slices.Clone(h.disk.Entries)
	node, err := New(config, restored, s.clock(h))
	if err != nil {
		s.fatalf("start %s: %v", h.name, err)
	}
	h.node, h.paused, h.writing = node, false, nil
	h.restore(h.disk.Snapshot.Index, h.disk.SnapshotData)
}

// restore sets the application state from a snapshot; the initial one is empty.
func (h *host) restore(index uint64, data []byte) {
	h.applied, h.hash = index, 0
	if len(data) > 0 {
		h.hash = binary.LittleEndian.Uint64(data)
	}
}

// loseDisk restarts the host with an empty disk under the given ID.
func (s *sim) loseDisk(h *host, id uint64) {
	h.id, h.disk = id, Restored{}
	s.start(h)
}

// find returns the host with the given name, or for "leader" a leader that is not paused.
func (s *sim) find(name string) *host {
	for _, h := range s.hosts {
		if h.name == name || name == "leader" && h.node.Role() == Leader && !h.paused {
			return h
		}
	}
	return nil
}

// processReady does the host's pending work in the order that Ready requires.
func (s *sim) processReady(h *host) {
	for {
		ready := h.node.Ready()
		if ready.Empty() {
			break
		}
		for _, m := range ready.Messages {
			s.checkDurable(h, m)
		}
		s.queue = append(s.queue, ready.Messages...)
		if snap := ready.Restore; snap != nil {
			h.restore(snap.Meta.Index, snap.Data)
			s.checkHash(h)
		}
		for _, e := range ready.Committed {
			s.apply(h, e)
		}
		for _, read := range ready.ReadStates {
			h.reads = append(h.reads, fmt.Sprintf("read %d index=%d lost=%v", read.Context, read.Index, read.Lost))
			if !read.Lost && read.Index < s.minReadIndex[read.Context] {
				s.fatalf("%s: read at index %d, but %d was committed before the read", h.name, read.Index, s.minReadIndex[read.Context])
			}
		}
		h.node.Advance()
		if ready.Writes() {
			h.writing, h.writtenAt = &ready, s.now
			if ready.MustSync {
				h.writtenAt += h.writeTime
			}
			s.finishWrite(h)
		}
	}
	s.check()
}

// finishWrite ends the host's write if it is due.
func (s *sim) finishWrite(h *host) {
	if h.writing == nil || s.now < h.writtenAt {
		return
	}
	h.write(*h.writing)
	h.writing = nil
	h.node.Written(s.clock(h))
}

func (h *host) write(ready Ready) {
	if ready.Snapshot != nil {
		h.disk.Snapshot, h.disk.SnapshotData, h.disk.Entries = ready.Snapshot.Meta, ready.Snapshot.Data, nil
	}
	if len(ready.Entries) > 0 {
		keep := ready.Entries[0].Index - 1 - h.disk.Snapshot.Index
		h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), ready.Entries...)
	}
	if ready.HardState != nil {
		h.disk.HardState = *ready.HardState
	}
}

// checkDurable verifies that the term, the vote and the entries that a message stands for are on the sender's disk.
func (s *sim) checkDurable(h *host, m Message) {
	if m.Kind == KindPreVote || m.Kind == KindPreVoteReply {
		return // promises nothing
	}
	state, snapshot := h.disk.HardState, h.disk.Snapshot.Index
	voted := m.Kind == KindVote && state.Vote != h.id || m.Kind == KindVoteReply && !m.Reject && state.Vote != m.To
	if m.Term != state.Term || voted {
		s.fatalf("%s sends %+v, but %+v is durable", h.name, m, state)
	}
	if m.Kind != KindAppendReply || m.Reject || m.Index <= snapshot {
		return
	}
	term, _ := h.node.log.term(m.Index)
	if at := m.Index - snapshot - 1; at >= uint64(len(h.disk.Entries)) || h.disk.Entries[at].Term != term {
		s.fatalf("%s acknowledges entry %d of term %d, which is not durable", h.name, m.Index, term)
	}
}

func (s *sim) apply(h *host, e Entry) {
	if e.Index != h.applied+1 {
		s.fatalf("%s: applies entry %d after %d", h.name, e.Index, h.applied)
	}
	known, ok := s.entries[e.Index]
	if ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		s.fatalf("%s: entry %d is %v, but was applied as %v before", h.name, e.Index, e, known)
	}
	s.entries[e.Index] = e
	s.highest = max(s.highest, e.Index)
	h.applied = e.Index
	h.hash = xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, h.hash), e.Data...))
	s.checkHash(h)
}

func (s *sim) checkHash(h *host) {
	if known, ok := s.hashes[h.applied]; ok && known != h.hash {
		s.fatalf("%s: application state at index %d differs from other hosts", h.name, h.applied)
	}
	s.hashes[h.applied] = h.hash
}

// check verifies that each term has at most one leader and that at most one member
// holds a lease.
func (s *sim) check() {
	var leaseholders []string
	for _, h := range s.hosts {
		if s.clock(h) < h.node.LeaseUntil() {
			leaseholders = append(leaseholders, h.name)
		}
		if h.node.Role() != Leader {
			continue
		}
		term := h.node.Term()
		if known := s.leaders[term]; known != 0 && known != h.id {
			s.fatalf("term %d has leaders %x and %x", term, known, h.id)
		}
		s.leaders[term] = h.id
	}
	if len(leaseholders) > 1 {
		s.fatalf("several members hold a lease: %v", leaseholders)
	}
}

// deliver delivers the i-th queued message, or drops it if the link is blocked or the
// receiver is paused. A duplicate stays in the queue.
func (s *sim) deliver(i int, duplicate bool) {
	m := s.queue[i]
	if !duplicate {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	from, to := s.byID(m.From), s.byID(m.To)
	if from == nil || to == nil || to.paused || s.blocked[[2]string{from.name, to.name}] {
		return
	}
	_ = to.node.Step(s.clock(to), m)
	s.processReady(to)
}

func (s *sim) byID(id uint64) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// advance advances the time and ticks the hosts, without delivering messages.
func (s *sim) advance(d time.Duration) {
	s.now += d
	for _, h := range s.hosts {
		if !h.paused {
			s.finishWrite(h)
			h.node.Tick(s.clock(h))
			s.processReady(h)
		}
	}
	s.check()
}

// run advances the time in small steps and delivers messages in order.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.advance(stepTime)
		for waiting := len(s.queue); waiting > 0; waiting-- {
			s.deliver(0, false)
		}
	}
}

func (s *sim) propose(h *host, data string) error {
	_, _, err := h.node.Propose(s.clock(h), []byte(data))
	return err
}

func (s *sim) read(h *host, context uint64) error {
	s.minReadIndex[context] = s.highest
	return h.node.ReadIndex(s.clock(h), context)
}

// compact takes a snapshot of the host's application and compacts its log.
func (s *sim) compact(h *host, keep int) error {
	meta, err := h.node.SnapshotMeta(h.applied)
	if err != nil {
		return err
	}
	data := append(binary.LittleEndian.AppendUint64(nil, h.hash), make([]byte, s.pad)...)
	h.disk.Entries = slices.Clone(h.disk.Entries[meta.Index-h.disk.Snapshot.Index:])
	h.disk.Snapshot, h.disk.SnapshotData = meta, data
	return h.node.Compact(meta, data, Retention{Entries: keep, Bytes: math.MaxInt})
}

func (s *sim) setBlocked(a, b string, blocked bool) {
	s.blocked[[2]string{a, b}] = blocked
	s.blocked[[2]string{b, a}] = blocked
}
