package direct

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
)

// malformedDatagrams are datagrams that no entry or agent sends.
func malformedDatagrams(t testing.TB, address string) map[string][]byte {
	encode := func(message any) []byte {
		data, err := cbor.Marshal(message)
		require.NoError(t, err)
		return data
	}
	peer := presence.Peer{Name: "odd", Incarnation: 1, PeerAddress: address, CallerAddress: address, FailureDomain: "z"}
	beat := func(change func(*datagram)) []byte {
		message := datagram{Datagram: presence.Datagram{Heartbeat: presence.Heartbeat{Peer: peer, Sequence: math.MaxUint64}}}
		change(&message)
		return encode(message)
	}
	return map[string][]byte{
		"nothing":       {},
		"an empty map":  {0xa0},
		"null":          {0xf6},
		"a number":      {0x01},
		"cut off":       beat(func(*datagram) {})[:20],
		"wrong types":   encode(map[int]any{1: 5, 2: "x", 4: []int{1}, 9: "y", 11: 1.5}),
		"invalid UTF-8": encode(map[int]any{1: map[string]any{"Name": cbor.RawMessage{0x62, 0xff, 0xfe}}}),
		"no name":       beat(func(d *datagram) { d.Peer.Name = "" }),
		"no address":    beat(func(d *datagram) { d.Peer.PeerAddress = "nowhere" }),
		"deep nesting":  append(make([]byte, 0, 60000), bytesOf(0x81, 60000)...),
		"a huge array":  {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"ages out of range": beat(func(d *datagram) {
			d.Leavings = []presence.TargetLeaving{{Target: "t", Incarnation: "1", AgeMillis: math.MaxInt64 - 1}, {Target: "t", Incarnation: "1", AgeMillis: 1 << 45}}
			d.Limits = []presence.TargetLimit{{Target: "t", Incarnation: "1", PerSecond: 0.001, AgeMillis: math.MaxInt64 - 1}, {Target: "t", Incarnation: "1", PerSecond: math.NaN(), AgeMillis: math.MinInt64}}
		}),
		"loads out of range": beat(func(d *datagram) { d.Load = map[string]int{"t": math.MinInt, "u": math.MaxInt} }),
		"evidence out of range": beat(func(d *datagram) {
			d.Evidence = &poison.Evidence{
				Crashes:    []poison.CrashEvidence{{Target: "t", Incarnation: "1", AgeMillis: math.MaxInt64, Restart: math.MinInt, Fingerprints: []uint64{1}}},
				Clearances: []poison.Clearance{{Fingerprint: 1, AgeMillis: math.MinInt64}},
				Trials:     []poison.TrialEvidence{{Fingerprint: 1, Begun: []int{math.MaxInt, -1, 3, 4, 5, 6, 7}}},
			}
		}),
		"an odd report": encode(presence.Datagram{TargetReport: &presence.TargetReport{Address: "x", Slowdown: math.Inf(1), Leaving: true, StartedAtMillis: math.MinInt64}}),
	}
}

func bytesOf(value byte, count int) []byte {
	all := make([]byte, count)
	for i := range all {
		all[i] = value
	}
	return all
}

// TestMalformedDatagramsDoNotDisturbAnEntry guards against datagrams that stop an entry, or that
// leave in it an entry that does not exist or a target that leaves or is limited for good.
func TestMalformedDatagramsDoNotDisturbAnEntry(t *testing.T) {
	receiver := newHeartbeater(t, "a", nil)
	e := receiver.entry
	e.dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", FailureDomain: "z", Capacity: 1, StartedAt: time.UnixMilli(1)}, time.Now())
	go receiver.receive()
	sender, err := net.Dial("udp", receiver.socket.LocalAddr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	for name, data := range malformedDatagrams(t, sender.LocalAddr().String()) {
		_, err := sender.Write(data)
		require.NoError(t, err, name)
	}
	sound := newHeartbeater(t, "b", receiver)
	require.Eventually(t, func() bool {
		sound.send()
		return e.peers.HasHeard(sound.entry.self)
	}, 5*time.Second, 10*time.Millisecond, "a sound heartbeat must arrive after malformed datagrams")
	for _, name := range e.peers.Names() {
		require.Contains(t, []string{"b", "odd"}, name)
	}
	now := time.Now()
	receiver.send()
	e.tick()
	require.False(t, e.dispatcher.IsLimited("s"))
	granted, _ := e.dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}, now)
	require.NotNil(t, granted, "the target does not leave")
}

// TestPanicOfOneDatagramLeavesTheOthers guards against a datagram whose handling panics and takes
// the process down.
func TestPanicOfOneDatagramLeavesTheOthers(t *testing.T) {
	receiver := newHeartbeater(t, "a", nil)
	builds := receiver.entry.poison
	receiver.entry.poison = nil
	data, err := cbor.Marshal(datagram{
		Datagram: presence.Datagram{Heartbeat: presence.Heartbeat{Peer: presence.Peer{Name: "b", Incarnation: 1, PeerAddress: "127.0.0.1:1"}}},
		Evidence: &poison.Evidence{Clearances: []poison.Clearance{{Fingerprint: 1}}},
	})
	require.NoError(t, err)
	require.NotPanics(t, func() { receiver.handle(data, time.Now()) })
	receiver.entry.poison = builds
	receiver.handle(data, time.Now())
	require.Equal(t, []string{"b"}, receiver.entry.peers.Names())
}

