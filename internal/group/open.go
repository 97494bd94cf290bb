package group

import (
	"math/rand/v2"
	"os"
	"slices"

	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// HoldsStore reports whether a folder holds a member's store.
func HoldsStore(dir string) bool {
	entries, err := os.ReadDir(dir)
	return err == nil && len(entries) > 0
}

// openStore opens the store, or makes one on a new disk.
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
		return nil, recovered, errors.Wrapf(ErrIdentity, "group %s: store has %x, asked for %x", o.Name, recovered.Identity, o.ID)
	}
	return store, recovered, nil
}

// bootstrap writes the initial state on a disk that has none. A disk that took
// part before is never bootstrapped again.
func bootstrap(o Options, store *storage.Store, recovered storage.Recovered) (replog.Restored, error) {
	if len(o.Bootstrap) == 0 || !recovered.Empty() {
		return recovered.Restored(), nil
	}
	named := slices.ContainsFunc(o.Bootstrap, func(m replog.Member) bool { return m.ID == recovered.Identity })
	if !named {
		return replog.Restored{}, errors.Wrapf(ErrNotMember, "group %s: bootstrap does not name %x", o.Name, recovered.Identity)
	}
	initial := replog.Bootstrap(o.Bootstrap)
	return initial, store.InstallSnapshot(initial.HardState, initial.Snapshot, nil)
}

// openNode restores the member and its application.
func openNode(o Options, store *storage.Store, recovered storage.Recovered) (*replog.Node, error) {
	restored, err := bootstrap(o, store, recovered)
	if err != nil {
		return nil, err
	}
	if len(restored.SnapshotData) > 0 {
		if err := o.Applier.Restore(restored.Snapshot.Index, restored.SnapshotData); err != nil {
			return nil, errors.Wrapf(err, "group %s: restore", o.Name)
		}
	}
	config := replog.Config{
		ID: recovered.Identity, Name: o.HostName,
		ElectionTimeout: o.Election, HeartbeatInterval: o.Heartbeat, QuorumTimeout: o.QuorumTimeout,
		MaxInflight: maxInflight,
		Rand:        rand.New(rand.NewPCG(o.Seed, recovered.Identity)),
	}
	node, err := replog.New(config, restored, 0)
	return node, errors.Wrapf(err, "group %s", o.Name)
}
