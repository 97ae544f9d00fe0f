package rollout

import (
	"context"
	"errors"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// maxProposeAttempts bounds the attempts of a write. After a lost reply the
	// outcome is read back, and the same write is retried if it is not found.
	maxProposeAttempts = 5
	// maxConflictLines bounds the number of lines in a ConflictError.
	maxConflictLines = 50
	// maxConflictEntries bounds the number of entries read to describe a conflict.
	maxConflictEntries = 16
)

// Propose appends a change to the log and returns the version that it produced. A
// retry of an accepted change returns the same version. A change without effect
// returns its base version.
//
// It fails with table.ValidationErrors, ConflictError, OutcomeUnknownError,
// CorruptLogError, TrimmedError, or a failure.Error of kind PlatformUnavailable, which
// means that nothing was changed.
func (l *Log) Propose(ctx context.Context, change Change) (uint64, error) {
	if err := change.Next.Validate(); err != nil {
		return 0, err
	}
	draft, err := l.draft(ctx, change)
	if err != nil {
		return 0, asPlatformUnavailable(err)
	}
	if draft.acceptedVersion != 0 {
		return draft.acceptedVersion, nil
	}
	if draft.delta.Empty() {
		return change.Base, nil
	}
	version, err := l.append(ctx, change, draft)
	if err != nil {
		return 0, asPlatformUnavailable(err)
	}
	l.CacheTable(draft.next)
	// The change is accepted even if writing the checkpoint fails; the next change
	// then tries again.
	_ = l.checkpointIfDue(ctx, draft.next)
	return version, nil
}

// draft is a change that is ready to be appended to the log.
type draft struct {
	// acceptedVersion is the version of the change if it was accepted before,
	// otherwise 0.
	acceptedVersion uint64
	headRevision    platform.Revision
	delta           table.Delta
	next            *table.Table
}

// draft reads the head and compares the change with its base version.
func (l *Log) draft(ctx context.Context, change Change) (draft, error) {
	rows, err := l.store.Get(ctx, headKey, changeKey(change.ID))
	if err != nil {
		return draft{}, err
	}
	if version, err := acceptedVersion(rows, change.ID); version != 0 || err != nil {
		return draft{acceptedVersion: version}, err
	}
	head, revision, err := decodeHead(rows)
	if err != nil {
		return draft{}, err
	}
	if head.Version != change.Base {
		return draft{}, l.conflict(ctx, change)
	}
	base, err := l.base(ctx, change)
	if err != nil {
		return draft{}, err
	}
	next := *change.Next
	next.Version = change.Base + 1
	return draft{headRevision: revision, delta: table.Diff(base, &next), next: &next}, nil
}

// base returns the table that the change is based on.
func (l *Log) base(ctx context.Context, change Change) (*table.Table, error) {
	base := l.latestTable()
	if base.Version == change.Base {
		return base, nil
	}
	base, err := l.Load(ctx)
	if err != nil {
		return nil, err
	}
	if base.Version != change.Base {
		return nil, l.conflict(ctx, change)
	}
	return base, nil
}

// acceptedVersion returns the version in the change's row among rows, or 0 if the
// row is absent.
func acceptedVersion(rows []platform.Row, id string) (uint64, error) {
	row, found := findRow(rows, changeKey(id))
	if !found {
		return 0, nil
	}
	var accepted changeRow
	err := decodeRow(row.Key, row.Value, &accepted)
	return accepted.Version, err
}

