package direct

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
)

// newHeartbeater returns the heartbeater of a new entry, with an open socket. The entry
// has peer registered, unless it is nil.
func newHeartbeater(t *testing.T, name string, peer *heartbeater) *heartbeater {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	e := New(Config{
		Settings: settings.Direct{Name: name, PeerAddress: socket.LocalAddr().String()},
		Clock:    clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	if peer != nil {
		e.peers.Register(peer.entry.self, e.clock.Now())
	}
	return &heartbeater{entry: e, socket: socket, log: logs.Component(logs.Discard(), "peers")}
}

// TestHeartbeatsCarryCrashEvidence lets one entry see three crashes. The other entry must
// refuse the request too, even if it started after the crashes. Not every heartbeat
// reports all crashes that are long past.
func TestHeartbeatsCarryCrashEvidence(t *testing.T) {
	receiver := newHeartbeater(t, "a", nil)
	go receiver.receive()
	sender := newHeartbeater(t, "b", receiver)
	for target, age := range map[string]time.Duration{"x": 15 * time.Second, "y": 10 * time.Second, "z": 5 * time.Second} {
		crash := poison.Crash{Target: target, Incarnation: "1", Fingerprints: []uint64{7}}
		require.True(t, sender.entry.poison.Crashed(crash, age))
	}
	refuses := func() bool {
		return receiver.entry.poison.Assess(7).Failure(time.Now()) != nil
	}
	sender.restrictedSent = sender.entry.clock.Now()
	sender.send()
	require.Never(t, refuses, 100*time.Millisecond, 20*time.Millisecond, "most heartbeats do not report old crashes")
	sender.restrictedSent = sender.restrictedSent.Add(-restrictedInterval)
	sender.send()
	require.Eventually(t, refuses, 2*time.Second, 10*time.Millisecond)
	require.Len(t, sender.evidence(sender.restrictedSent.Add(restrictedInterval-time.Millisecond)).Crashes, 1)
	require.Len(t, receiver.entry.peers.Names(), 1)
}

// TestRestartedEntryLearnsOfCrashesAmongManyOthers guards against an entry that starts after
// a request has crashed three targets and sends it on, because heartbeats report only the
// latest crashes and other targets have crashed since.
func TestRestartedEntryLearnsOfCrashesAmongManyOthers(t *testing.T) {
	receiver := newHeartbeater(t, "a", nil)
	go receiver.receive()
	sender := newHeartbeater(t, "b", receiver)
	for n := range uint64(3) {
		crash := poison.Crash{Target: fmt.Sprintf("x%d", n), Incarnation: "1", Fingerprints: []uint64{7, 100 + n}}
		require.True(t, sender.entry.poison.Crashed(crash, time.Duration(30-5*n)*time.Second))
	}
	for n := range uint64(10) {
		crash := poison.Crash{Target: fmt.Sprintf("y%d", n), Incarnation: "1", Fingerprints: []uint64{200 + n}}
		require.True(t, sender.entry.poison.Crashed(crash, time.Duration(15-n)*time.Second))
	}
	sender.send()
	refuses := func() bool {
		return receiver.entry.poison.Assess(7).Failure(time.Now()) != nil
	}
	require.Eventually(t, refuses, 2*time.Second, 10*time.Millisecond)
	require.Nil(t, receiver.entry.poison.Assess(200).Failure(time.Now()))
}

// TestPauseOfOneEntryLeavesTargetToOthers guards against a target that no entry uses because
// it has turned away one of them.
func TestPauseOfOneEntryLeavesTargetToOthers(t *testing.T) {
	receiver := newHeartbeater(t, "a", nil)
	go receiver.receive()
	sender := newHeartbeater(t, "b", receiver)
	now := time.Now()
	work := dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}
	for _, h := range []*heartbeater{receiver, sender} {
		h.entry.dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", Capacity: 1}, now)
	}
	paused, _ := sender.entry.dispatcher.Acquire(work, now)
	sender.entry.dispatcher.Pause(paused, time.Minute, now)
	sender.entry.dispatcher.Release(paused, dispatch.Full, now)
	sender.send()
	require.Eventually(t, func() bool { return len(receiver.entry.peers.Names()) > 0 }, 2*time.Second, 10*time.Millisecond)
	to, _ := sender.entry.dispatcher.Acquire(work, now)
	require.Nil(t, to)
	to, _ = receiver.entry.dispatcher.Acquire(work, now)
	require.NotNil(t, to)
}

// TestEntryLearnsOfLeavingTargetFromItsAgent guards against requests to a target that told
// only the agent on its host that it leaves. A later incarnation at the address is free of it.
func TestEntryLearnsOfLeavingTargetFromItsAgent(t *testing.T) {
	h := newHeartbeater(t, "a", nil)
	now := time.Now()
	registration := target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", Capacity: 1, StartedAt: time.UnixMilli(5)}
	report := presence.TargetReport{Address: registration.Address, Slowdown: 1, Leaving: true, StartedAtMillis: 5}
	taken := func() bool {
		to, waiter := h.entry.dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}, now)
		require.Nil(t, waiter)
		if to != nil {
			h.entry.dispatcher.Release(to, dispatch.Abandoned, now)
		}
		return to != nil
	}
	h.entry.dispatcher.Register(registration, now)
	require.True(t, taken())
	h.applyTargetReport(report, now)
	require.False(t, taken())
	registration.StartedAt = time.UnixMilli(6)
	h.entry.dispatcher.Register(registration, now)
	h.applyTargetReport(report, now)
	require.True(t, taken())
}

