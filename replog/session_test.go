package replog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSessions runs the scripts in testdata/sessions. See session.command for the commands.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		session := &session{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return session.command(t, d)
		})
	})
}

type session struct {
	*sim
	context uint64
}

func (s *session) command(t *testing.T, d *datadriven.TestData) string {
	var name, other string
	d.MaybeScanArgs(t, "host", &name)
	d.MaybeScanArgs(t, "to", &other)
	count, millis, id := 1, 0, uint64(0)
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "ms", &millis)
	d.MaybeScanArgs(t, "id", &id)
	var h *host
	if name != "" {
		if h = s.find(name); h == nil {
			return "no such host"
		}
		name = h.name
	}
	switch d.Cmd {
	case "new":
		s.sim = newSim(t.Fatalf, sessionMembers(d))
		d.MaybeScanArgs(t, "pad", &s.pad)
	case "run": // advances the time and delivers messages
		s.run(time.Duration(millis) * time.Millisecond)
	case "tick": // advances the time without delivering messages
		s.advance(time.Duration(millis) * time.Millisecond)
	case "deliver":
		for len(s.queue) > 0 {
			s.deliver(0, false)
		}
	case "drop":
		s.queue = nil
	case "cut", "heal":
		for _, o := range s.hosts {
			if o != h && (other == "" || o.name == other) {
				s.setBlocked(name, o.name, d.Cmd == "cut")
			}
		}
		return ""
	case "pause":
		h.paused = true
	case "resume": // returns the status before the host handles any message or tick
		h.paused = false
		return s.status()
	case "restart":
		s.start(h)
	case "lose-disk":
		s.loseDisk(h, id)
	case "propose":
		for i := range count {
			if err := s.propose(h, fmt.Sprint(i)); err != nil {
				return err.Error()
			}
		}
		s.processReady(h)
	case "read":
		s.context++
		if err := s.read(h, s.context); err != nil {
			return err.Error()
		}
		s.processReady(h)
	case "answers":
		answers := h.reads
		h.reads = nil
		return strings.Join(answers, "\n")
	case "member":
		return s.member(d, h, id)
	case "transfer":
		if err := h.node.TransferLeadership(s.clock(h), s.find(other).id); err != nil {
			return err.Error()
		}
		s.processReady(h)
	case "compact":
		if err := s.compact(h, 0); err != nil {
			return err.Error()
		}
	case "status":
		return s.status()
	case "queue":
		return s.messages()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// sessionMembers returns one member per host, with IDs from 1.
func sessionMembers(d *datadriven.TestData) []Member {
	var members []Member
	for i, name := range slices.Concat(d.CmdArgs[0].Vals) {
		members = append(members, Member{ID: uint64(i + 1), Name: name})
	}
	return members
}

func (s *session) member(d *datadriven.TestData, h *host, id uint64) string {
	kinds := map[string]MemberChangeKind{"add": AddLearner, "promote": Promote, "remove": Remove}
	change := MemberChange{Kind: kinds[d.CmdArgs[1].Key], Member: Member{ID: id, Name: fmt.Sprintf("m%d", id)}}
	if _, _, err := h.node.ProposeMember(s.clock(h), change); err != nil {
		return err.Error()
	}
	s.processReady(h)
	return ""
}

func (s *session) status() string {
	var b strings.Builder
	for _, h := range s.hosts {
		st := h.node.Status(s.clock(h))
		fmt.Fprintf(&b, "%s id=%d %s term=%d leader=%d commit=%d last=%d snapshot=%d leads=%v members=",
			h.name, st.ID, st.Role, st.Term, st.Leader, st.Commit, st.Last, st.SnapshotIndex, st.Leads)
		for i, m := range st.Members {
			if i > 0 {
				b.WriteString(",")
			}
			fmt.Fprint(&b, m.ID)
			if m.Learner {
				b.WriteString("L")
			}
			if m.Lost {
				b.WriteString("!")
			}
		}
		if h.paused {
			b.WriteString(" paused")
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (s *session) messages() string {
	var b strings.Builder
	for _, m := range s.queue {
		fmt.Fprintf(&b, "%d>%d kind=%d term=%d index=%d entries=%d offset=%d reject=%v\n",
			m.From, m.To, m.Kind, m.Term, m.Index, len(m.Entries), m.Offset, m.Reject)
	}
	return b.String()
}
