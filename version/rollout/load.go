package rollout

import (
	"context"
	"errors"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

// maxLoadAttempts bounds the attempts of a load, which is restarted if rows were
// trimmed while it ran.
const maxLoadAttempts = 3

// Load reads the newest accepted table from the checkpoint and the entries after
// it. It fails with the platform's errors, CorruptLogError or TrimmedError.
func (l *Log) Load(ctx context.Context) (*table.Table, error) {
	var lastErr error
	base := l.latestTable()
	for range maxLoadAttempts {
		t, err := l.loadOnce(ctx, base)
		if err == nil {
			l.CacheTable(t)
			return t, nil
		}
		var corrupt *CorruptLogError
		var trimmed *TrimmedError
		if !errors.As(err, &corrupt) && !errors.As(err, &trimmed) {
			return nil, err
		}
		lastErr = err
		// A checkpoint may follow the entry that is missing or cannot be decoded.
		base = table.New()
	}
	return nil, lastErr
}

// loadOnce reads the entries after the table t, or after the checkpoint if t is empty or far
// behind.
func (l *Log) loadOnce(ctx context.Context, t *table.Table) (*table.Table, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head > t.Version+maxCatchUpEntries || t.Version == 0 {
		t, err = l.loadCheckpoint(ctx)
		if err != nil {
			return nil, err
		}
	}
	return l.replay(ctx, t, head)
}

// replay applies the entries after t up to the version head.
func (l *Log) replay(ctx context.Context, t *table.Table, head uint64) (*table.Table, error) {
	after := versionKey(t.Version)
	for t.Version < head {
		rows, err := l.store.Scan(ctx, versionPrefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		previous := t.Version
		for _, row := range rows {
			entry, err := l.decodeEntry(ctx, row)
			if err != nil {
				return nil, err
			}
			if entry.Version != t.Version+1 {
				return nil, &TrimmedError{Version: t.Version}
			}
			if t, err = applyEntries(t, []Entry{entry}); err != nil {
				return nil, &CorruptLogError{Key: row.Key, Cause: err}
			}
			after = row.Key
		}
		if t.Version == previous {
			return nil, &TrimmedError{Version: t.Version}
		}
	}
	return t, nil
}

func (l *Log) loadCheckpoint(ctx context.Context) (*table.Table, error) {
	checkpoint, _, err := l.readCheckpoint(ctx)
	if err != nil {
		return nil, err
	}
	if checkpoint.Version == 0 {
		return table.New(), nil
	}
	prefix := checkpointPartPrefix(checkpoint.Version)
	body, err := l.readParts(ctx, prefix, checkpoint.Parts)
	if err != nil {
		return nil, err
	}
	t, err := DecodeTable(body)
	if err == nil && t.Version != checkpoint.Version {
		err = &VersionMismatchError{Want: checkpoint.Version, Have: t.Version}
	}
	if err != nil {
		return nil, &CorruptLogError{Key: prefix, Cause: err}
	}
	return t, nil
}

// readCheckpoint returns the checkpoint row and its revision; both are zero if
// there is no checkpoint.
func (l *Log) readCheckpoint(ctx context.Context) (checkpointRow, platform.Revision, error) {
	var checkpoint checkpointRow
	rows, err := l.store.Get(ctx, checkpointKey)
	if err != nil || len(rows) == 0 {
		return checkpoint, platform.Revision{}, err
	}
	return checkpoint, rows[0].Revision, decodeRow(checkpointKey, rows[0].Value, &checkpoint)
}
