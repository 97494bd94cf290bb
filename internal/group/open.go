package group

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// HoldsStore reports whether dir contains a member's store, complete or damaged.
func HoldsStore(dir string) bool { return storage.Exists(dir, storage.Options{}) }

// openStore opens the store, or creates one if the disk has none.
func openStore(o Options) (*storage.Store, storage.Recovered, error) {
	store, recovered, err := storage.Open(o.Dir, o.Storage)
	if errors.Is(err, storage.ErrNotExist) {
		recovered = storage.Recovered{Identity: o.ID}
		store, err = storage.Create(o.Dir, o.ID, o.Storage)
	}
	if err != nil {
		return nil, recovered, errors.Wrapf(err, "group %s", o.Name)
	}
	if o.ID != 0 && recovered.Identity != o.ID {
		_ = store.Close()
		return nil, recovered, errors.Wrapf(ErrIdentity, "group %s: store has ID %x, configured ID is %x", o.Name, recovered.Identity, o.ID)
	}
	return store, recovered, nil
}

// bootstrap writes the initial state to an empty store. A disk that already holds state of the
// group is never bootstrapped again.
func bootstrap(o Options, store *storage.Store, recovered storage.Recovered) (replog.Restored, error) {
	if len(o.Bootstrap) == 0 || !recovered.Empty() {
		return recovered.Restored(), nil
	}
	isMember := slices.ContainsFunc(o.Bootstrap, func(m replog.Member) bool { return m.ID == recovered.Identity })
	if !isMember {
		return replog.Restored{}, errors.Wrapf(ErrNotMember, "group %s: ID %x is not in the list of initial members", o.Name, recovered.Identity)
	}
	initial := replog.Bootstrap(o.Bootstrap)
	return initial, store.InstallSnapshot(initial.HardState, initial.Snapshot, nil)
}

// openNode creates the node and restores the Applier from the stored snapshot, unless the Applier
// already has the entries up to it. applierIndex is the index of the last entry that it has.
func openNode(o Options, store *storage.Store, recovered storage.Recovered, now time.Duration, applierIndex uint64) (*replog.Node, error) {
	restored, err := bootstrap(o, store, recovered)
	if err != nil {
		return nil, err
	}
	if len(restored.SnapshotData) > 0 && restored.Snapshot.Index > applierIndex {
		if err := o.Applier.Restore(restored.Snapshot.Index, restored.SnapshotData); err != nil {
			return nil, errors.Wrapf(err, "group %s: restore", o.Name)
		}
	}
	config := replog.Config{
		ID: recovered.Identity, Name: o.HostName,
		ElectionTimeout: o.Election, HeartbeatInterval: o.Heartbeat, QuorumTimeout: o.QuorumTimeout,
		MaxInflight: maxInflight, MaxInflightBytes: o.MaxInflightBytes,
		Rand: rand.New(rand.NewPCG(o.Seed, recovered.Identity)),
	}
	node, err := replog.New(config, restored, now)
	return node, errors.Wrapf(err, "group %s", o.Name)
}
