package control

import (
	"context"
	"slices"

	"github.com/galenalug/galenalug/internal/settings"
)

// InitializeData creates the initial durable state of every group that the host is a member of.
// It must run once on each host of a new deployment, and never on a host that lost its disk: a
// new disk is a new group member, and after Start the host asks the group's leader to admit it.
func InitializeData(s *settings.ControlSettings) error {
	h := newHost(Options{Settings: s})
	lock, err := lockData(s.DataDir)
	if err != nil {
		return err
	}
	defer lock.release()
	for _, g := range h.plan {
		if !slices.Contains(g.Replicas(), s.Name) {
			continue
		}
		runner, err := h.startRunner(g, true, nopApplier{})
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		runner.Stop(ctx)
	}
	return nil
}

// nopApplier is the state machine used while InitializeData creates a group's store.
type nopApplier struct{}

func (nopApplier) Apply(uint64, []byte) any { return nil }

func (nopApplier) Snapshot() ([]byte, error) { return nil, nil }

func (nopApplier) Restore(uint64, []byte) error { return nil }
