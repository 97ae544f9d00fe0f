package orders

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	standin "verbenaseam.example/verbenaseam/internal/standin/platform"
	"verbenaseam.example/verbenaseam/request/order"
)

const (
	entries = 4
	// platformDelay is the platform's time for one call.
	platformDelay = 2 * time.Millisecond
	// orderTimeout is the callers' time for one order.
	orderTimeout = 5 * time.Second
	// tick is the time between two bursts of new orders.
	tick = 10 * time.Millisecond
	// highestLatency bounds the histograms.
	highestLatency = time.Minute
)

// agent is a Dispatcher whose one agent runs every order at once.
type agent struct {
	execution *order.ExecutionTracker
	runs      atomic.Int64
}

func newAgent() *agent {
	config := order.ExecutionTrackerConfig{Incarnation: "agent-1", MaxAttempts: 1 << 20}
	return &agent{execution: order.NewExecutionTracker(config)}
}

func (a *agent) Place(context.Context, order.Request, []string) (order.Placement, error) {
	return order.Placement{Target: "target-1", Incarnation: "agent-1", AgentTime: a.execution.Time()}, nil
}

func (a *agent) Dispatch(_ context.Context, dispatch order.Dispatch) (order.Reply, error) {
	verdict := a.execution.Begin(dispatch.Attempt)
	if !verdict.Run {
		return verdict.Reply, nil
	}
	a.runs.Add(1)
	result := &order.Result{Status: 200, ContentType: "application/json", Body: []byte(`{"run_id":"0"}`)}
	done := order.Reply{State: order.ExecutionDone, Result: result}
	return a.execution.Finish(dispatch.Attempt, done), nil
}

func (a *agent) Tombstone(_ context.Context, attempt order.Attempt, _ time.Duration) (order.Reply, error) {
	return a.execution.Tombstone(attempt), nil
}

func (a *agent) Query(_ context.Context, attempt order.Attempt, _ time.Duration) (order.Reply, error) {
	return a.execution.Query(attempt), nil
}

func (a *agent) Release(_ context.Context, attempt order.Attempt) { a.execution.Release(attempt) }

// fleet is the entries with their platform and agent.
type fleet struct {
	platform     *standin.Server
	agent        *agent
	recorders    []*order.Recorder
	coordinators []*order.Coordinator

	// mu guards latency.
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	done    atomic.Int64
	refused atomic.Int64
}

func newFleet() (*fleet, error) {
	f := &fleet{
		platform: standin.New(standin.Config{}),
		agent:    newAgent(),
		latency:  hdrhistogram.New(1, highestLatency.Microseconds(), 3),
	}
	f.platform.SetFaults(standin.Faults{Delay: platformDelay})
	for range entries {
		recorder := order.NewRecorder(order.RecorderConfig{Table: f.platform})
		f.recorders = append(f.recorders, recorder)
		coordinator, err := order.NewCoordinator(order.Config{
			Table: f.platform, Writer: recorder, Dispatcher: f.agent,
		})
		if err != nil {
			return nil, err
		}
		f.coordinators = append(f.coordinators, coordinator)
	}
	return f, nil
}

func (f *fleet) close() {
	for _, recorder := range f.recorders {
		recorder.Close()
	}
}

// offer sends new orders at a rate for a time, spread over the entries, and
// waits for their ends.
func (f *fleet) offer(ctx context.Context, perSecond float64, length time.Duration) {
	var wait sync.WaitGroup
	start := time.Now()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	sent := 0
	for elapsed := time.Duration(0); elapsed < length && ctx.Err() == nil; elapsed = time.Since(start) {
		for due := int(perSecond * elapsed.Seconds()); sent <= due; sent++ {
			coordinator := f.coordinators[sent%entries]
			key := fmt.Sprintf("order-%d", sent)
			wait.Go(func() { f.one(ctx, coordinator, key) })
		}
		<-ticker.C
	}
	wait.Wait()
}

func (f *fleet) one(ctx context.Context, coordinator *order.Coordinator, key string) {
	began := time.Now()
	_, err := coordinator.Run(ctx, order.Request{Organisation: "himal", Key: key, Timeout: orderTimeout})
	if err != nil {
		f.refused.Add(1)
	} else {
		f.done.Add(1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.latency.RecordValue(time.Since(began).Microseconds())
}

// quantile returns a latency quantile in milliseconds.
func (f *fleet) quantile(percent float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.latency.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}