// FuzzHandleDatagram guards against datagrams at which an entry panics.
func FuzzHandleDatagram(f *testing.F) {
	for _, data := range malformedDatagrams(f, "127.0.0.1:1") {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHeartbeater(t, "a", nil)
		now := time.Now()
		h.entry.dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", FailureDomain: "z", Capacity: 1, StartedAt: time.UnixMilli(1)}, now)
		h.process(data, now)
		h.entry.setProcesses()
		h.entry.dispatcher.Tick(now)
		h.entry.dispatcher.Limits(now)
		h.entry.poison.Evidence()
	})
}

// malformedValues are values of rows that no process writes.
var malformedValues = map[string]string{
	"empty":         "",
	"null":          "null",
	"a list":        "[]",
	"an empty map":  "{}",
	"no JSON":       "\xff\xfe\x00",
	"invalid UTF-8": "{\"service\":\"\xff\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"capacity\":1,\"state\":\"ready\"}",
	"wrong types":   `{"service":1,"address":[],"capacity":"x","version":"y","routes":{},"Name":3}`,
	"huge numbers": `{"service":"s","address":"127.0.0.1:1","zone":"z","capacity":9223372036854775807,"state":"ready","warmup_left_ms":1e300,"born":9223372036854775807,
		"version":18446744073709551615,"routes":[{"name":"r","hostname":"h","prefix":"/","route_type":"idempotent","timeout_ms":9223372036854775807,"target_latency_ms":-9223372036854775808,
		"max_attempts":9223372036854775807,"backends":[{"service":"s","weight":1e308},{"service":"s","weight":1e308}]}],
		"services":[{"name":"s","max_connections":-9223372036854775808,"warmup_s":1e300,"warmup_per_s":1e300,"runtime":{"capacity":-1,"sets":4611686018427387904,"experts":4611686018427387904,
		"step_ms":1e300,"expert_mb":1e300,"bandwidth_mbps":1e-300}}]}`,
	"a number too big":   `{"version":1e400,"capacity":1e30,"Incarnation":1e300}`,
	"deep nesting":       string(bytesOf('[', 100000)),
	"a nested service":   `{"service":` + string(bytesOf('[', 9000)) + string(bytesOf(']', 9000)) + `,"address":"127.0.0.1:1","zone":"z","capacity":1,"state":"ready"}`,
	"deep nesting, CBOR": string(bytesOf(0x81, 100000)),
	"a port too high":    `{"service":"s","address":"127.0.0.1:70000","zone":"z","version":"v1","capacity":1,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1}`,
	"port 0":             `{"service":"s","address":"127.0.0.1:0","zone":"z","version":"v1","capacity":1,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1}`,
	"a peer's port":      `{"Name":"k","PeerAddress":"127.0.0.1:70000","CallerAddress":"127.0.0.1:-1"}`,
	"a peer's port 0":    `{"Name":"k","PeerAddress":"127.0.0.1:0","CallerAddress":"127.0.0.1:0"}`,
}

// TestMalformedRowsDoNotStopAnEntry guards against rows of any table that stop an entry, or that
// keep it from reading the sound rows beside them.
func TestMalformedRowsDoNotStopAnEntry(t *testing.T) {
	e := newHeartbeater(t, "a", nil).entry
	operator := newOperatorObserver(e)
	peers := &peerObserver{entry: e, log: e.log}
	sound := targetRow("sound", 1)
	for name, value := range malformedValues {
		for _, key := range []string{"", "k", platform.KeyConfiguration, "evacuate/", "evacuate/z"} {
			for _, deleted := range []bool{false, true} {
				row := platform.Row{Key: key, Value: []byte(value), Version: math.MaxUint64, Deleted: deleted}
				require.NotPanics(t, func() {
					e.targets.OnSnapshot([]platform.Row{row, sound})
					e.targets.OnChanges([]platform.Row{row})
					operator.OnSnapshot([]platform.Row{row})
					operator.OnChanges([]platform.Row{row})
					peers.OnChanges([]platform.Row{row})
					e.evidence.merge(t.Context(), []platform.Row{row}, platform.Version{Era: math.MaxUint64})
					e.tick()
					operator.tick()
				}, "%s in %q", name, key)
				require.Contains(t, e.dispatcher.TargetIDs(), "sound")
				require.Empty(t, e.peers.Names())
			}
		}
	}
}

// TestErrorOfTheSocketDoesNotEndReceiving guards against an error of the socket after which an entry
// hears of no other one any more.
func TestErrorOfTheSocketDoesNotEndReceiving(t *testing.T) {
	receiver := newHeartbeater(t, "a", nil)
	require.NoError(t, receiver.socket.SetReadDeadline(time.Unix(1, 0)))
	go receiver.receive()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, receiver.socket.SetReadDeadline(time.Time{}))
	sender := newHeartbeater(t, "b", receiver)
	require.Eventually(t, func() bool {
		sender.send()
		return receiver.entry.peers.HasHeard(sender.entry.self)
	}, 5*time.Second, 10*time.Millisecond)
}
