package order

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	standin "verbenaseam.example/verbenaseam/internal/standin/platform"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// writeAll writes rows concurrently and returns the result of each.
func writeAll(r *Recorder, writes []Write) []WriteResult {
	results := make([]WriteResult, len(writes))
	var wait sync.WaitGroup
	for i, write := range writes {
		wait.Go(func() { results[i] = r.Write(context.Background(), write) })
	}
	wait.Wait()
	return results
}

func TestCommitterUnderFaults(t *testing.T) {
	cases := []struct {
		desc    string
		prepare func(*standin.InMemory)
		want    Effect
		commits int64
	}{
		{"no fault", func(*standin.InMemory) {}, EffectWritten, 1},
		{"reply lost after effect", func(s *standin.InMemory) { s.LoseReplies(1) }, EffectWritten, 1},
		{"outage", func(s *standin.InMemory) { s.SetOutage(true) }, EffectNone, 0},
		{"every reply lost", func(s *standin.InMemory) { s.LoseReplies(100) }, EffectWritten, 1},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			server := standin.New(standin.Config{Clock: clockwork.NewFakeClock()})
			_, err := server.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "order/taken", Value: []byte("other")}}})
			require.NoError(t, err)
			tc.prepare(server)
			c := committer{table: server, sleep: func(context.Context, time.Duration) {}}
			writes := []Write{{Key: "order/a", Content: []byte("a")}, {Key: "order/b", Content: []byte("b")}}
			results, _ := c.commit(context.Background(), writes)
			for _, result := range results {
				require.Equal(t, tc.want, result.Effect)
			}
			require.Equal(t, tc.commits, server.Counters().Writes-1)
		})
	}
}

// TestCommitterExcludesOnlyConflictingWrite guards against a conflict of one write
// that keeps the other writes of its batch from taking effect.
func TestCommitterExcludesOnlyConflictingWrite(t *testing.T) {
	server := standin.New(standin.Config{Clock: clockwork.NewFakeClock()})
	taken, err := server.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "order/b", Value: []byte("other")}}})
	require.NoError(t, err)
	c := committer{table: server}
	results, _ := c.commit(context.Background(), []Write{
		{Key: "order/a", Content: []byte("a")},
		{Key: "order/b", Content: []byte("b")},
		{Key: "order/c", Content: []byte("c")},
	})
	require.Equal(t, EffectWritten, results[0].Effect)
	require.Equal(t, EffectConflict, results[1].Effect)
	require.Equal(t, platform.Row{Key: "order/b", Value: []byte("other"), Revision: taken.Revision}, results[1].Row)
	require.Equal(t, EffectWritten, results[2].Effect)
	require.EqualValues(t, 3, server.Counters().Writes, "one setup write, one rejected transaction, one without the conflict")
}

// TestRecorderRejectsUnsentWrites blocks the platform and checks that a waiting
// write is rejected with EffectNone after DefaultMaxQueueWait.
func TestRecorderRejectsUnsentWrites(t *testing.T) {
	clock := clockwork.NewFakeClock()
	server := standin.New(standin.Config{Clock: clock})
	server.SetFaults(standin.Faults{Delay: time.Hour})
	r := NewRecorder(RecorderConfig{Table: server, Clock: clock, MaxBatch: 1, MaxQueue: recorderWorkers + 1, CommitsPerSecond: 1e6})
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan WriteResult)
	for i := range recorderWorkers + 1 {
		go func() { results <- r.Write(ctx, Write{Key: fmt.Sprint(i)}) }()
	}
	// Each worker has one write blocked in the platform, and each write waits for
	// its result or DefaultMaxQueueWait.
	require.NoError(t, clock.BlockUntilContext(ctx, 2*recorderWorkers+1))
	clock.Advance(DefaultMaxQueueWait)
	rejected := <-results
	require.Equal(t, EffectNone, rejected.Effect)
	require.ErrorIs(t, rejected.Cause, ErrQueueTimeout)
	cancel()
	for range recorderWorkers {
		require.Equal(t, EffectUnknown, (<-results).Effect, "the effect of a sent write is unknown")
	}
	clock.Advance(time.Hour)
	r.Close()
}

func TestRecorderBatchesOrders(t *testing.T) {
	server := standin.New(standin.Config{WritesPerSecond: -1})
	r := NewRecorder(RecorderConfig{Table: server, MaxQueueWait: time.Minute})
	defer r.Close()
	var writes []Write
	for i := range 2000 {
		writes = append(writes, Write{Key: fmt.Sprintf("order/%d", i), Content: []byte("x")})
	}
	for _, result := range writeAll(r, writes) {
		require.Equal(t, EffectWritten, result.Effect)
	}
	require.EqualValues(t, 2000, r.Stats().Writes)
	require.Equal(t, r.Stats().Batches, server.Counters().Writes)
	require.LessOrEqual(t, server.Counters().Writes, int64(200))
}

