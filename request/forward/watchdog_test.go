package forward

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/config"
)

// TestWatchdogChecksThatStartAtOnce guards against a check that runs before the watchdog
// has stored its timer: with a silence timeout of next to nothing, the check starts while
// start still runs. Under the race detector, one of the runs shows the data race.
func TestWatchdogChecksThatStartAtOnce(t *testing.T) {
	const runs = 2000
	now := time.Now()
	dispatcher := dispatch.New(dispatch.Config{})
	dispatcher.SetServices(map[string]*config.Service{"s": {Name: "s"}}, now)
	dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: "10.0.0.1:80", FailureDomain: "d", Capacity: runs}, now)
	budget := retry.NewBudget(0, 0)
	handler := &Handler{dispatcher: dispatcher, clock: clockwork.NewRealClock(), budget: func(string) *retry.Budget { return budget }}
	for range runs {
		taken, _ := dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}, now)
		require.NotNil(t, taken)
		w := &watchdog{handler: handler, target: taken, silenceTimeout: 1, cancel: func(error) {}, lastProgress: now}
		w.start()
		w.stop()
	}
}

// TestSlowCallerIsNoSilentTarget guards against a stream that is taken from a healthy target
// because the caller is slow: while the response is not read, the target can make no progress.
func TestSlowCallerIsNoSilentTarget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	dispatcher := dispatch.New(dispatch.Config{})
	dispatcher.SetServices(map[string]*config.Service{"s": {Name: "s"}}, clock.Now())
	budget := retry.NewBudget(0, 0)
	handler := &Handler{dispatcher: dispatcher, clock: clock, budget: func(string) *retry.Budget { return budget }}
	var targets []*dispatch.Target
	for _, id := range []string{"a", "b"} {
		dispatcher.Register(target.Registration{ID: id, Service: "s", Address: id + ":80", Capacity: 1}, clock.Now())
		taken, _ := dispatcher.Acquire(dispatch.Request{Service: "s"}, clock.Now())
		targets = append(targets, taken)
	}
	const timeout = time.Second
	var cancelled error
	attempts := retry.NewSession(retry.Policy{Deadline: clock.Now().Add(time.Minute), Budget: retry.NewBudget(0, 1)})
	w := &watchdog{handler: handler, target: targets[0], silenceTimeout: timeout, attempts: attempts, cancel: func(err error) { cancelled = err }, lastProgress: clock.Now()}
	w.timer = time.NewTimer(time.Hour)
	defer w.timer.Stop()
	w.pauseReading()
	clock.Advance(3 * timeout)
	dispatcher.Progress(targets[1], clock.Now())
	w.check()
	require.NoError(t, cancelled)
	w.resumeReading()
	w.check()
	require.NoError(t, cancelled, "the silence begins when the response is read again")
	clock.Advance(3 * timeout)
	dispatcher.Progress(targets[1], clock.Now())
	w.check()
	require.ErrorIs(t, cancelled, errTargetSilent)
}
