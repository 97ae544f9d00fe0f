// Package plain simulates an HTTP service that is not a model engine, for tests and
// demonstrations. Its lookups are idempotent and its orders are not.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// IncarnationHeader carries the instance's incarnation in every response.
const IncarnationHeader = "X-Engine-Incarnation"

// maxBodyBytes limits the body of an order.
const maxBodyBytes = 1 << 20

// RunCounter counts the orders that were executed by all instances that share it.
type RunCounter struct {
	runs atomic.Int64
	// mu guards runsByBody.
	mu         sync.Mutex
	runsByBody map[string]int
}

func NewRunCounter() *RunCounter { return &RunCounter{runsByBody: map[string]int{}} }

// Runs returns the number of executed orders, duplicates included.
func (l *RunCounter) Runs() int64 { return l.runs.Load() }

// RunsWithBody returns how many times an order with exactly this body was executed.
func (l *RunCounter) RunsWithBody(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByBody[body]
}

func (l *RunCounter) record(body string) {
	l.mu.Lock()
	l.runsByBody[body]++
	l.mu.Unlock()
	l.runs.Add(1)
}

// Faults are the faults injected into an instance.
type Faults struct {
	// Delay postpones each lookup and order before it is executed.
	Delay time.Duration
	// CrashBefore and CrashAfter are the number of following orders on which the
	// instance crashes before or after it executes the order.
	CrashBefore, CrashAfter int
}

// Service is one instance of the simulated service.
type Service struct {
	counter *RunCounter
	// Clock times Faults.Delay. It must not be changed after serving has started.
	Clock clockwork.Clock

	// mu guards the fields below.
	mu          sync.Mutex
	faults      Faults
	incarnation string
}

// New returns an instance that records its orders in counter.
func New(counter *RunCounter) *Service {
	s := &Service{counter: counter, Clock: clockwork.NewRealClock()}
	s.Restart()
	return s
}

func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Restart simulates a restart: the instance gets a new incarnation.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = uuid.NewString()
}

func (s *Service) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

type stockResponse struct {
	Item  string `json:"item"`
	Count int    `json:"count"`
}

type runCountResponse struct {
	Runs int64 `json:"runs"`
}

type orderResponse struct {
	RunID string          `json:"run_id"`
	Echo  json.RawMessage `json:"echo"`
}

type incarnationResponse struct {
	Incarnation string `json:"incarnation"`
}

// Handler serves GET /stock, POST /orders and GET /incarnation.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stock", s.lookup)
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET /incarnation", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, incarnationResponse{Incarnation: s.Incarnation()})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(IncarnationHeader, s.Incarnation())
		mux.ServeHTTP(w, r)
	})
}

// lookup returns a stock count that depends only on the item's name, or the number of
// executed orders for stat=runs.
func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	if !s.applyDelay(r) {
		return
	}
	query := r.URL.Query()
	if query.Get("stat") == "runs" {
		writeJSON(w, runCountResponse{Runs: s.counter.Runs()})
		return
	}
	item := query.Get("item")
	count := 0
	for _, char := range item {
		count = (count*31 + int(char)) % 1000
	}
	writeJSON(w, stockResponse{Item: item, Count: count})
}

// order executes the order on every call. It does not deduplicate, so that tests can
// count repeated executions.
func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || !json.Valid(body) {
		http.Error(w, `{"error":"body is not JSON"}`, http.StatusBadRequest)
		return
	}
	if !s.applyDelay(r) {
		return
	}
	s.crashIfDue(func(f *Faults) *int { return &f.CrashBefore })
	s.counter.record(string(body))
	s.crashIfDue(func(f *Faults) *int { return &f.CrashAfter })
	writeJSON(w, orderResponse{RunID: uuid.NewString(), Echo: body})
}

// applyDelay waits for Faults.Delay. It returns false if the client disconnected first.
func (s *Service) applyDelay(r *http.Request) bool {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay == 0 {
		return true
	}
	select {
	case <-s.Clock.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// crashIfDue simulates a crash while the counter that the function selects is positive: it
// decrements the counter, restarts the instance and aborts the connection.
func (s *Service) crashIfDue(counter func(*Faults) *int) {
	s.mu.Lock()
	remaining := counter(&s.faults)
	due := *remaining > 0
	if due {
		*remaining--
	}
	s.mu.Unlock()
	if due {
		s.Restart()
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(fmt.Sprintf("plain: cannot encode response: %v", err))
	}
}
