package order

import (
	"bytes"
	"context"
	"errors"
	"time"

	"verbenaseam.example/verbenaseam/process/platform"
)

// Effect tells whether a record write took effect.
type Effect uint8

// Effects.
const (
	// EffectNone means that the write did not take effect and never will.
	EffectNone Effect = iota
	// EffectWritten means that the row holds the record now, at Revision.
	EffectWritten
	// EffectConflict means that the row holds something else, given in Row.
	EffectConflict
	// EffectUnknown means that the write may have taken or may still take
	// effect.
	EffectUnknown
)

// Write sets the row of one order if it is at a revision.
type Write struct {
	// Row is the row's name.
	Row string
	// Revision is the revision required; 0 requires absence.
	Revision int64
	// Content is the new content; it holds the attempt's nonce, so that equal
	// content proves the write's effect.
	Content []byte
}

// Written is what became of a Write.
type Written struct {
	Effect   Effect
	Revision int64
	// Row is the present row with EffectConflict.
	Row platform.Row
	// Cause says why with EffectNone and EffectUnknown.
	Cause error
}

// Limits of one batch.
const (
	// commitTries bounds the transactions sent for one batch without progress.
	commitTries = 4
	// readBackTries bounds the reads after one lost reply.
	readBackTries = 3
	// commitTimeout bounds one call to the platform.
	commitTimeout = time.Second
	// limitedPause is the wait after the platform refused a call for its rate.
	limitedPause = 10 * time.Millisecond
)

// committer sends batches of writes; it is what the Recorder's workers run.
type committer struct {
	table platform.Table
	// sleep waits; it returns early when ctx ends.
	sleep func(ctx context.Context, wait time.Duration)
}

// batch is one run of a committer.
type batch struct {
	*committer
	writes  []Write
	results []Written
	// pending holds the indexes of writes not yet decided.
	pending []int
	// maybe tells that an earlier transaction may have taken effect.
	maybe bool
	// limited tells that the platform refused a call for its rate.
	limited bool
}

// commit writes all it can in as few transactions as possible. A transaction
// that fails on one order's condition is sent again without that order; after a
// lost reply the rows are read back.
// It also tells whether the platform refused a call for its rate.
func (c *committer) commit(ctx context.Context, writes []Write) ([]Written, bool) {
	b := &batch{committer: c, writes: writes, results: make([]Written, len(writes))}
	for i := range writes {
		b.pending = append(b.pending, i)
	}
	var cause error
	for try := 0; try < commitTries && len(b.pending) > 0; {
		before := len(b.pending)
		cause = b.once(ctx)
		if stop(cause) {
			break
		}
		if len(b.pending) == before {
			try++
		}
	}
	b.giveUp(cause)
	return b.results, b.limited
}

// stop tells that trying again is pointless now.
func stop(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable)
}

// once sends one transaction with all pending writes.
func (b *batch) once(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	result, err := b.table.Commit(callCtx, b.transaction())
	cancel()
	var limited *platform.RateLimitedError
	switch {
	case err == nil && result.Committed:
		b.allWritten(result.Revision)
		return nil
	case err == nil:
		b.dropConflicts(result.Conflicts)
		return nil
	case errors.As(err, &limited):
		b.limited = true
		b.sleep(ctx, limitedPause)
		return err
	case stop(err):
		return err
	}
	b.maybe = true
	return b.readBack(ctx, err)
}

func (b *batch) transaction() platform.Txn {
	var txn platform.Txn
	for _, i := range b.pending {
		write := b.writes[i]
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: write.Row, Revision: write.Revision})
		txn.Puts = append(txn.Puts, platform.Put{Key: write.Row, Value: write.Content})
	}
	return txn
}

func (b *batch) allWritten(revision int64) {
	for _, i := range b.pending {
		b.results[i] = Written{Effect: EffectWritten, Revision: revision}
	}
	b.pending = nil
}

// dropConflicts decides the writes whose condition failed; the others stay
// pending.
func (b *batch) dropConflicts(rows []platform.Row) {
	byKey := map[string]platform.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	b.decide(func(write Write) (Written, bool) {
		row, failed := byKey[write.Row]
		if !failed {
			return Written{}, false
		}
		return compare(write, row), true
	})
}

// compare decides a write by a row that is not at the required revision.
func compare(write Write, row platform.Row) Written {
	if row.Revision != 0 && bytes.Equal(row.Value, write.Content) {
		return Written{Effect: EffectWritten, Revision: row.Revision}
	}
	return Written{Effect: EffectConflict, Row: row}
}

// readBack decides what it can after a lost reply; a row that is still at the
// required revision stays pending, since the write may not have arrived.
func (b *batch) readBack(ctx context.Context, lost error) error {
	keys := make([]string, 0, len(b.pending))
	for _, i := range b.pending {
		keys = append(keys, b.writes[i].Row)
	}
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for range readBackTries {
		rows, err := b.table.Get(callCtx, keys...)
		if err == nil {
			b.decideByRows(rows)
			return lost
		}
		b.sleep(callCtx, limitedPause)
	}
	return &platform.UnavailableError{Cause: lost}
}

func (b *batch) decideByRows(rows []platform.Row) {
	byKey := map[string]platform.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	b.decide(func(write Write) (Written, bool) {
		row := byKey[write.Row]
		if row.Revision == write.Revision {
			return Written{}, false
		}
		return compare(write, row), true
	})
}

// decide takes decided writes off the pending ones.
func (b *batch) decide(judge func(Write) (Written, bool)) {
	var left []int
	for _, i := range b.pending {
		written, decided := judge(b.writes[i])
		if !decided {
			left = append(left, i)
			continue
		}
		b.results[i] = written
	}
	b.pending = left
}

// giveUp decides what is still pending.
func (b *batch) giveUp(cause error) {
	effect := EffectNone
	if b.maybe {
		effect = EffectUnknown
	}
	for _, i := range b.pending {
		b.results[i] = Written{Effect: effect, Cause: cause}
	}
	b.pending = nil
}
