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

// Defaults of Config.
const (
	// DefaultWritesPerSecond is the platform's write rate.
	DefaultWritesPerSecond = 400
	// DefaultReadsPerSecond is the platform's read rate.
	DefaultReadsPerSecond = 2000
)

// Config sets up a Server; zero values mean the defaults.
type Config struct {
	// Clock drives rates, delays and lags; nil means the real clock.
	Clock clockwork.Clock
	// WritesPerSecond and ReadsPerSecond limit the rates; negative means no
	// limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is the age of what Hosts shows.
	ListLag time.Duration
}

// Faults are the settings that make the stand-in misbehave.
type Faults struct {
	// Outage refuses every call before it takes effect.
	Outage bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// LoseReplies is the number of writes to come that take effect but whose
	// reply is lost.
	LoseReplies int
}

// Counters count what the platform was asked.
type Counters struct {
	// Reads and Writes count calls that were let through the rate limit.
	Reads, Writes int64
	// Limited counts calls refused for their rate.
	Limited int64
	// BytesRead and BytesWritten count row content.
	BytesRead, BytesWritten int64
}

// Server is the stand-in; it implements platform.Service in process.
type Server struct {
	config Config
	clock  clockwork.Clock
	reads  *rate.Limiter
	writes *rate.Limiter

	// mu guards everything below; nothing is called with it held.
	mu       sync.Mutex
	faults   Faults
	counters Counters
	rows     map[string]platform.Row
	// keys holds the names of rows in order.
	keys     []string
	revision int64
	hosts    []hostList
}

// New returns an empty platform.
func New(config Config) *Server {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	return &Server{
		config: config,
		clock:  config.Clock,
		reads:  limiter(config.ReadsPerSecond, DefaultReadsPerSecond),
		writes: limiter(config.WritesPerSecond, DefaultWritesPerSecond),
		rows:   map[string]platform.Row{},
	}
}

// limiter allows a burst of a tenth of a second's calls.
func limiter(perSecond, standard float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = standard
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetOutage switches an outage on or off and leaves the other faults.
func (s *Server) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Outage = on
}

// LoseReplies loses the replies of the next n writes after their effect.
func (s *Server) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.LoseReplies = n
}

// Counters returns what was counted so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// enter applies delay, outage and rate before a call takes effect.
func (s *Server) enter(ctx context.Context, limit *rate.Limiter) error {
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
	if !limit.AllowN(s.clock.Now(), 1) {
		s.mu.Lock()
		s.counters.Limited++
		s.mu.Unlock()
		return &platform.RateLimitedError{}
	}
	return nil
}

// leaveLocked gives the error of a write that took effect; call it with mu
// held.
func (s *Server) leaveLocked() error {
	if s.faults.LoseReplies == 0 {
		return nil
	}
	s.faults.LoseReplies--
	return &platform.UnknownEffectError{}
}

// Get implements platform.Table.
func (s *Server) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := s.enter(ctx, s.reads); err != nil {
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
func (s *Server) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := s.enter(ctx, s.reads); err != nil {
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

func (s *Server) readLocked(row platform.Row) platform.Row {
	s.counters.BytesRead += int64(len(row.Value))
	row.Value = append([]byte{}, row.Value...)
	return row
}

// Commit implements platform.Table.
func (s *Server) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := s.enter(ctx, s.writes); err != nil {
		return platform.TxnResult{}, err
	}
	if entries := len(txn.Conditions) + len(txn.Puts) + len(txn.Deletes); entries > platform.MaxTxnEntries {
		return platform.TxnResult{}, &platform.UnavailableError{Cause: &platform.TxnTooLargeError{Entries: entries}}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	result := s.applyLocked(txn)
	if err := s.leaveLocked(); err != nil {
		return platform.TxnResult{}, err
	}
	return result, nil
}

func (s *Server) applyLocked(txn platform.Txn) platform.TxnResult {
	var conflicts []platform.Row
	for _, condition := range txn.Conditions {
		row := s.rows[condition.Key]
		if row.Revision != condition.Revision {
			row.Key = condition.Key
			conflicts = append(conflicts, s.readLocked(row))
		}
	}
	if len(conflicts) > 0 {
		return platform.TxnResult{Conflicts: conflicts}
	}
	s.revision++
	for _, put := range txn.Puts {
		s.counters.BytesWritten += int64(len(put.Value))
		s.putLocked(platform.Row{Key: put.Key, Value: append([]byte{}, put.Value...), Revision: s.revision})
	}
	for _, key := range txn.Deletes {
		s.deleteLocked(key)
	}
	return platform.TxnResult{Committed: true, Revision: s.revision}
}

func (s *Server) putLocked(row platform.Row) {
	if _, ok := s.rows[row.Key]; !ok {
		at := sort.SearchStrings(s.keys, row.Key)
		s.keys = append(s.keys, "")
		copy(s.keys[at+1:], s.keys[at:])
		s.keys[at] = row.Key
	}
	s.rows[row.Key] = row
}

func (s *Server) deleteLocked(key string) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	at := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:at], s.keys[at+1:]...)
	delete(s.rows, key)
}
