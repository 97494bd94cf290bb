package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/replog"
)

// observeVoters logs and counts the voters of the replicated log and the losses that they bear. It is
// called by the goroutine of the log.
func (h *Host) observeVoters(status group.Status) {
	quorum := status.Node.Quorum()
	h.metrics.voters.Set(float64(quorum.Voters))
	h.observeFailure(status)
	h.observeJoin(status.Node)
	if status.Node.Role != replog.Leader {
		h.metrics.liveVoters.Set(0)
		h.metrics.quorumMargin.Set(0)
		return
	}
	h.metrics.liveVoters.Set(float64(quorum.Live))
	h.metrics.quorumMargin.Set(float64(quorum.Margin))
	log.WithFields(log.Fields{
		"voters": quorum.Voters, "live": quorum.Live, "margin": quorum.Margin,
		"tolerated_losses": h.settings.ToleratedLosses, "term": status.Node.Term,
	}).Info("voters of the replicated log changed")
}

// memberChangeNames are the names of the changes that a leader makes by itself, for the log.
var memberChangeNames = map[replog.MemberChangeKind]string{
	replog.Promote: "learner promoted",
	replog.Remove:  "silent member removed",
	replog.Swap:    "learner swapped in for a voter",
}

func (h *Host) logMemberChange(change replog.MemberChange) {
	log.WithFields(log.Fields{
		"change": memberChangeNames[change.Kind], "member": change.Member.Name, "id": change.Member.ID, "replaced": change.Replaced,
	}).Info("member change proposed")
}

// logSlowWrite logs a write that took the election timeout or longer, which bounds the rate of these lines.
func (h *Host) logSlowWrite(took time.Duration) {
	log.WithFields(log.Fields{"host": h.name, "elapsed_ms": took.Milliseconds()}).Warn("write of the replicated log was slow")
}

func (h *Host) observeFailure(status group.Status) {
	failed := status.Failed != nil && !errors.Is(status.Failed, group.ErrStopped)
	if failed == h.logFailed.Swap(failed) {
		return
	}
	if !failed {
		h.metrics.logFailed.Set(0)
		log.WithField("host", h.name).Info("replicated log opened again")
		return
	}
	h.metrics.logFailed.Set(1)
	log.WithError(status.Failed).WithField("host", h.name).Error("replicated log failed; this host takes no part in it")
}

// observeLogSize records how much of the log is in memory.
func (h *Host) observeLogSize(status replog.Status) {
	h.metrics.logBytes.WithLabelValues("entries").Set(float64(status.EntryBytes))
	h.metrics.logBytes.WithLabelValues("snapshot").Set(float64(status.SnapshotBytes))
}

// observeJoin records how long this host took to become a voter, since its start or since it was
// removed.
func (h *Host) observeJoin(status replog.Status) {
	voting := isVoter(status)
	if voting == h.voting.Swap(voting) {
		return
	}
	if !voting {
		h.joiningSince.Store(int64(clock.Now()))
		return
	}
	elapsed := clock.Now() - time.Duration(h.joiningSince.Load())
	h.metrics.joinSeconds.Observe(elapsed.Seconds())
	log.WithFields(log.Fields{"host": h.name, "joining_ms": elapsed.Milliseconds()}).Info("host is a voter of the replicated log")
}
