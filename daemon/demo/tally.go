package demo

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// tally counts outcomes and latencies by phase, kind of request and outcome, and collects
// violated guarantees.
type tally struct {
	// mu guards the fields below; no other lock is taken under it.
	mu         sync.Mutex
	rows       map[rowKey]*row
	violations []string
}

type rowKey struct {
	phase, kind, outcome string
}

type row struct {
	count  int
	micros *hdrhistogram.Histogram
}

func newTally() *tally { return &tally{rows: map[rowKey]*row{}} }

func (t *tally) add(key rowKey, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.rows[key]
	if found == nil {
		found = &row{micros: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		t.rows[key] = found
	}
	found.count++
	_ = found.micros.RecordValue(max(took.Microseconds(), 1))
}

// addViolation records a violated guarantee.
func (t *tally) addViolation(format string, arguments ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, fmt.Sprintf(format, arguments...))
}

func (t *tally) listViolations() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{}, t.violations...)
}

// maxPrintedViolations is the number of violations that print lists in full.
const maxPrintedViolations = 20

func (t *tally) print(out io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make([]rowKey, 0, len(t.rows))
	for key := range t.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PHASE\tREQUEST\tOUTCOME\tCOUNT\tP50 MS\tP99 MS")
	for _, key := range keys {
		found := t.rows[key]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f\t%.1f\n", key.phase, key.kind, key.outcome, found.count,
			millis(found.micros.ValueAtQuantile(50)), millis(found.micros.ValueAtQuantile(99)))
	}
	_ = table.Flush()
	for i, violation := range t.violations {
		if i == maxPrintedViolations {
			_, _ = fmt.Fprintf(out, "... and %d more\n", len(t.violations)-i)
			break
		}
		_, _ = fmt.Fprintln(out, "GUARANTEE VIOLATED:", violation)
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func (k rowKey) less(other rowKey) bool {
	if k.phase != other.phase {
		return k.phase < other.phase
	}
	if k.kind != other.kind {
		return k.kind < other.kind
	}
	return k.outcome < other.outcome
}
