package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"verbenaseam.example/verbenaseam/process/platform"
)

// Default values of Config.
const (
	// DefaultWritesPerSecond is the default limit of the write rate.
	DefaultWritesPerSecond = 400
	// DefaultReadsPerSecond is the default limit of the read rate.
	DefaultReadsPerSecond = 2000
)

// Config holds the settings of a Server; zero values select the defaults.
type Config struct {
	// Clock is the time source of rate limits, delays and lags; nil means the
	// real clock.
	Clock clockwork.Clock
	// WritesPerSecond and ReadsPerSecond limit the rates; negative means no
	// limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// HostListLag is the time until Hosts returns a change of the host list.
	HostListLag time.Duration
}

// Faults are the faults that a Server injects.
type Faults struct {
	// Outage makes every call fail before it takes effect.
	Outage bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// LoseReplies is the number of coming writes that take effect but whose
	// replies are lost.
	LoseReplies int
}

// Counters holds totals of the calls to a Server.
type Counters struct {
	// Reads and Writes count the calls that passed the rate limit. Writes includes
	// transactions that conflict, but not those refused for their size.
	Reads, Writes int64
	// RateLimited counts the calls refused because of a rate limit.
	RateLimited int64
	// BytesRead and BytesWritten count the bytes of row values.
	BytesRead, BytesWritten int64
}

// InMemory simulates the platform in process; it implements platform.Service.
type InMemory struct {
	config       Config
	clock        clockwork.Clock
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	// mu guards everything below. It is a leaf lock: no other lock of this module
	// is taken while it is held.
	mu       sync.Mutex
	faults   Faults
	counters Counters
	rows     map[string]platform.Row
	// keys holds the keys of rows in ascending order.
	keys     []string
	revision platform.Revision
	// hostLists holds the host list that Hosts returns, followed by the ones that
	// are not visible yet.
	hostLists []timedHostList
}

// New returns a platform with an empty table and no hosts.
func New(config Config) *InMemory {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	return &InMemory{
		config:       config,
		clock:        config.Clock,
		readLimiter:  newLimiter(config.ReadsPerSecond, DefaultReadsPerSecond),
		writeLimiter: newLimiter(config.WritesPerSecond, DefaultWritesPerSecond),
		rows:         map[string]platform.Row{},
	}
}

// newLimiter returns a limiter whose burst is the number of calls in a tenth of
// a second, at least 1.
func newLimiter(perSecond, defaultPerSecond float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = defaultPerSecond
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// SetFaults replaces all injected faults.
func (s *InMemory) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetOutage starts or ends an outage and keeps the other faults.
func (s *InMemory) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Outage = outage
}

// LoseReplies makes the next n writes take effect but lose their replies.
func (s *InMemory) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.LoseReplies = n
}

// Counters returns the totals so far.
func (s *InMemory) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// beforeCall applies the delay, the outage and the rate limit, in this order,
// before a call takes effect.
func (s *InMemory) beforeCall(ctx context.Context, limiter *rate.Limiter) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return &platform.UnavailableError{Cause: ctx.Err()}
		case <-s.clock.After(faults.Delay):
		}
	}
	if faults.Outage {
		return &platform.UnavailableError{}
	}
	if !limiter.AllowN(s.clock.Now(), 1) {
		s.mu.Lock()
		s.counters.RateLimited++
		s.mu.Unlock()
		return &platform.RateLimitedError{}
	}
	return nil
}

// lostReplyLocked returns the error for a write that has taken effect and whose
// reply is to be lost, else nil. The caller holds mu.
func (s *InMemory) lostReplyLocked() error {
	if s.faults.LoseReplies == 0 {
		return nil
	}
	s.faults.LoseReplies--
	return &platform.UnknownEffectError{}
}

// Get implements platform.Table.
func (s *InMemory) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := s.beforeCall(ctx, s.readLimiter); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	var out []platform.Row
	for _, key := range keys {
		if row, ok := s.rows[key]; ok {
			out = append(out, s.readLocked(row))
		}
	}
	return out, nil
}

// Scan implements platform.Table.
func (s *InMemory) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := s.beforeCall(ctx, s.readLimiter); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	from := sort.SearchStrings(s.keys, max(prefix, after))
	var out []platform.Row
	for _, key := range s.keys[from:] {
		if !strings.HasPrefix(key, prefix) || len(out) >= limit {
			break
		}
		if key > after {
			out = append(out, s.readLocked(s.rows[key]))
		}
	}
	return out, nil
}

// Era implements platform.Table. This stand-in never returns from an older copy.
func (s *InMemory) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era
}

// readLocked returns a copy of the row and counts the bytes read.
func (s *InMemory) readLocked(row platform.Row) platform.Row {
	s.counters.BytesRead += int64(len(row.Value))
	row.Value = append([]byte{}, row.Value...)
	return row
}

// Commit implements platform.Table.
func (s *InMemory) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := s.beforeCall(ctx, s.writeLimiter); err != nil {
		return platform.TxnResult{}, err
	}
	if entries := len(txn.Conditions) + len(txn.Puts) + len(txn.Deletes); entries > platform.MaxTxnOperations {
		return platform.TxnResult{}, &platform.UnavailableError{Cause: &platform.TxnTooLargeError{Operations: entries}}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	result := s.applyLocked(txn)
	if err := s.lostReplyLocked(); err != nil {
		return platform.TxnResult{}, err
	}
	return result, nil
}

func (s *InMemory) applyLocked(txn platform.Txn) platform.TxnResult {
	var conflicts []platform.Row
	for _, condition := range txn.Conditions {
		row := s.rows[condition.Key]
		if !condition.Holds(row) {
			row.Key = condition.Key
			conflicts = append(conflicts, s.readLocked(row))
		}
	}
	if len(conflicts) > 0 {
		return platform.TxnResult{Conflicts: conflicts}
	}
	s.revision.Number++
	for _, put := range txn.Puts {
		s.counters.BytesWritten += int64(len(put.Value))
		s.putLocked(platform.Row{Key: put.Key, Value: append([]byte{}, put.Value...), Revision: s.revision})
	}
	for _, key := range txn.Deletes {
		s.deleteLocked(key)
	}
	return platform.TxnResult{Committed: true, Revision: s.revision}
}

func (s *InMemory) putLocked(row platform.Row) {
	if _, ok := s.rows[row.Key]; !ok {
		at := sort.SearchStrings(s.keys, row.Key)
		s.keys = append(s.keys, "")
		copy(s.keys[at+1:], s.keys[at:])
		s.keys[at] = row.Key
	}
	s.rows[row.Key] = row
}

func (s *InMemory) deleteLocked(key string) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	at := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:at], s.keys[at+1:]...)
	delete(s.rows, key)
}
