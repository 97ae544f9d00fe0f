package rollout

import (
	"bytes"
	"context"
	"errors"
	"sync"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

// Size limits of the log.
const (
	// maxRowBytes bounds the delta or table bytes in one row.
	maxRowBytes = 128 << 10
	// entriesPerRead is the number of entries that are read together with the head.
	entriesPerRead = 4
	// maxCatchUpEntries is the lag in versions up to which single entries are
	// read; beyond it, the full table is loaded.
	maxCatchUpEntries = 64
	// checkpointInterval is the number of versions between checkpoints.
	checkpointInterval = 1000
	// scanPageSize bounds the rows returned by one scan.
	scanPageSize = 64
)

// Log is the log of accepted versions in the platform's table. It is safe for
// concurrent use.
type Log struct {
	store platform.Table
	clock clockwork.Clock

	mu sync.Mutex
	// latest is the newest accepted table known to this process. Deltas are
	// computed from it. Guarded by mu.
	latest *table.Table
}

// NewLog returns the log stored in store. Timestamps of entries are taken from
// clock.
func NewLog(store platform.Table, clock clockwork.Clock) *Log {
	return &Log{store: &retryingTable{Table: store, clock: clock}, clock: clock, latest: table.New()}
}

// Update is the result of one read of the log.
type Update struct {
	// Head is the newest accepted version at the time of the read.
	Head uint64
	// Entries follow the requested version without a gap. If they end before
	// Head, the log must be read again.
	Entries []Entry
	// FullTableNeeded means that the requested version is too far behind, or its
	// successors were trimmed or cannot be decoded, so the full table must be loaded
	// instead.
	FullTableNeeded bool
	// Corrupt is the row that cannot be decoded if that is the reason, otherwise nil.
	Corrupt *CorruptLogError
}

// Head returns the newest accepted version, or 0 if there is none. It fails with
// the platform's errors or CorruptLogError.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	head, _, err := l.head(ctx)
	return head.Version, err
}

func (l *Log) head(ctx context.Context) (headRow, platform.Revision, error) {
	rows, err := l.store.Get(ctx, headKey)
	if err != nil {
		return headRow{}, platform.Revision{}, err
	}
	return decodeHead(rows)
}

func decodeHead(rows []platform.Row) (headRow, platform.Revision, error) {
	var head headRow
	row, found := findRow(rows, headKey)
	if !found {
		return head, platform.Revision{}, nil
	}
	return head, row.Revision, decodeRow(headKey, row.Value, &head)
}

func findRow(rows []platform.Row, key string) (platform.Row, bool) {
	for _, row := range rows {
		if row.Key == key {
			return row, true
		}
	}
	return platform.Row{}, false
}

// Since reads the head and the first entries after a version. Unless a delta is
// stored in parts, this takes one read of the platform. It fails with the
// platform's errors or CorruptLogError.
func (l *Log) Since(ctx context.Context, version uint64) (Update, error) {
	keys := []string{headKey}
	for next := version + 1; next <= version+entriesPerRead; next++ {
		keys = append(keys, versionKey(next))
	}
	rows, err := l.store.Get(ctx, keys...)
	if err != nil {
		return Update{}, err
	}
	head, _, err := decodeHead(rows)
	if err != nil {
		return Update{}, err
	}
	update := Update{Head: head.Version}
	if head.Version > version+maxCatchUpEntries {
		update.FullTableNeeded = true
		return update, nil
	}
	for next := version + 1; next <= min(head.Version, version+entriesPerRead); next++ {
		row, found := findRow(rows, versionKey(next))
		if !found {
			update.FullTableNeeded = true
			return update, nil
		}
		entry, err := l.decodeEntry(ctx, row)
		if errors.As(err, &update.Corrupt) {
			// A checkpoint after it may exist, or a peer may have the table.
			update.FullTableNeeded = true
			return update, nil
		}
		if err != nil {
			return Update{}, err
		}
		update.Entries = append(update.Entries, entry)
	}
	return update, nil
}

// decodeEntry decodes a version row and reads the delta if it is stored in parts. It fails with
// the platform's errors or CorruptLogError.
func (l *Log) decodeEntry(ctx context.Context, row platform.Row) (Entry, error) {
	var entry Entry
	if err := decodeRow(row.Key, row.Value, &entry); err != nil {
		return Entry{}, err
	}
	if row.Key != versionKey(entry.Version) {
		return Entry{}, &CorruptLogError{Key: row.Key, Cause: errWrongNumber}
	}
	if entry.Parts > 0 {
		delta, err := l.readParts(ctx, deltaPartPrefix+entry.ChangeID+"/", entry.Parts)
		if err != nil {
			return Entry{}, err
		}
		entry.Delta, entry.Parts = delta, 0
	}
	if _, err := entry.delta(); err != nil {
		return Entry{}, &CorruptLogError{Key: row.Key, Cause: err}
	}
	return entry, nil
}

// readParts returns the concatenated values of the rows with the prefix. It fails
// with CorruptLogError if there are fewer rows than parts.
func (l *Log) readParts(ctx context.Context, prefix string, parts int) ([]byte, error) {
	var joined bytes.Buffer
	after := ""
	for read := 0; read < parts; {
		rows, err := l.store.Scan(ctx, prefix, after, min(scanPageSize, parts-read))
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, &CorruptLogError{Key: prefix}
		}
		for _, row := range rows {
			joined.Write(row.Value)
		}
		read += len(rows)
		after = rows[len(rows)-1].Key
	}
	return joined.Bytes(), nil
}

// CacheTable caches a table that is known to be accepted, so that the next change
// can be proposed without reading its base. Tables older than the cached one are
// ignored.
func (l *Log) CacheTable(t *table.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Version > l.latest.Version {
		l.latest = t
	}
}

func (l *Log) latestTable() *table.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

func applyEntries(t *table.Table, entries []Entry) (*table.Table, error) {
	for _, entry := range entries {
		delta, err := entry.delta()
		if err != nil {
			return nil, err
		}
		t, err = delta.Apply(t)
		if err != nil {
			return nil, err
		}
	}
	return t, nil
}
