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
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/version/config"
)

// fixture is a targetObserver with its dispatcher, clock and log output.
type fixture struct {
	*targetObserver
	dispatcher *dispatch.Dispatcher
	clock      *clockwork.FakeClock
	logOutput  *bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), logOutput: &bytes.Buffer{}}
	f.dispatcher = dispatch.New(dispatch.Config{})
	logger := logrus.New()
	logger.SetOutput(f.logOutput)
	f.targetObserver = newTargetObserver(f.dispatcher, f.clock, logrus.NewEntry(logger))
	return f
}

func targetRow(id string, version uint64) platform.Row {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.%d:80","zone":"z","version":"v1","capacity":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":%d}`, id[0], version)
	return platform.Row{Key: id, Version: version, Value: []byte(value)}
}

// advance advances the clock and calls tick.
func (f *fixture) advance(d time.Duration) {
	f.clock.Advance(d)
	f.tick()
}

func TestTargetIsRemovedAtOnceWhenItsRegistrationIsDeleted(t *testing.T) {
	f := newFixture()
	f.OnSnapshot([]platform.Row{targetRow("a", 1), targetRow("b", 2)})
	f.OnChanges([]platform.Row{{Key: "a", Deleted: true}})
	require.Equal(t, []string{"b"}, f.dispatcher.TargetIDs())
}

// TestRegistrationsThatLapseInOutageCanBeRenewed guards against the removal of live
// targets whose registrations the store deleted because of its own outage.
func TestRegistrationsThatLapseInOutageCanBeRenewed(t *testing.T) {
	f := newFixture()
	f.OnSnapshot([]platform.Row{targetRow("a", 1), targetRow("b", 2)})
	f.OnStoreLost()
	f.advance(time.Minute)
	f.OnStoreRegained()
	f.OnChanges([]platform.Row{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}})
	require.Len(t, f.dispatcher.TargetIDs(), 2)
	f.advance(removalGrace / 2)
	f.OnChanges([]platform.Row{targetRow("b", 3)})
	f.advance(removalGrace)
	require.Equal(t, []string{"b"}, f.dispatcher.TargetIDs(), "the target that did not renew its registration is removed")
}

// TestEndOfTargetsIsReported guards against crashes that no entry notices, because
// the target is back under its ID before a request is sent there again.
func TestEndOfTargetsIsReported(t *testing.T) {
	f := newFixture()
	ended := map[string]poison.CrashSign{}
	f.onEnd = func(t *dispatch.Target, sign poison.CrashSign) { ended[t.ID()+"/"+t.Incarnation()] = sign }
	f.OnSnapshot([]platform.Row{targetRow("a", 1), targetRow("b", 2)})
	f.OnChanges([]platform.Row{targetRow("a", 1)})
	require.Empty(t, ended, "a renewed registration ends nothing")
	f.OnChanges([]platform.Row{targetRow("a", 4), {Key: "b", Deleted: true}})
	require.Equal(t, map[string]poison.CrashSign{
		"a/1": poison.RegistrationReplaced, "b/2": poison.RegistrationDeleted,
	}, ended)
}

func TestSnapshotRemovesMissingTargets(t *testing.T) {
	f := newFixture()
	f.OnSnapshot([]platform.Row{targetRow("a", 1), targetRow("b", 2)})
	f.OnSnapshot([]platform.Row{targetRow("b", 2)})
	require.Equal(t, []string{"b"}, f.dispatcher.TargetIDs())
}

func TestInvalidRowIsLoggedOnce(t *testing.T) {
	f := newFixture()
	invalid := platform.Row{Key: "junk", Version: 1, Value: []byte("junk")}
	f.OnSnapshot([]platform.Row{invalid, targetRow("a", 2)})
	f.OnSnapshot([]platform.Row{invalid, targetRow("a", 2)})
	require.Equal(t, 1, strings.Count(f.logOutput.String(), "names no target"))
	require.Equal(t, []string{"a"}, f.dispatcher.TargetIDs())
}

func TestRowThatBecomesInvalidRemovesItsTarget(t *testing.T) {
	f := newFixture()
	f.OnSnapshot([]platform.Row{targetRow("a", 1)})
	f.OnChanges([]platform.Row{{Key: "a", Version: 2, Value: []byte("{}")}})
	require.Empty(t, f.dispatcher.TargetIDs())
}

func TestConnectionPoolIsKeptUntilTargetIsRemoved(t *testing.T) {
	f := newFixture()
	f.dispatcher.SetServices(map[string]*config.Service{"s": {Name: "s"}}, f.clock.Now())
	f.OnSnapshot([]platform.Row{targetRow("a", 1)})
	first, _ := f.dispatcher.Acquire(dispatch.Request{Service: "s"}, f.clock.Now())
	require.Same(t, f.connectionPool(first), f.connectionPool(first))
	f.OnChanges([]platform.Row{{Key: "a", Deleted: true}})
	require.Empty(t, f.pools)
}
