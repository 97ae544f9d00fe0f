package rollout

import (
	"context"
	"slices"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

// EncodeTable encodes a full table as the delta from the empty table.
func EncodeTable(t *table.Table) ([]byte, error) {
	return table.EncodeDelta(table.Diff(table.New(), t))
}

// DecodeTable decodes the output of EncodeTable. It fails with table.CodecError.
func DecodeTable(body []byte) (*table.Table, error) {
	delta, err := table.DecodeDelta(body)
	if err != nil {
		return nil, err
	}
	return delta.Apply(table.New())
}

// splitBody splits an encoded body into parts of at most maxRowBytes, which fit
// into a row of the log and into a frame between peers.
func splitBody(body []byte) [][]byte {
	var parts [][]byte
	for len(body) > maxRowBytes {
		parts = append(parts, body[:maxRowBytes])
		body = body[maxRowBytes:]
	}
	return append(parts, body)
}

// checkpointIfDue writes a checkpoint if checkpointInterval versions were
// accepted since the last one, then trims obsolete rows. The checkpoint row is
// not updated if writing fails half-way, so the next change tries again.
func (l *Log) checkpointIfDue(ctx context.Context, t *table.Table) error {
	last, revision, err := l.readCheckpoint(ctx)
	if err != nil || t.Version < last.Version+checkpointInterval {
		return err
	}
	return l.writeCheckpoint(ctx, t, last, revision)
}

// writeCheckpoint writes the parts first and the checkpoint row last, so that
// the checkpoint row never refers to missing parts.
func (l *Log) writeCheckpoint(ctx context.Context, t *table.Table, previous checkpointRow, revision platform.Revision) error {
	body, err := EncodeTable(t)
	if err != nil {
		return err
	}
	parts := splitBody(body)
	for i, part := range parts {
		put := platform.Put{Key: checkpointPartKey(t.Version, i), Value: part}
		if _, err = l.store.Commit(ctx, platform.Txn{Puts: []platform.Put{put}}); err != nil {
			return err
		}
	}
	next := checkpointRow{Version: t.Version, Parts: len(parts), Previous: previous.Version}
	value, err := encodeRow(checkpointKey, next)
	if err != nil {
		return err
	}
	result, err := l.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: checkpointKey, Revision: revision}},
		Puts:       []platform.Put{{Key: checkpointKey, Value: value}},
	})
	if err != nil || !result.Committed {
		return err
	}
	return l.trim(ctx, previous)
}

// trim deletes the full tables before the previous checkpoint and the entries up
// to it. The previous checkpoint itself is kept for loads in progress.
func (l *Log) trim(ctx context.Context, previous checkpointRow) error {
	err := l.deleteBefore(ctx, checkpointPrefix, checkpointPartPrefix(previous.Version), nil)
	if err != nil {
		return err
	}
	return l.deleteBefore(ctx, versionPrefix, versionKey(previous.Version+1), dependentKeys)
}

// deleteBefore deletes the rows that have the prefix and a key less than limit.
// If dependents is not nil, it returns the keys of further rows to delete with
// each of them.
func (l *Log) deleteBefore(ctx context.Context, prefix, limit string, dependents func(platform.Row) []string) error {
	for {
		rows, err := l.store.Scan(ctx, prefix, "", scanPageSize)
		if err != nil {
			return err
		}
		var deletes []string
		for _, row := range rows {
			if row.Key >= limit {
				break
			}
			deletes = append(deletes, row.Key)
			if dependents != nil {
				deletes = append(deletes, dependents(row)...)
			}
		}
		if len(deletes) == 0 {
			return nil
		}
		for batch := range slices.Chunk(deletes, platform.MaxTxnOperations) {
			if _, err = l.store.Commit(ctx, platform.Txn{Deletes: batch}); err != nil {
				return err
			}
		}
	}
}

// dependentKeys returns the keys of the change row and the delta parts that belong
// to a version row.
func dependentKeys(row platform.Row) []string {
	var entry Entry
	if decodeRow(row.Key, row.Value, &entry) != nil {
		return nil
	}
	keys := []string{changeKey(entry.ChangeID)}
	for part := range entry.Parts {
		keys = append(keys, deltaPartKey(entry.ChangeID, part))
	}
	return keys
}
