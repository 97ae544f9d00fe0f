package order

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// TestLostRecordOfAnAttemptIsNotTakenForNotRun guards against an order that runs twice: a call
// waits for another call's attempt, the platform returns from an older copy without the
// record, and the waiting call takes the order for one that nobody has sent.
func TestLostRecordOfAnAttemptIsNotTakenForNotRun(t *testing.T) {
	clock := clockwork.NewFakeClock()
	now := clock.Now()
	for _, test := range []struct {
		desc    string
		record  Record
		unknown bool
	}{
		{"an attempt that may run", Record{State: StateDispatched, Created: now, Expires: now.Add(time.Hour)}, true},
		{"an expired attempt, which a sweep deletes", Record{State: StateDispatched, Created: now.Add(-2 * time.Hour), Expires: now.Add(-time.Hour)}, false},
		{"an attempt that did not run", Record{State: StateNotRun, Created: now, Expires: now.Add(time.Hour)}, false},
		{"no attempt", Record{}, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := &call{Coordinator: &Coordinator{clock: clockworkClock{clock}}, current: versionedRecord{record: test.record}}
			next := c.handleExisting(t.Context(), platform.Row{})
			require.Equal(t, test.unknown, next.done)
			if test.unknown {
				require.Equal(t, failure.Unknown, failure.From(next.err).Outcome)
			}
		})
	}
}
