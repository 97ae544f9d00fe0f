package direct

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

func startStandinStore(t *testing.T) (*standin.Store, *platform.Store) {
	t.Helper()
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
}

// TestEntryRegistersAgainAfterRestore guards against an entry that agents and new entries no
// longer find, because the store was restored from a copy without its row.
func TestEntryRegistersAgainAfterRestore(t *testing.T) {
	store, client := startStandinStore(t)
	e := New(Config{Settings: settings.Direct{Name: "a"}, Store: client, Clock: clockwork.NewRealClock(), Logger: logs.Discard()})
	store.Copy()
	e.register(t.Context())
	require.True(t, store.Has(platform.TableEntries, "a"))
	store.Restore()
	e.registerAgain(t.Context())
	require.False(t, store.Has(platform.TableEntries, "a"), "the restoration is not known yet")
	_, _, err := client.Read(t.Context(), platform.TableEntries)
	require.NoError(t, err)
	e.registerAgain(t.Context())
	require.True(t, store.Has(platform.TableEntries, "a"))
	written := *e.rowVersion.Load()
	e.registerAgain(t.Context())
	require.Equal(t, written, *e.rowVersion.Load(), "once is enough")
}

// TestRowOfAnEarlierEraIsNotDeleted guards against an entry that deletes a row of another
// start, which was given the version of its own one after a restoration.
func TestRowOfAnEarlierEraIsNotDeleted(t *testing.T) {
	store, client := startStandinStore(t)
	e := New(Config{Settings: settings.Direct{Name: "a"}, Store: client, Clock: clockwork.NewRealClock(), Logger: logs.Discard()})
	store.Copy()
	e.register(t.Context())
	store.Restore()
	store.Put(platform.TableEntries, "a", []byte("{}"))
	_, _, err := client.Read(t.Context(), platform.TableEntries)
	require.NoError(t, err)
	e.unregister()
	require.True(t, store.Has(platform.TableEntries, "a"))
}

// TestDomainsStayOutOfServiceThroughRestore guards against requests to a failure domain that
// was taken out of service just before the store was restored from an older copy. One that
// nobody names again is back in service afterwards.
func TestDomainsStayOutOfServiceThroughRestore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(Config{Settings: settings.Direct{Name: "a"}, Clock: clock, Logger: logs.Discard()})
	o := newOperatorObserver(e)
	out := func(domain string, deleted bool) platform.Row {
		return platform.Row{Key: "evacuate/" + domain, Deleted: deleted}
	}
	o.OnChanges([]platform.Row{out("z1", false), out("z2", false), out("z3", false)})
	o.OnSnapshot(nil)
	require.Equal(t, map[string]bool{"z1": true, "z2": true, "z3": true}, o.domainsOut)
	clock.Advance(removalGrace / 2)
	o.OnChanges([]platform.Row{out("z1", false), out("z3", true)})
	o.tick()
	require.Equal(t, map[string]bool{"z1": true, "z2": true}, o.domainsOut, "a change is believed at once")
	clock.Advance(removalGrace)
	o.tick()
	require.Equal(t, map[string]bool{"z1": true}, o.domainsOut)
}

// TestEntryFollowsRestoredStore restores the store under a running entry's followers. Targets
// that the copy lacks are kept until they can have registered again, and changes that get
// versions which were known before are seen.
func TestEntryFollowsRestoredStore(t *testing.T) {
	store, client := startStandinStore(t)
	e := New(Config{Settings: settings.Direct{Name: "a"}, Store: client, Clock: clockwork.NewRealClock(), Logger: logs.Discard()})
	target := func(id, address string) {
		store.Put(platform.TableTargets, id, (&standin.Target{ID: id, Service: "s", FailureDomain: "z"}).RegistrationValue(address, "ready"))
	}
	target("old", "127.0.0.1:1")
	store.Copy()
	target("lost", "127.0.0.1:2")
	target("gone", "127.0.0.1:3")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	socket := newHeartbeater(t, "unused", nil).socket
	heartbeats := &heartbeater{entry: e, socket: socket, log: logs.Component(logs.Discard(), "peers")}
	var wg sync.WaitGroup
	e.startBackground(ctx, &wg, heartbeats)
	known := func() []string { return e.dispatcher.TargetIDs() }
	require.Eventually(t, func() bool { return len(known()) == 3 }, 5*time.Second, 10*time.Millisecond)

	store.SetFaults(standin.StoreFaults{Status: 503})
	time.Sleep(300 * time.Millisecond)
	store.Restore()
	store.SetFaults(standin.StoreFaults{})
	target("new", "127.0.0.1:4")
	target("lost", "127.0.0.1:2")
	require.Eventually(t, func() bool { return len(known()) == 4 }, 5*time.Second, 10*time.Millisecond, "none is dropped at once")
	require.Eventually(t, func() bool { return len(known()) == 3 }, 5*time.Second, 10*time.Millisecond)
	require.ElementsMatch(t, []string{"old", "lost", "new"}, known())
	require.Eventually(t, func() bool { return store.Has(platform.TableEntries, "a") }, 2*time.Second, 10*time.Millisecond)
}

// TestDomainsStayOutOfServiceUntilOperatorsWriteThemAgain guards against requests to a failure domain that
// was taken out of service, because a store that came back from an older copy lacks it and its operators take
// some seconds to write it again.
func TestDomainsStayOutOfServiceUntilOperatorsWriteThemAgain(t *testing.T) {
	store, client := startStandinStore(t)
	clock := clockwork.NewFakeClock()
	e := New(Config{Settings: settings.Direct{Name: "a"}, Store: client, Clock: clock, Logger: logs.Discard()})
	read := func() []platform.Row {
		rows, _, err := client.Read(t.Context(), platform.TableOperator)
		require.NoError(t, err)
		return rows
	}
	read()
	o := newOperatorObserver(e)
	store.Copy()
	o.OnChanges([]platform.Row{{Key: "evacuate/z1"}, {Key: "evacuate/z2"}})
	store.Restore()
	o.OnSnapshot(read())
	clock.Advance(restoredGrace - time.Second)
	o.tick()
	require.Equal(t, map[string]bool{"z1": true, "z2": true}, o.domainsOut)
	o.OnChanges([]platform.Row{{Key: "evacuate/z1"}})
	clock.Advance(time.Second)
	o.tick()
	require.Equal(t, map[string]bool{"z1": true}, o.domainsOut, "one that nobody names again is back in service at last")
	o.OnSnapshot(read())
	clock.Advance(removalGrace)
	o.tick()
	require.Empty(t, o.domainsOut, "the store was not restored again")
}
