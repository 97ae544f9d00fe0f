package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOldLoadsSpreadTheChoice guards against processes that all choose the target which was
// the least loaded when the others last reported: with 70 processes that report every 300 ms
// the busiest of 72 targets had 1.66 times the mean load.
func TestOldLoadsSpreadTheChoice(t *testing.T) {
	for name, tc := range map[string]struct {
		interval time.Duration
		chosen   int
	}{
		"fresh": {100 * time.Millisecond, 1},
		"old":   {300 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(4, 20)
			now := start
			for range 20 {
				now = now.Add(tc.interval)
				d.SetPeerLoad("other", map[string]int{"t0": 3, "t1": 3, "t2": 2, "t3": 10}, now)
				took := take(t, d, now)
				d.Release(took, Served, now.Add(tc.interval))
			}
			now = now.Add(tc.interval - time.Millisecond)
			chosen := map[string]bool{}
			for range 300 {
				took := take(t, d, now)
				chosen[took.ID()] = true
				took.running--
			}
			require.Len(t, chosen, tc.chosen)
			require.False(t, chosen["t3"], "the most loaded one")
		})
	}
}

func BenchmarkChoose1000Targets(b *testing.B) {
	d := newDispatcher(1000, 10)
	now := start
	for range 2 {
		now = now.Add(300 * time.Millisecond)
		for n := range 70 {
			load := map[string]int{}
			for target := range 1000 {
				load[fmt.Sprintf("t%d", target)] = (target + n) % 11 / 10
			}
			d.SetPeerLoad(fmt.Sprint(n), load, now)
		}
	}
	pool, request := d.pool("s"), work(1)
	for n := range 50 {
		pool.residence.Start(start)
		pool.residence.End(at(time.Duration(n) * 100 * time.Millisecond))
	}
	now = now.Add(200 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		d.choose(pool, &request, now)
	}
}