// singleAgent is a Dispatcher with a single agent in the same process.
type singleAgent struct {
	execution *ExecutionTracker
	runs      *atomic.Int64
}

func (d singleAgent) Place(context.Context, Request, []string) (Placement, error) {
	return Placement{Target: "target-0", Incarnation: "one", AgentTime: d.execution.Time()}, nil
}

func (d singleAgent) Dispatch(_ context.Context, dispatch Dispatch) (Reply, error) {
	begun := d.execution.Begin(dispatch.Attempt)
	if !begun.Run {
		return begun.Reply, nil
	}
	body := fmt.Appendf(nil, "%s ran as %d", dispatch.Attempt.Key, d.runs.Add(1))
	return d.execution.Finish(dispatch.Attempt, Reply{State: ExecutionDone, Result: &Result{Status: 200, Body: body}}), nil
}

func (d singleAgent) Tombstone(_ context.Context, attempt Attempt, _ time.Duration) (Reply, error) {
	return d.execution.Tombstone(attempt), nil
}

func (d singleAgent) Query(_ context.Context, attempt Attempt, _ time.Duration) (Reply, error) {
	return d.execution.Query(attempt), nil
}

func (d singleAgent) Release(_ context.Context, attempt Attempt) { d.execution.Release(attempt) }

// TestEntriesRunEachKeyOnce guards against keys that run more than once, and
// against differing answers, when several coordinators get the same key
// concurrently and replies to their recorders are lost.
func TestEntriesRunEachKeyOnce(t *testing.T) {
	const entries, keys = 4, 100
	server := standin.New(standin.Config{WritesPerSecond: -1, ReadsPerSecond: -1})
	server.LoseReplies(20)
	agent := singleAgent{execution: NewExecutionTracker(ExecutionTrackerConfig{Incarnation: "one"}), runs: &atomic.Int64{}}
	answers := make([][entries]string, keys)
	var wait sync.WaitGroup
	var last *Coordinator
	for entry := range entries {
		recorder := NewRecorder(RecorderConfig{Table: server, CommitsPerSecond: 1000, MaxQueueWait: time.Minute})
		defer recorder.Close()
		coordinator, err := NewCoordinator(Config{Table: server, Writer: recorder, Dispatcher: agent})
		require.NoError(t, err)
		last = coordinator
		for key := range keys {
			wait.Go(func() {
				answer, err := coordinator.Run(context.Background(), Request{
					Organisation: "himal", Key: fmt.Sprintf("key/%d", key), Timeout: time.Minute,
				})
				if err == nil {
					answers[key][entry] = string(answer.Result.Body)
				}
			})
		}
	}
	wait.Wait()
	require.EqualValues(t, keys, agent.runs.Load())
	for key, got := range answers {
		for entry := range entries {
			require.Equal(t, got[0], got[entry], "key %d", key)
		}
		require.Contains(t, got[0], fmt.Sprintf("key/%d ran", key))
	}
	checkRecordAndConflict(t, last)
}

func checkRecordAndConflict(t *testing.T, c *Coordinator) {
	ctx := context.Background()
	record, err := c.GetRecord(ctx, "himal", "key/7")
	require.NoError(t, err)
	require.Equal(t, StateDone, record.State)
	_, err = c.GetRecord(ctx, "himal", "none")
	require.Equal(t, failure.NotFound, failure.From(err).Kind)
	_, err = c.Run(ctx, Request{Organisation: "himal", Key: "key/7", Fingerprint: [32]byte{1}, Timeout: time.Minute})
	require.Equal(t, failure.IdempotencyConflict, failure.From(err).Kind)
	require.Equal(t, failure.NotRun, failure.From(err).Outcome)
}

// TestOutageFailsImmediately uses a stopped clock, so that a call that waits
// during a platform outage would hang.
func TestOutageFailsImmediately(t *testing.T) {
	clock := clockwork.NewFakeClock()
	server := standin.New(standin.Config{Clock: clock})
	server.SetOutage(true)
	recorder := NewRecorder(RecorderConfig{Table: server, Clock: clock})
	defer recorder.Close()
	agent := singleAgent{execution: NewExecutionTracker(ExecutionTrackerConfig{Incarnation: "one"}), runs: &atomic.Int64{}}
	coordinator, err := NewCoordinator(Config{Table: server, Writer: recorder, Dispatcher: agent, Clock: clock})
	require.NoError(t, err)
	_, err = coordinator.Run(context.Background(), Request{Organisation: "o", Key: "k", Timeout: time.Second})
	require.Equal(t, failure.PlatformUnavailable, failure.From(err).Kind)
	require.Equal(t, failure.NotRun, failure.From(err).Outcome)
	require.Zero(t, agent.runs.Load())
}
