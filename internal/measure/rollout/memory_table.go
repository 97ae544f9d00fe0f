package rollout

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"verbenaseam.example/verbenaseam/process/platform"
)

// MemoryTable is an in-memory platform.Table that counts reads and injects faults. It
// replaces the platform in measurements and tests.
type MemoryTable struct {
	// mu guards the fields below.
	mu   sync.Mutex
	rows map[string]platform.Row
	// era and number are those of the latest revision.
	era    uint64
	number int64
	reads  int
	writes int
	down   bool
	// loseReplies is the number of further commits that take effect but return
	// UnknownEffectError. dropWrites is the number of further commits that return it
	// without effect, as if the request were lost.
	loseReplies int
	dropWrites  int
	// failAfter is the number of further calls after which the platform goes down; a
	// negative number means never.
	failAfter int
	// maxRowBytes is the size of the largest value written.
	maxRowBytes int
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{rows: map[string]platform.Row{}, failAfter: -1}
}

// SetDown makes every call fail with UnavailableError, or ends the outage. It cancels
// FailAfter.
func (m *MemoryTable) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.failAfter = -1
}

// FailAfter takes the platform down after the given number of further calls; a
// negative number means never.
func (m *MemoryTable) FailAfter(calls int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failAfter = calls
}

// LoseReplies makes the next count commits take effect but return UnknownEffectError.
func (m *MemoryTable) LoseReplies(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseReplies = count
}

// DropWrites makes the next count commits return UnknownEffectError without effect, as
// if the request were lost.
func (m *MemoryTable) DropWrites(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropWrites = count
}

// Reads returns the number of reads, failed ones included.
func (m *MemoryTable) Reads() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// MaxRowBytes returns the size of the largest value written.
func (m *MemoryTable) MaxRowBytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxRowBytes
}

// Len returns the number of rows.
func (m *MemoryTable) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}

// available counts a call towards failAfter and returns an error while the platform is
// down.
func (m *MemoryTable) available() error {
	if m.failAfter == 0 {
		m.down = true
	}
	if m.failAfter > 0 {
		m.failAfter--
	}
	if m.down {
		return &platform.UnavailableError{}
	}
	return nil
}

// Get implements platform.Table.
func (m *MemoryTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if err := m.available(); err != nil {
		return nil, err
	}
	var rows []platform.Row
	for _, key := range keys {
		if row, found := m.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements platform.Table.
func (m *MemoryTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if err := m.available(); err != nil {
		return nil, err
	}
	var rows []platform.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements platform.Table.
func (m *MemoryTable) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if err := m.available(); err != nil {
		return platform.TxnResult{}, err
	}
	if m.dropWrites > 0 {
		m.dropWrites--
		return platform.TxnResult{}, &platform.UnknownEffectError{}
	}
	var result platform.TxnResult
	for _, condition := range txn.Conditions {
		row := m.rows[condition.Key]
		if !condition.Holds(row) {
			row.Key = condition.Key
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if len(result.Conflicts) == 0 {
		m.write(txn)
		result.Committed, result.Revision = true, m.revision()
	}
	if m.loseReplies > 0 {
		m.loseReplies--
		return platform.TxnResult{}, &platform.UnknownEffectError{}
	}
	return result, nil
}

func (m *MemoryTable) revision() platform.Revision {
	return platform.Revision{Era: m.era, Number: m.number}
}

// Era implements platform.Table.
func (m *MemoryTable) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Copy returns a copy of the table's contents, for Restore.
func (m *MemoryTable) Copy() TableCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return TableCopy{rows: maps.Clone(m.rows), number: m.number}
}

// Restore makes the table return from an older copy, in a new era. Rows keep their numbers.
func (m *MemoryTable) Restore(older TableCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.number = older.number
	m.rows = maps.Clone(older.rows)
	for key, row := range m.rows {
		row.Revision.Era = m.era
		m.rows[key] = row
	}
}

// TableCopy is the contents of a MemoryTable at some time.
type TableCopy struct {
	rows   map[string]platform.Row
	number int64
}

func (m *MemoryTable) write(txn platform.Txn) {
	m.number++
	for _, put := range txn.Puts {
		m.rows[put.Key] = platform.Row{Key: put.Key, Value: slices.Clone(put.Value), Revision: m.revision()}
		m.maxRowBytes = max(m.maxRowBytes, len(put.Value))
	}
	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}
}
