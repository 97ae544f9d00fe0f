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

// Effects of a write.
const (
	// EffectNone means that the write did not take effect and never will.
	EffectNone Effect = iota
	// EffectWritten means that the row now holds the record, at Revision.
	EffectWritten
	// EffectConflict means that the row holds different content, given in Row.
	EffectConflict
	// EffectUnknown means that the write may have taken effect or may still do
	// so.
	EffectUnknown
)

// Write sets the row of one order if the row is at a given revision.
type Write struct {
	// Key is the row's key.
	Key string
	// Revision is the required revision; 0 requires that the row is absent.
	Revision platform.Revision
	// Content is the new content. It contains the attempt's nonce, so equal
	// content proves that this write took effect.
	Content []byte
}

// WriteResult is the result of a Write.
type WriteResult struct {
	Effect   Effect
	Revision platform.Revision
	// Row is the row's current content with EffectConflict.
	Row platform.Row
	// Cause is the reason for EffectNone and EffectUnknown.
	Cause error
}

// Limits of one batch.
const (
	// maxCommitTries bounds the transactions sent for one batch without progress.
	maxCommitTries = 4
	// maxReadBackTries bounds the reads after one lost reply.
	maxReadBackTries = 3
	// platformCallTimeout bounds one commit, one batched read, or all reads after
	// one lost reply.
	platformCallTimeout = time.Second
	// rateLimitBackoff is the wait after the platform rejected a call because of
	// its rate limit. It also separates read-back tries.
	rateLimitBackoff = 10 * time.Millisecond
)

// committer writes batches of order rows for the Recorder's workers.
type committer struct {
	table platform.Table
	// sleep waits; it returns early when ctx ends.
	sleep func(ctx context.Context, wait time.Duration)
}

// batch is the state of one committer.commit call.
type batch struct {
	*committer
	writes  []Write
	results []WriteResult
	// pending holds the indexes of writes whose result is not yet known.
	pending []int
	// uncertain is set once a transaction may have taken effect without a reply.
	uncertain bool
	// rateLimited is set once the platform rejected a call because of its rate
	// limit.
	rateLimited bool
}

// commit writes all rows in as few transactions as possible. If a transaction
// fails on the condition of one order, it is sent again without that order; after
// a lost reply the rows are read back. It also reports whether the platform
// rejected a call because of its rate limit.
func (c *committer) commit(ctx context.Context, writes []Write) ([]WriteResult, bool) {
	b := &batch{committer: c, writes: writes, results: make([]WriteResult, len(writes))}
	for i := range writes {
		b.pending = append(b.pending, i)
	}
	var cause error
	for try := 0; try < maxCommitTries && len(b.pending) > 0; {
		before := len(b.pending)
		cause = b.commitPending(ctx)
		if isUnavailable(cause) {
			break
		}
		if len(b.pending) == before {
			try++
		}
	}
	b.failPending(cause)
	return b.results, b.rateLimited
}

// isUnavailable reports whether the platform cannot be reached, so that an
// immediate retry is pointless.
func isUnavailable(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable)
}

// commitPending sends one transaction with all pending writes.
func (b *batch) commitPending(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	result, err := b.table.Commit(callCtx, b.transaction())
	cancel()
	var rateLimited *platform.RateLimitedError
	switch {
	case err == nil && result.Committed:
		b.markWritten(result.Revision)
		return nil
	case err == nil:
		b.resolveConflicts(result.Conflicts)
		return nil
	case errors.As(err, &rateLimited):
		b.rateLimited = true
		b.sleep(ctx, rateLimitBackoff)
		return err
	case isUnavailable(err):
		return err
	}
	b.uncertain = true
	return b.readBack(ctx, err)
}

func (b *batch) transaction() platform.Txn {
	var txn platform.Txn
	for _, i := range b.pending {
		write := b.writes[i]
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: write.Key, Revision: write.Revision})
		txn.Puts = append(txn.Puts, platform.Put{Key: write.Key, Value: write.Content})
	}
	return txn
}

// markWritten sets the result of all pending writes to EffectWritten.
func (b *batch) markWritten(revision platform.Revision) {
	for _, i := range b.pending {
		b.results[i] = WriteResult{Effect: EffectWritten, Revision: revision}
	}
	b.pending = nil
}

// resolveConflicts sets the result of the writes whose condition failed; the
// others stay pending.
func (b *batch) resolveConflicts(rows []platform.Row) {
	byKey := map[string]platform.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	b.resolvePending(func(write Write) (WriteResult, bool) {
		row, failed := byKey[write.Key]
		if !failed {
			return WriteResult{}, false
		}
		return resultFromRow(write, row), true
	})
}

// resultFromRow returns the result of a write whose row is not at the required
// revision.
func resultFromRow(write Write, row platform.Row) WriteResult {
	if !row.Revision.IsAbsent() && bytes.Equal(row.Value, write.Content) {
		return WriteResult{Effect: EffectWritten, Revision: row.Revision}
	}
	return WriteResult{Effect: EffectConflict, Row: row}
}

// readBack reads the rows after a lost reply and resolves the writes that it can.
// A write whose row is still at the required revision stays pending, since the
// transaction may not have arrived.
func (b *batch) readBack(ctx context.Context, lostReply error) error {
	keys := make([]string, 0, len(b.pending))
	for _, i := range b.pending {
		keys = append(keys, b.writes[i].Key)
	}
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	for range maxReadBackTries {
		rows, err := b.table.Get(callCtx, keys...)
		if err == nil {
			b.resolveFromRows(rows)
			return lostReply
		}
		b.sleep(callCtx, rateLimitBackoff)
	}
	return &platform.UnavailableError{Cause: lostReply}
}

func (b *batch) resolveFromRows(rows []platform.Row) {
	byKey := map[string]platform.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	b.resolvePending(func(write Write) (WriteResult, bool) {
		row := byKey[write.Key]
		if (platform.Condition{Revision: write.Revision}).Holds(row) {
			return WriteResult{}, false
		}
		return resultFromRow(write, row), true
	})
}

// resolvePending calls resolve for each pending write and stores the results that
// it returns; writes for which it returns false stay pending.
func (b *batch) resolvePending(resolve func(Write) (WriteResult, bool)) {
	var unresolved []int
	for _, i := range b.pending {
		written, resolved := resolve(b.writes[i])
		if !resolved {
			unresolved = append(unresolved, i)
			continue
		}
		b.results[i] = written
	}
	b.pending = unresolved
}

// failPending sets the result of the writes that are still pending:
// EffectUnknown if a transaction may have taken effect, else EffectNone.
func (b *batch) failPending(cause error) {
	effect := EffectNone
	if b.uncertain {
		effect = EffectUnknown
	}
	for _, i := range b.pending {
		b.results[i] = WriteResult{Effect: effect, Cause: cause}
	}
	b.pending = nil
}
