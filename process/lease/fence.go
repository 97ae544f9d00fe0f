package lease

import (
	"context"
	"sync"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// Fence is the fencing check in front of an engine: it rejects orders whose epoch
// is lower than the highest one seen for the lease. Before it checks the first order
// for a lease, it reads the lease's epoch from the table, so that a restart does not
// admit stale orders; after a restoration of the platform it waits until the holder has
// written there. It is safe for concurrent use.
type Fence struct {
	table platform.Table

	// mu guards fences. Lock order: mu before leaseFence.mu.
	mu     sync.Mutex
	fences map[string]*leaseFence
}

// leaseFence holds the highest epoch seen for one lease.
type leaseFence struct {
	// mu guards the fields below. It is held while an order is applied, so that
	// the check and the effect are atomic.
	mu     sync.Mutex
	loaded bool
	epoch  uint64
	// copied is the revision of a row that may come from an older copy of the platform,
	// once one was read.
	copied *platform.Revision
}

// NewFence returns a Fence that reads initial epochs from table.
func NewFence(table platform.Table) *Fence {
	return &Fence{table: table, fences: map[string]*leaseFence{}}
}

// Do calls apply if epoch is not lower than the highest one seen for the named lease.
// apply must return once the engine has accepted the order, not when the order
// has completed. Do fails with StaleEpochError, with a failure.Error of kind
// PlatformUnavailable if the initial epoch cannot be read, or with apply's error.
// In the first two cases it does not call apply.
func (f *Fence) Do(ctx context.Context, name string, epoch uint64, apply func() error) error {
	fence := f.fence(name)
	fence.mu.Lock()
	defer fence.mu.Unlock()
	if err := f.load(ctx, name, fence); err != nil {
		return err
	}
	if epoch < fence.epoch {
		return &StaleEpochError{Lease: name, Epoch: epoch, HighestSeen: fence.epoch}
	}
	fence.epoch = epoch
	return apply()
}

func (f *Fence) fence(name string) *leaseFence {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fences[name] == nil {
		f.fences[name] = &leaseFence{}
	}
	return f.fences[name]
}

// load reads the initial epoch from the lease row unless it has been read before. The
// caller holds fence.mu.
func (f *Fence) load(ctx context.Context, name string, fence *leaseFence) error {
	if fence.loaded {
		return nil
	}
	row, revision, err := readRow(ctx, f.table, name)
	if err == nil && !fence.isCurrent(row, revision, f.table.Era()) {
		err = ErrRowCopied
	}
	if err != nil {
		unavailable := failure.New(failure.PlatformUnavailable, failure.NotRun, "the lease's epoch is not known yet")
		return unavailable.WithCause(err)
	}
	fence.loaded, fence.epoch = true, row.Epoch
	return nil
}

// isCurrent reports whether a row was written since the platform last returned from an older
// copy, which its epoch shows, or a change since it was first read. A copy may show an epoch
// lower than one that was used before.
func (f *leaseFence) isCurrent(row Row, revision platform.Revision, era uint64) bool {
	if eraOf(row.Epoch) >= era {
		return true
	}
	if f.copied == nil {
		f.copied = &revision
	}
	return *f.copied != revision
}
