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
