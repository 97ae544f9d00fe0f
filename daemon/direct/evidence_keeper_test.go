package direct

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/poison"
)

// startKeeper starts an entry's evidence keeper. The keeper stops when the returned function is
// called.
func startKeeper(t *testing.T, name string, client *platform.Store, clock clockwork.Clock) (*Entry, context.CancelFunc) {
	t.Helper()
	e := New(Config{Settings: settings.Direct{Name: name}, Store: client, Clock: clock, Logger: logs.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.evidence.run(ctx)
	}()
	return e, func() {
		cancel()
		<-done
	}
}

// crashThrice makes an entry notice three crashes of a request.
func crashThrice(t *testing.T, e *Entry, fingerprint uint64) {
	t.Helper()
	for target, age := range map[string]time.Duration{"x": 15 * time.Second, "y": 10 * time.Second, "z": 5 * time.Second} {
		require.True(t, e.poison.Crashed(poison.Crash{Target: target, Incarnation: "1", Fingerprints: []uint64{fingerprint}}, age))
	}
	e.shareEvidence()
}

func loaded(e *Entry) func() bool { return e.evidenceLoaded.Load }

// TestCrashEvidenceOutlivesAllEntries guards against a request that crashes targets anew after
// all entries that refused it have been lost at once.
func TestCrashEvidenceOutlivesAllEntries(t *testing.T) {
	store, client := startStandinStore(t)
	clock := clockwork.NewRealClock()
	first, stop := startKeeper(t, "a", client, clock)
	require.Eventually(t, loaded(first), 2*time.Second, time.Millisecond)
	crashThrice(t, first, 7)
	require.Eventually(t, func() bool { return store.Has(platform.TableCrashEvidence, "a") }, 2*time.Second, time.Millisecond)
	stop()
	second, stop := startKeeper(t, "b", client, clock)
	defer stop()
	require.Eventually(t, loaded(second), 2*time.Second, time.Millisecond)
	require.Equal(t, poison.Refused, second.poison.Assess(7).Level)
	require.Equal(t, poison.Clear, second.poison.Assess(8).Level)
}

// TestCrashEvidenceIsWrittenOnceTheStoreIsBack guards against evidence that is never stored
// because the store was away when the crash was noticed, or has been restored since.
func TestCrashEvidenceIsWrittenOnceTheStoreIsBack(t *testing.T) {
	store, client := startStandinStore(t)
	store.Copy()
	e, stop := startKeeper(t, "a", client, clockwork.NewRealClock())
	defer stop()
	require.Eventually(t, loaded(e), 2*time.Second, time.Millisecond)
	store.SetFaults(standin.StoreFaults{Status: 503})
	crashThrice(t, e, 7)
	time.Sleep(evidenceCheckInterval / 5)
	require.False(t, store.Has(platform.TableCrashEvidence, "a"))
	store.SetFaults(standin.StoreFaults{})
	written := func() bool { return store.Has(platform.TableCrashEvidence, "a") }
	require.Eventually(t, written, 4*evidenceCheckInterval, time.Millisecond)
	store.Restore()
	require.False(t, written())
	_, _, err := client.Read(t.Context(), platform.TableEntries)
	require.NoError(t, err)
	require.Eventually(t, written, 4*evidenceCheckInterval, time.Millisecond)
}

// TestExpiredAndUnreadableEvidenceIsIgnored guards against requests that stay refused for ever,
// rows that pile up, and an entry that does not start because of a row.
func TestExpiredAndUnreadableEvidenceIsIgnored(t *testing.T) {
	store, client := startStandinStore(t)
	clock := clockwork.NewRealClock()
	e := New(Config{Settings: settings.Direct{Name: "old"}, Store: client, Clock: clock, Logger: logs.Discard()})
	crashThrice(t, e, 7)
	row, err := platform.EncodeCrashEvidence("old", e.poison.Restricted(maxStoredCrashes), clock.Now().Add(-2*poison.DefaultRefuseFor))
	require.NoError(t, err)
	store.Put(platform.TableCrashEvidence, "old", row.Value)
	store.Put(platform.TableCrashEvidence, "broken", []byte("not evidence"))
	started, stop := startKeeper(t, "a", client, clock)
	defer stop()
	require.Eventually(t, loaded(started), 2*time.Second, time.Millisecond)
	require.Equal(t, poison.Clear, started.poison.Assess(7).Level)
	require.Eventually(t, func() bool { return !store.Has(platform.TableCrashEvidence, "old") }, 2*time.Second, time.Millisecond)
}
