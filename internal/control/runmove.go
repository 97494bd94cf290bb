package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/ownership"
)

// errNotSealed means that a slot's run records cannot be moved, because new ones may still be
// added.
var errNotSealed = errors.New("run records of a slot are not sealed")

// maxMoveBytes is the approximate limit on the run records in one proposal. It is well below
// group.MaxProposalBytes.
const maxMoveBytes = 1 << 20

// runMove moves the run records of a service's retired slots to the slots' new homes. Each step
// is idempotent, so a later leader may repeat it.
type runMove struct {
	group   string // of the region that gives up the slots
	service string
	state   *regionState
	// propose commits ledger commands in a group. It returns an error if one is refused.
	propose func(ctx context.Context, group string, commands [][]byte) error
}

// move copies the records to the new homes and then removes them here. After an error the move
// must not be confirmed, but retried.
func (m *runMove) move(ctx context.Context, slots []int, homes []ownership.Home) error {
	if err := m.seal(ctx, slots, homes); err != nil {
		return err
	}
	if err := m.copy(ctx, slots, homes); err != nil {
		return err
	}
	return m.drop(ctx, slots, homes)
}

// seal seals the slots that retirement did not seal: those whose home moved to this region and
// away again before the region adopted them.
func (m *runMove) seal(ctx context.Context, slots []int, homes []ownership.Home) error {
	batch := runBatch{move: m, group: m.group}
	for _, slot := range slots {
		generation := homes[slot].Generation
		if m.sealed(slot, generation) {
			continue
		}
		seal := ledger.Seal{Service: m.service, Slot: slot, Move: generation}
		if err := batch.add(ctx, ledger.Command{Seal: &seal}); err != nil {
			return err
		}
	}
	return batch.flush(ctx)
}

func (m *runMove) sealed(slot int, generation uint64) bool {
	m.state.mu.RLock()
	defer m.state.mu.RUnlock()
	return isSealed(m.state.runs.SlotStatus(m.service, slot), generation)
}

func isSealed(status ledger.SlotStatus, generation uint64) bool {
	return status.Sealed && !status.Adopting && status.Move == generation
}

// copy adds the records of every slot to the ledger of its new home. One proposal may hold many
// slots, and a large slot is split over several proposals.
func (m *runMove) copy(ctx context.Context, slots []int, homes []ownership.Home) error {
	batches := map[string]*runBatch{}
	for _, slot := range slots {
		to := homes[slot].To
		if batches[to] == nil {
			batches[to] = &runBatch{move: m, group: to}
		}
		if err := m.copySlot(ctx, batches[to], slot, homes[slot].Generation); err != nil {
			return err
		}
	}
	for _, batch := range batches {
		if err := batch.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *runMove) copySlot(ctx context.Context, batch *runBatch, slot int, generation uint64) error {
	records, err := m.extract(slot, generation)
	if err != nil {
		return err
	}
	for _, chunk := range records.Split(maxMoveBytes) {
		if err := batch.add(ctx, ledger.Command{Adopt: &ledger.Adopt{Chunk: chunk}}); err != nil {
			return err
		}
	}
	return nil
}

// extract returns the records of a slot, or errNotSealed.
func (m *runMove) extract(slot int, generation uint64) (ledger.SlotChunk, error) {
	m.state.mu.RLock()
	defer m.state.mu.RUnlock()
	status := m.state.runs.SlotStatus(m.service, slot)
	if !isSealed(status, generation) {
		return ledger.SlotChunk{}, errors.Wrapf(errNotSealed, "service %q slot %d: %+v, want move %d", m.service, slot, status, generation)
	}
	return m.state.runs.Extract(m.service, slot)
}

func (m *runMove) drop(ctx context.Context, slots []int, homes []ownership.Home) error {
	batch := runBatch{move: m, group: m.group}
	for _, slot := range slots {
		drop := ledger.Drop{Service: m.service, Slot: slot, Move: homes[slot].Generation}
		if err := batch.add(ctx, ledger.Command{Drop: &drop}); err != nil {
			return err
		}
	}
	return batch.flush(ctx)
}

// runBatch collects ledger commands for the next proposal to a group.
type runBatch struct {
	move     *runMove
	group    string
	commands [][]byte
	size     int // bytes
}

// add adds a command. It first flushes the batch if the batch would exceed maxMoveBytes.
func (b *runBatch) add(ctx context.Context, command ledger.Command) error {
	data, err := command.Encode()
	if err != nil {
		return err
	}
	if b.size+len(data) > maxMoveBytes {
		if err := b.flush(ctx); err != nil {
			return err
		}
	}
	b.commands = append(b.commands, data)
	b.size += len(data)
	return nil
}

func (b *runBatch) flush(ctx context.Context) error {
	if len(b.commands) == 0 {
		return nil
	}
	commands := b.commands
	b.commands, b.size = nil, 0
	return b.move.propose(ctx, b.group, commands)
}
