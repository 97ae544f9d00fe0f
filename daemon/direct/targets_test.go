package direct

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/version/config"
)

// watcher is a targets with its dispatcher, clock and log.
type watcher struct {
	*targets
	dispatcher *dispatch.Dispatcher
	clock      *clockwork.FakeClock
	out        *bytes.Buffer
}

func newWatcher() *watcher {
	w := &watcher{clock: clockwork.NewFakeClock(), out: &bytes.Buffer{}}
	w.dispatcher = dispatch.New(dispatch.Config{})
	logger := logrus.New()
	logger.SetOutput(w.out)
	w.targets = newTargets(w.dispatcher, w.clock, logrus.NewEntry(logger))
	return w
}

func row(id string, version uint64) platform.Row {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","capacity":2,"state":"ready","born":%d}`, version)
	return platform.Row{Key: id, Version: version, Value: []byte(value)}
}

func (w *watcher) pass(d time.Duration) {
	w.clock.Advance(d)
	w.tick()
}

func TestATargetWhoseRegistrationGoesIsGoneAtOnce(t *testing.T) {
	w := newWatcher()
	w.Whole([]platform.Row{row("a", 1), row("b", 2)})
	w.Changed([]platform.Row{{Key: "a", Deleted: true}})
	require.Equal(t, []string{"b"}, w.dispatcher.TargetIDs())
}

func TestRegistrationsThatLapseInAnOutageMayComeBack(t *testing.T) {
	w := newWatcher()
	w.Whole([]platform.Row{row("a", 1), row("b", 2)})
	w.Lost()
	w.pass(time.Minute)
	w.Regained()
	w.Changed([]platform.Row{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}})
	require.Len(t, w.dispatcher.TargetIDs(), 2)
	w.pass(absence / 2)
	w.Changed([]platform.Row{row("b", 3)})
	w.pass(absence)
	require.Equal(t, []string{"b"}, w.dispatcher.TargetIDs(), "what is still missing is gone")
}

func TestAWholeReadDropsWhatIsNotThere(t *testing.T) {
	w := newWatcher()
	w.Whole([]platform.Row{row("a", 1), row("b", 2)})
	w.Whole([]platform.Row{row("b", 2)})
	require.Equal(t, []string{"b"}, w.dispatcher.TargetIDs())
}

func TestAnUnreadableRowIsToldOfOnce(t *testing.T) {
	w := newWatcher()
	junk := platform.Row{Key: "junk", Version: 1, Value: []byte("junk")}
	w.Whole([]platform.Row{junk, row("a", 2)})
	w.Whole([]platform.Row{junk, row("a", 2)})
	require.Equal(t, 1, strings.Count(w.out.String(), "names no target"))
	require.Equal(t, []string{"a"}, w.dispatcher.TargetIDs())
}

func TestARowThatBecomesUnreadableTakesItsTargetAway(t *testing.T) {
	w := newWatcher()
	w.Whole([]platform.Row{row("a", 1)})
	w.Changed([]platform.Row{{Key: "a", Version: 2, Value: []byte("{}")}})
	require.Empty(t, w.dispatcher.TargetIDs())
}

func TestConnectionsAreKeptByIncarnation(t *testing.T) {
	w := newWatcher()
	w.dispatcher.SetServices(map[string]*config.Service{"s": {Name: "s"}}, w.clock.Now())
	w.Whole([]platform.Row{row("a", 1)})
	first, _ := w.dispatcher.Acquire(dispatch.Work{Service: "s"}, w.clock.Now())
	require.Same(t, w.connections(first), w.connections(first))
	w.Changed([]platform.Row{{Key: "a", Deleted: true}})
	require.Empty(t, w.pools)
}

func TestBudgetsAreSafeWithoutTheOthers(t *testing.T) {
	b := newBudgets(settings.Bounds{RetryShare: 0.2, RetrySlack: 80})
	spent := 0
	for b.of("s").Take() {
		spent++
	}
	require.Equal(t, 80/mostEntries, spent)
	for range 100 {
		b.of("s").Succeeded()
	}
	require.LessOrEqual(t, b.of("s").Tokens(), 0.2*100)
	require.True(t, b.of("other").Take(), "services are apart")
}