// append writes the change and resolves the outcome of lost replies.
func (l *Log) append(ctx context.Context, change Change, d draft) (uint64, error) {
	txn, err := l.buildTxn(ctx, change, d)
	if err != nil {
		return 0, err
	}
	lost := false
	for range maxProposeAttempts {
		result, err := l.store.Commit(ctx, txn)
		if err == nil && result.Committed {
			return d.next.Version, nil
		}
		lost = lost || isLostReply(err)
		if err != nil && !lost {
			return 0, err
		}
		version, readErr := l.readBack(ctx, change.ID)
		if readErr == nil && version != 0 {
			return version, nil
		}
		if err == nil && readErr == nil {
			return 0, l.conflict(ctx, change)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, &OutcomeUnknownError{ChangeID: change.ID, Cause: &platform.UnknownEffectError{}}
}

// buildTxn builds the transaction that appends the change. A delta too large for
// one row is written in parts before the transaction.
func (l *Log) buildTxn(ctx context.Context, change Change, d draft) (platform.Txn, error) {
	body, err := table.EncodeDelta(d.delta)
	if err != nil {
		return platform.Txn{}, err
	}
	entry := Entry{
		Version:      d.next.Version,
		ChangeID:     change.ID,
		Operator:     change.Operator,
		AcceptedUnix: l.clock.Now().Unix(),
		Delta:        body,
	}
	if parts := splitBody(body); len(parts) > 1 {
		entry.Delta, entry.Parts = nil, len(parts)
		if err = l.writeParts(ctx, change.ID, parts); err != nil {
			return platform.Txn{}, err
		}
	}
	return entryTxn(entry, d.headRevision)
}

func (l *Log) writeParts(ctx context.Context, id string, parts [][]byte) error {
	for i, part := range parts {
		put := platform.Put{Key: deltaPartKey(id, i), Value: part}
		if _, err := l.store.Commit(ctx, platform.Txn{Puts: []platform.Put{put}}); err != nil {
			return &platform.UnavailableError{Cause: err}
		}
	}
	return nil
}

// entryTxn returns the transaction that writes an entry if the head row is at the
// given revision and neither the version nor the change exists.
func entryTxn(entry Entry, headRevision platform.Revision) (platform.Txn, error) {
	head, err := encodeRow(headKey, headRow{Version: entry.Version, ChangeID: entry.ChangeID})
	if err != nil {
		return platform.Txn{}, err
	}
	version, err := encodeRow(versionKey(entry.Version), entry)
	if err != nil {
		return platform.Txn{}, err
	}
	accepted, err := encodeRow(changeKey(entry.ChangeID), changeRow{Version: entry.Version})
	if err != nil {
		return platform.Txn{}, err
	}
	return platform.Txn{
		Conditions: []platform.Condition{
			{Key: headKey, Revision: headRevision},
			{Key: versionKey(entry.Version)},
			{Key: changeKey(entry.ChangeID)},
		},
		Puts: []platform.Put{
			{Key: headKey, Value: head},
			{Key: versionKey(entry.Version), Value: version},
			{Key: changeKey(entry.ChangeID), Value: accepted},
		},
	}, nil
}

// readBack reads the change's row and returns its version, or 0 if it is absent.
func (l *Log) readBack(ctx context.Context, id string) (uint64, error) {
	rows, err := l.store.Get(ctx, changeKey(id))
	if err != nil {
		return 0, err
	}
	return acceptedVersion(rows, id)
}

// conflict returns a ConflictError that describes the changes accepted since the
// change's base.
func (l *Log) conflict(ctx context.Context, change Change) error {
	conflict := &ConflictError{Base: change.Base}
	version := change.Base
	for len(conflict.Lines) < maxConflictLines && version < change.Base+maxConflictEntries {
		update, err := l.Since(ctx, version)
		if err != nil {
			return err
		}
		conflict.Current = update.Head
		conflict.add(update.Entries)
		if len(update.Entries) == 0 {
			break
		}
		version = update.Entries[len(update.Entries)-1].Version
	}
	if conflict.Operator == "" && conflict.Current > change.Base {
		return l.describeLatest(ctx, conflict)
	}
	return conflict
}

// describeLatest adds only the newest change to the conflict, for the case that
// the log no longer holds all changes since its base.
func (l *Log) describeLatest(ctx context.Context, conflict *ConflictError) error {
	update, err := l.Since(ctx, conflict.Current-1)
	if err != nil {
		return err
	}
	conflict.add(update.Entries)
	return conflict
}

// add adds entries to the description of the conflict, up to maxConflictLines.
func (e *ConflictError) add(entries []Entry) {
	for _, entry := range entries {
		e.Operator = entry.Operator
		delta, err := table.DecodeDelta(entry.Delta)
		if err != nil {
			continue
		}
		e.Lines = append(e.Lines, delta.Describe()...)
	}
	if len(e.Lines) > maxConflictLines {
		e.Lines = e.Lines[:maxConflictLines]
	}
}

// isLostReply reports whether a failed write may have taken effect.
func isLostReply(err error) bool {
	var lost *platform.UnknownEffectError
	return errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// asPlatformUnavailable converts errors of the platform into a failure of kind
// PlatformUnavailable. Propose calls it only where they had no effect on the log.
func asPlatformUnavailable(err error) error {
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) {
		return err
	}
	var down *platform.UnavailableError
	var limited *platform.RateLimitedError
	var lost *platform.UnknownEffectError
	if errors.As(err, &down) || errors.As(err, &limited) || errors.As(err, &lost) {
		return failure.New(failure.PlatformUnavailable, failure.NotRun, "the change was not accepted").WithCause(err)
	}
	return err
}
