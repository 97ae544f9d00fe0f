package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/version/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simultaneous returns failures of the targets, hours after the start and spread over
// one second.
func simultaneous(hours int, targets ...string) []Failure {
	var list []Failure
	for i, target := range targets {
		at := start.Add(time.Duration(hours)*time.Hour + time.Duration(i%10)*100*time.Millisecond)
		list = append(list, Failure{target, uint64(hours), at.UnixMilli()})
	}
	return list
}

func newTestCorrelator(targets int) (*Correlator, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(start)
	return NewCorrelator(Config{Clock: clock, TargetCount: targets}), clock
}

func TestRelated(t *testing.T) {
	tests := []struct {
		desc     string
		failures [][]Failure
		want     bool
	}{
		{"one shared incident", [][]Failure{simultaneous(1, "a", "b")}, false},
		{"two shared incidents", [][]Failure{simultaneous(1, "a", "b"), simultaneous(9, "a", "b")}, true},
		{"failures at different times", [][]Failure{simultaneous(1, "a"), simultaneous(2, "b"), simultaneous(3, "a"), simultaneous(4, "b")}, false},
		{"incidents of nearly all targets", [][]Failure{
			simultaneous(1, "a", "b", "c", "d", "e", "f", "g", "h", "i"), simultaneous(9, "a", "b", "c", "d", "e", "f", "g", "h", "i"),
		}, false},
		{"same record twice", [][]Failure{simultaneous(1, "a", "b"), simultaneous(1, "a", "b")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c, clock := newTestCorrelator(10)
			clock.Advance(10 * time.Hour)
			for _, failures := range tt.failures {
				c.Record(failures...)
			}
			require.Equal(t, tt.want, c.Related("a", "b"))
			require.Equal(t, tt.want, c.Related("b", "a"))
			require.False(t, c.Related("a", "a"))
			require.False(t, c.Related("a", "z"))
			if tt.want {
				require.Equal(t, []string{"a", "b"}, c.Group("a"))
			} else {
				require.Nil(t, c.Group("a"))
			}
		})
	}
}

func TestScoresDecayAndRecordsExpire(t *testing.T) {
	c, clock := newTestCorrelator(100)
	c.Record(simultaneous(0, "a", "b")...)
	c.Record(simultaneous(1, "a", "b")...)
	require.True(t, c.Related("a", "b"))
	clock.Advance(DefaultHalfLife)
	c.Refresh()
	require.False(t, c.Related("a", "b"))
	c.Record(simultaneous(30*24, "a", "b")...)
	require.True(t, c.Related("a", "b"), "two old incidents and a new one")
	clock.Advance(5 * DefaultHalfLife)
	c.Refresh()
	require.Empty(t, c.Failures())
}

// TestMergeInAnyOrder checks that peers that recorded the same failures, in any order
// and any number of times, hold the same records.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []Failure
		for range rapid.IntRange(0, 40).Draw(rt, "failures") {
			all = append(all, Failure{
				Target:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "target"),
				Incarnation: rapid.Uint64Range(0, 12).Draw(rt, "incarnation"),
				AtMillis:    start.UnixMilli() + rapid.Int64Range(0, 5_000_000).Draw(rt, "at"),
			})
		}
		one, _ := newTestCorrelator(100)
		other, _ := newTestCorrelator(100)
		one.Record(all...)
		other.Record(rapid.Permutation(all).Draw(rt, "order")...)
		other.Record(all...)
		require.ElementsMatch(rt, one.Failures(), other.Failures())
		require.Empty(rt, other.Record(one.Failures()...), "a record is new only once")
		require.LessOrEqual(rt, len(one.Failures()), 3*maxFailures)
	})
}

// TestGroupIsFoundAmongRandomFailures guards against groups by coincidence: among 10,000
// targets with 5,000 random failures in 100 hours, only the four that fail together
// three times form a group.
func TestGroupIsFoundAmongRandomFailures(t *testing.T) {
	const targets, randomFailures = 10000, 5000
	c, clock := newTestCorrelator(targets)
	clock.Advance(100 * time.Hour)
	random := rand.New(rand.NewPCG(1, 1))
	var failures []Failure
	for i := range randomFailures {
		at := start.Add(time.Duration(random.Int64N(int64(100 * time.Hour))))
		failures = append(failures, Failure{fmt.Sprint("t", random.IntN(targets)), uint64(i), at.UnixMilli()})
	}
	correlated := []string{"t1", "t22", "t333", "t4444"}
	for _, hours := range []int{20, 50, 80} {
		failures = append(failures, simultaneous(hours, correlated...)...)
	}
	c.Record(failures...)
	require.ElementsMatch(t, correlated, c.Group("t22"))
	related := 0
	for i := range targets {
		if c.Group(fmt.Sprint("t", i)) != nil {
			related++
		}
	}
	require.Equal(t, len(correlated), related, "random failures form no group")
}

func TestRecordsAreBounded(t *testing.T) {
	c, _ := newTestCorrelator(0)
	var flood []Failure
	for i := range maxRecordedTargets + 100 {
		flood = append(flood, Failure{fmt.Sprint("t", i), 1, start.Add(time.Duration(i) * time.Minute).UnixMilli()})
	}
	c.Record(flood...)
	require.Len(t, c.Failures(), maxRecordedTargets)
}

func TestAdvise(t *testing.T) {
	tests := []struct {
		desc   string
		lost   int
		demand Demand
		want   Advice
	}{
		{"one target", 1, Demand{}, Advice{false, true, table.ClassLow}},
		{"few of many", 9, Demand{}, Advice{false, true, table.ClassLow}},
		{"mass failure with capacity for all", 30, Demand{20, 20, 20, 66}, Advice{true, false, table.ClassLow}},
		{"some capacity left for low", 30, Demand{30, 30, 20, 66}, Advice{true, false, table.ClassLow}},
		{"no capacity for low", 30, Demand{20, 40, 30, 66}, Advice{true, false, table.ClassNormal}},
		{"capacity for high only", 60, Demand{20, 40, 40, 40}, Advice{true, false, table.ClassHigh}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			require.Equal(t, tt.want, Advise(tt.lost, 100, tt.demand))
		})
	}
}

func TestCountRecentlyFailed(t *testing.T) {
	c, clock := newTestCorrelator(10)
	c.Record(simultaneous(0, "a", "b")...)
	clock.Advance(time.Second)
	require.Equal(t, 2, c.CountRecentlyFailed(MassFailureWindow))
	clock.Advance(MassFailureWindow)
	require.Zero(t, c.CountRecentlyFailed(MassFailureWindow))
}
