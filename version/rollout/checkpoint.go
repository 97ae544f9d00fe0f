package rollout

import (
	"context"
	"slices"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

// EncodeTable writes a whole table as the delta from the empty one.
func EncodeTable(t *table.Table) ([]byte, error) {
	return table.EncodeDelta(table.Diff(table.New(), t))
}

// DecodeTable reads what EncodeTable wrote. It fails with table.DecodeError.
func DecodeTable(body []byte) (*table.Table, error) {
	delta, err := table.DecodeDelta(body)
	if err != nil {
		return nil, err
	}
	return delta.Apply(table.New())
}

// split cuts a body into parts that fit rows and frames.
func split(body []byte) [][]byte {
	var parts [][]byte
	for len(body) > maxRowBytes {
		parts = append(parts, body[:maxRowBytes])
		body = body[maxRowBytes:]
	}
	return append(parts, body)
}

// checkpointIfDue writes a whole table when the last one is old, then trims
// what no reader needs. A checkpoint that fails half-way is not marked; the next
// change tries again.
func (l *Log) checkpointIfDue(ctx context.Context, t *table.Table) error {
	mark, revision, err := l.checkpointMark(ctx)
	if err != nil || t.Version < mark.Version+checkpointEvery {
		return err
	}
	return l.writeCheckpoint(ctx, t, mark, revision)
}

// writeCheckpoint writes the parts first and the mark last, so that a mark never
// names parts that are missing.
func (l *Log) writeCheckpoint(ctx context.Context, t *table.Table, mark checkpointRow, revision int64) error {
	body, err := EncodeTable(t)
	if err != nil {
		return err
	}
	parts := split(body)
	for at, part := range parts {
		put := platform.Put{Key: checkpointPartKey(t.Version, at), Value: part}
		if _, err = l.rows.Commit(ctx, platform.Txn{Puts: []platform.Put{put}}); err != nil {
			return err
		}
	}
	next := checkpointRow{Version: t.Version, Parts: len(parts), Previous: mark.Version}
	value, err := encodeRow(checkpointKey, next)
	if err != nil {
		return err
	}
	result, err := l.rows.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: checkpointKey, Revision: revision}},
		Puts:       []platform.Put{{Key: checkpointKey, Value: value}},
	})
	if err != nil || !result.Committed {
		return err
	}
	return l.trim(ctx, mark)
}

// trim deletes whole tables before the previous checkpoint and entries up to
// it; the previous checkpoint stays for loads under way.
func (l *Log) trim(ctx context.Context, previous checkpointRow) error {
	err := l.deleteWhere(ctx, checkpointPrefix, checkpointPartPrefix(previous.Version), nil)
	if err != nil {
		return err
	}
	return l.deleteWhere(ctx, versionPrefix, versionKey(previous.Version+1), changeRowsOf)
}

// deleteWhere deletes the rows with a prefix and a key before limit, and the
// rows that also names for each.
func (l *Log) deleteWhere(ctx context.Context, prefix, limit string, also func(platform.Row) []string) error {
	for {
		rows, err := l.rows.Scan(ctx, prefix, "", scanPage)
		if err != nil {
			return err
		}
		var deletes []string
		for _, row := range rows {
			if row.Key >= limit {
				break
			}
			deletes = append(deletes, row.Key)
			if also != nil {
				deletes = append(deletes, also(row)...)
			}
		}
		if len(deletes) == 0 {
			return nil
		}
		for some := range slices.Chunk(deletes, platform.MostEntries) {
			if _, err = l.rows.Commit(ctx, platform.Txn{Deletes: some}); err != nil {
				return err
			}
		}
	}
}

// changeRowsOf names the rows that belong to a version's row.
func changeRowsOf(row platform.Row) []string {
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
