package rollout

import (
	"bytes"
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

// Sizes of the log.
const (
	// maxRowBytes bounds the content of one row.
	maxRowBytes = 128 << 10
	// entriesPerRead is how many entries one read of the head brings along.
	entriesPerRead = 4
	// maxCatchUpEntries is how far behind entries are still worth reading one
	// by one; further behind, the whole table is read.
	maxCatchUpEntries = 64
	// checkpointEvery is the number of versions between whole tables.
	checkpointEvery = 1000
	// scanPage bounds the rows of one scan.
	scanPage = 64
)

// Log is the log of accepted versions in the platform's table. Its methods may
// be called from many goroutines.
type Log struct {
	rows  platform.Table
	clock clockwork.Clock

	mu sync.Mutex
	// last is the newest table known here, the base of deltas. Under mu.
	last *table.Table
}

// NewLog returns the log kept in rows; clock gives the times that entries carry.
func NewLog(rows platform.Table, clock clockwork.Clock) *Log {
	return &Log{rows: &patientTable{Table: rows, clock: clock}, clock: clock, last: table.New()}
}

// Update is what one read of the log brought.
type Update struct {
	// Head is the newest accepted version when the log was read.
	Head uint64
	// Entries follow the version asked for without a gap; they may end before
	// Head, then the log is to be read again.
	Entries []Entry
	// TooOld tells that the whole table must be loaded instead.
	TooOld bool
}

// Head returns the newest accepted version, 0 before the first. It fails with
// the platform's errors or CorruptLogError.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	head, _, err := l.head(ctx)
	return head.Version, err
}

func (l *Log) head(ctx context.Context) (headRow, int64, error) {
	rows, err := l.rows.Get(ctx, headKey)
	if err != nil {
		return headRow{}, 0, err
	}
	return headOf(rows)
}

func headOf(rows []platform.Row) (headRow, int64, error) {
	var head headRow
	row, found := findRow(rows, headKey)
	if !found {
		return head, 0, nil
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

// Since reads the head and the first entries after a version, in one read as
// long as deltas are small. It fails with the platform's errors or
// CorruptLogError.
func (l *Log) Since(ctx context.Context, version uint64) (Update, error) {
	keys := []string{headKey}
	for next := version + 1; next <= version+entriesPerRead; next++ {
		keys = append(keys, versionKey(next))
	}
	rows, err := l.rows.Get(ctx, keys...)
	if err != nil {
		return Update{}, err
	}
	head, _, err := headOf(rows)
	if err != nil {
		return Update{}, err
	}
	update := Update{Head: head.Version}
	if head.Version > version+maxCatchUpEntries {
		update.TooOld = true
		return update, nil
	}
	for next := version + 1; next <= min(head.Version, version+entriesPerRead); next++ {
		row, found := findRow(rows, versionKey(next))
		if !found {
			update.TooOld = true
			return update, nil
		}
		entry, err := l.entryOf(ctx, row)
		if err != nil {
			return Update{}, err
		}
		update.Entries = append(update.Entries, entry)
	}
	return update, nil
}

// entryOf decodes a version's row and collects a delta kept in parts.
func (l *Log) entryOf(ctx context.Context, row platform.Row) (Entry, error) {
	var entry Entry
	if err := decodeRow(row.Key, row.Value, &entry); err != nil {
		return Entry{}, err
	}
	if entry.Parts == 0 {
		return entry, nil
	}
	prefix := partPrefix + entry.ChangeID + "/"
	delta, err := l.readParts(ctx, prefix, entry.Parts)
	entry.Delta, entry.Parts = delta, 0
	return entry, err
}

// readParts joins the rows that share a prefix; it fails with CorruptLogError
// when there are fewer than parts.
func (l *Log) readParts(ctx context.Context, prefix string, parts int) ([]byte, error) {
	var whole bytes.Buffer
	after := ""
	for read := 0; read < parts; {
		rows, err := l.rows.Scan(ctx, prefix, after, min(scanPage, parts-read))
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, &CorruptLogError{Key: prefix}
		}
		for _, row := range rows {
			whole.Write(row.Value)
		}
		read += len(rows)
		after = rows[len(rows)-1].Key
	}
	return whole.Bytes(), nil
}

// Remember tells the log of a table known to be accepted, so that the next
// change needs no read of its base. Older tables are ignored.
func (l *Log) Remember(t *table.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Version > l.last.Version {
		l.last = t
	}
}

func (l *Log) remembered() *table.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

func applyEntries(t *table.Table, entries []Entry) (*table.Table, error) {
	for _, entry := range entries {
		delta, err := table.DecodeDelta(entry.Delta)
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
