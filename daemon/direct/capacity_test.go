package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/steer"
)

// directoryEntry is an entry that is not ready itself, with peers that a test reports.
type directoryEntry struct {
	*Entry
	clock    *clockwork.FakeClock
	sequence uint64
}

func newDirectoryEntry() *directoryEntry {
	clock := clockwork.NewFakeClock()
	e := New(Config{Settings: settings.Direct{Name: "self", FailureDomain: "x"}, Clock: clock, Logger: logs.Discard()})
	return &directoryEntry{Entry: e, clock: clock}
}

// hear records heartbeats of ready peers x0, x1, ... in the failure domain x.
func (e *directoryEntry) hear(capacities ...presence.Capacity) {
	e.sequence++
	for n, capacity := range capacities {
		name := fmt.Sprint("x", n)
		e.peers.RecordHeartbeat(presence.Heartbeat{
			Peer:  presence.Peer{Name: name, Incarnation: 1, CallerAddress: name, FailureDomain: "x"},
			Ready: true, Sequence: e.sequence, Capacity: capacity,
		}, e.clock.Now())
	}
}

func (e *directoryEntry) answer() []string {
	addresses, _ := e.resolve(platform.DirectoryQuery{FailureDomain: "x"})
	return addresses
}

// TestDirectoryFollowsReportedCapacity guards against callers that are directed to entries
// without regard to their size, and against ones that are directed to a silent entry.
func TestDirectoryFollowsReportedCapacity(t *testing.T) {
	e := newDirectoryEntry()
	capacities := []presence.Capacity{{Millicores: 800}}
	for range 9 {
		capacities = append(capacities, presence.Capacity{Millicores: 200})
	}
	e.hear(capacities...)
	count := map[string]int{}
	for range 4000 {
		answer := e.answer()
		require.Len(t, answer, 4)
		for _, address := range answer {
			count[address]++
		}
	}
	require.Equal(t, 4000, count["x0"], "a quarter of the callers; its capacity is 0.31 of all")
	require.InEpsilon(t, 4000.0/3, count["x5"], 0.15)
	e.clock.Advance(peerTimeout)
	e.hear(capacities[:3]...)
	e.clock.Advance(time.Millisecond)
	require.Equal(t, []string{"x0", "x1", "x2"}, e.answer(), "the others are silent")
}

func TestDirectoryWithoutCapacitiesReturnsAll(t *testing.T) {
	e := newDirectoryEntry()
	e.hear(make([]presence.Capacity, 30)...)
	require.Len(t, e.answer(), 30)
}

// TestUseOfProcessorIsMeasured guards against an entry that is overloaded and does not report
// it, because it uses its processor or because it does not get it.
func TestUseOfProcessorIsMeasured(t *testing.T) {
	now := time.Unix(1000, 0)
	measured := func(s settings.Direct, usedPerStep, step time.Duration) presence.Capacity {
		w := newSteering(s, logrus.NewEntry(logs.Discard()))
		for n := range 20 {
			w.measure(time.Duration(n)*usedPerStep, now.Add(time.Duration(n)*step))
		}
		return w.capacity()
	}
	small := settings.Direct{Processor: 0.25, Cores: 2, Memory: 136, Link: 28}
	require.Equal(t, presence.Capacity{Millicores: 250, BusyPercent: 39}, measured(small, 50*time.Millisecond, steerInterval))
	require.Equal(t, uint8(maxBusyPercent), measured(small, steerInterval, steerInterval).BusyPercent)
	require.Equal(t, uint8(99), measured(small, time.Millisecond, steerInterval+2*overloadDelay).BusyPercent)
	require.Zero(t, measured(settings.Direct{Memory: 136, Link: 28}, steerInterval, steerInterval))
	require.Equal(t, uint32(250), measured(settings.Direct{Processor: 2, Cores: 0.25}, 0, steerInterval).Millicores)
	require.Equal(t, uint32(2000), measured(settings.Direct{Processor: 2, Cores: -1}, 0, steerInterval).Millicores)
	require.Positive(t, processorTime())
}

// TestSteeringIsLoggedWhenItBeginsAndEnds guards against a line for each decision.
func TestSteeringIsLoggedWhenItBeginsAndEnds(t *testing.T) {
	logger, hook := test.NewNullLogger()
	w := newSteering(settings.Direct{}, logrus.NewEntry(logger))
	now := time.Unix(1000, 0)
	for n := range 60 {
		busy := 1.0
		if n >= 20 {
			busy = 0.2
		}
		now = now.Add(steerInterval)
		w.update([]steer.Host{
			{Address: "1", FailureDomain: "x", Weight: 1, Busy: busy}, {Address: "2", FailureDomain: "y", Weight: 1, Busy: 0.1},
		}, now)
	}
	require.Len(t, hook.Entries, 2)
	require.Positive(t, hook.Entries[0].Data["part"])
	require.Zero(t, hook.Entries[1].Data["part"])
}
