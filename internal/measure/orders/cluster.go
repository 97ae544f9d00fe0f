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
	entryCount = 4
	// platformDelay is the platform's latency per call.
	platformDelay = 2 * time.Millisecond
	// orderTimeout is the callers' timeout of an order.
	orderTimeout = 5 * time.Second
	// offerInterval is the time between two batches of new orders.
	offerInterval = 10 * time.Millisecond
	// highestLatency is the upper bound of the latency histogram.
	highestLatency = time.Minute
)

// immediateAgent is a Dispatcher with a single agent that completes every order
// immediately.
type immediateAgent struct {
	execution *order.ExecutionTracker
	runs      atomic.Int64
}

func newImmediateAgent() *immediateAgent {
	config := order.ExecutionTrackerConfig{Incarnation: "agent-1", MaxTrackedAttempts: 1 << 20}
	return &immediateAgent{execution: order.NewExecutionTracker(config)}
}

func (a *immediateAgent) Place(context.Context, order.Request, []string) (order.Placement, error) {
	return order.Placement{Target: "target-1", Incarnation: "agent-1", AgentTime: a.execution.Time()}, nil
}

func (a *immediateAgent) Dispatch(_ context.Context, dispatch order.Dispatch) (order.Reply, error) {
	decision := a.execution.Begin(dispatch.Attempt)
	if !decision.Run {
		return decision.Reply, nil
	}
	a.runs.Add(1)
	result := &order.Result{Status: 200, ContentType: "application/json", Body: []byte(`{"run_id":"0"}`)}
	done := order.Reply{State: order.ExecutionDone, Result: result}
	return a.execution.Finish(dispatch.Attempt, done), nil
}

func (a *immediateAgent) Tombstone(_ context.Context, attempt order.Attempt, _ time.Duration) (order.Reply, error) {
	return a.execution.Tombstone(attempt), nil
}

func (a *immediateAgent) Query(_ context.Context, attempt order.Attempt, _ time.Duration) (order.Reply, error) {
	return a.execution.Query(attempt), nil
}

func (a *immediateAgent) Release(_ context.Context, attempt order.Attempt) {
	a.execution.Release(attempt)
}

// cluster is a set of entries with their platform and agent.
type cluster struct {
	platform     *standin.InMemory
	agent        *immediateAgent
	recorders    []*order.Recorder
	coordinators []*order.Coordinator

	// mu guards latency.
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	completed atomic.Int64
	refused   atomic.Int64
}

func newCluster() (*cluster, error) {
	c := &cluster{
		platform: standin.New(standin.Config{}),
		agent:    newImmediateAgent(),
		latency:  hdrhistogram.New(1, highestLatency.Microseconds(), 3),
	}
	c.platform.SetFaults(standin.Faults{Delay: platformDelay})
	for range entryCount {
		recorder := order.NewRecorder(order.RecorderConfig{Table: c.platform})
		c.recorders = append(c.recorders, recorder)
		coordinator, err := order.NewCoordinator(order.Config{
			Table: c.platform, Writer: recorder, Dispatcher: c.agent,
		})
		if err != nil {
			return nil, err
		}
		c.coordinators = append(c.coordinators, coordinator)
	}
	return c, nil
}

func (c *cluster) close() {
	for _, recorder := range c.recorders {
		recorder.Close()
	}
}

// offerLoad sends new orders at a fixed rate for a time, to the entries in turn, and
// waits until all have ended.
func (c *cluster) offerLoad(ctx context.Context, perSecond float64, duration time.Duration) {
	var running sync.WaitGroup
	start := time.Now()
	ticker := time.NewTicker(offerInterval)
	defer ticker.Stop()
	sent := 0
	for elapsed := time.Duration(0); elapsed < duration && ctx.Err() == nil; elapsed = time.Since(start) {
		for due := int(perSecond * elapsed.Seconds()); sent <= due; sent++ {
			coordinator := c.coordinators[sent%entryCount]
			key := fmt.Sprintf("order-%d", sent)
			running.Go(func() { c.runOrder(ctx, coordinator, key) })
		}
		<-ticker.C
	}
	running.Wait()
}

// runOrder runs one order and counts its outcome and latency.
func (c *cluster) runOrder(ctx context.Context, coordinator *order.Coordinator, key string) {
	started := time.Now()
	_, err := coordinator.Run(ctx, order.Request{Organisation: "himal", Key: key, Timeout: orderTimeout})
	if err != nil {
		c.refused.Add(1)
	} else {
		c.completed.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latency.RecordValue(time.Since(started).Microseconds())
}

// latencyPercentile returns a percentile of the latencies in milliseconds.
func (c *cluster) latencyPercentile(percent float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.latency.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}