// TestEntriesLearnOfLeavingTargetsFromEachOther guards against entries that send requests to a
// target which told another entry that it leaves, while the store is away.
func TestEntriesLearnOfLeavingTargetsFromEachOther(t *testing.T) {
	receiver := newHeartbeater(t, "a", nil)
	go receiver.receive()
	sender := newHeartbeater(t, "b", receiver)
	work := dispatch.Request{Service: "s", QueueDeadline: time.Now().Add(time.Minute)}
	for _, h := range []*heartbeater{receiver, sender} {
		h.entry.dispatcher.Register(target.Registration{
			ID: "t", Service: "s", Address: "127.0.0.1:1", Capacity: 1, StartedAt: time.UnixMilli(5),
		}, time.Now())
	}
	leaving, _ := sender.entry.dispatcher.Acquire(work, time.Now())
	require.NotNil(t, leaving)
	sender.entry.dispatcher.RecordLeaving(leaving, time.Now())
	sender.send()
	require.Eventually(t, func() bool {
		taken, waiter := receiver.entry.dispatcher.Acquire(work, time.Now())
		if taken != nil {
			receiver.entry.dispatcher.Release(taken, dispatch.Abandoned, time.Now())
		}
		return taken == nil && waiter == nil
	}, 2*time.Second, 10*time.Millisecond)
}

// TestHeartbeatsOfManyEntriesAreRarer guards against heartbeats that grow with the square of
// the number of entries, and against ones so rare that two lost ones end a peer's life.
func TestHeartbeatsOfManyEntriesAreRarer(t *testing.T) {
	for _, entries := range []int{1, 4, 14, 32} {
		require.Equal(t, 1, heartbeatIntervals(entries))
	}
	require.Equal(t, 2, heartbeatIntervals(60))
	longest := heartbeatInterval * time.Duration(heartbeatIntervals(1400))
	require.Greater(t, peerTimeout, 3*longest)
}

// TestUnregisterEndsWithinShutdownMargin guards against an entry that is killed at the end
// of its grace period because a slow store does not answer the removal of its row.
func TestUnregisterEndsWithinShutdownMargin(t *testing.T) {
	answered := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-answered }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(answered) })
	e := New(Config{
		Settings: settings.Direct{Name: "a"}, Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")),
		Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	e.rowVersion.Store(&platform.Version{Number: 1})
	started := time.Now()
	e.unregister()
	require.Less(t, time.Since(started), shutdownMargin)
}

// TestLoadOfRemovedEntryIsForgotten guards against targets that seem occupied for ever by the
// requests of an entry whose registration is deleted after its last heartbeat.
func TestLoadOfRemovedEntryIsForgotten(t *testing.T) {
	h := newHeartbeater(t, "a", nil)
	e, now := h.entry, time.Now()
	e.dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", Capacity: 1}, now)
	beat := presence.Heartbeat{Peer: presence.Peer{Name: "b"}, Load: map[string]int{"t": 1}, Sequence: 1}
	require.True(t, e.peers.RecordHeartbeat(beat, now))
	e.dispatcher.SetPeerLoad("b", beat.Load, now)
	observer := &peerObserver{entry: e, log: h.log}
	observer.OnChanges([]platform.Row{{Key: "b", Deleted: true}})
	h.send()
	taken, _ := e.dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}, now)
	require.NotNil(t, taken)
}
