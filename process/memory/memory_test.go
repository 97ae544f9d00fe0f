package memory

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const bound = 40 << 20

// TestLargeBodiesAreRejectedFirst replays 200 bodies of 4 MiB beside small ones and guards against
// rejecting small bodies, or all of them for ever.
func TestLargeBodiesAreRejectedFirst(t *testing.T) {
	a := NewAccount(bound)
	var large []*Holder
	for range 200 {
		h := a.Open("large")
		if h.Admit(4 << 20) {
			large = append(large, h)
		} else {
			h.Close()
		}
		small := a.Open("small")
		require.True(t, small.Admit(5<<10))
		small.Close()
	}
	require.Len(t, large, 7, "three quarters of the bound")
	for _, h := range large {
		h.Close()
	}
	require.Zero(t, a.Held(Body))
	alone := a.Open("large")
	require.True(t, alone.Admit(39<<20), "a single body may take more")
	require.False(t, a.Open("large").Servable(41<<20), "one that never fits is rejected for good")
}

// TestSlowestOfTheLargestIsEnded guards against ending small, fast or protected requests.
func TestSlowestOfTheLargestIsEnded(t *testing.T) {
	a := NewAccount(bound)
	var ended []string
	open := func(name, organisation string, size int64, moved int, endable bool) *Holder {
		h := a.Open(organisation)
		if endable {
			h.SetEnd(func(Part) { ended = append(ended, name) }, start)
		}
		h.Moved(moved)
		h.Set(Response, size, start.Add(10*time.Second))
		return h
	}
	open("an order", "a", 16<<20, 0, false)
	open("fast", "a", 8<<20, 1<<20, true)
	open("slow", "a", 6<<20, 1000, true)
	open("slower, but small", "a", 1<<20, 0, true)
	open("another organisation's", "b", 5<<20, 0, true)
	require.Empty(t, ended)
	last := open("last", "b", 5<<20, 1<<20, true)
	require.Equal(t, []string{"slow"}, ended)
	last.Set(Response, 6<<20, start.Add(10*time.Second))
	require.Equal(t, []string{"slow"}, ended, "what it holds counts as freed already")
}

// TestOrdersAloneAreNotEnded guards against losing the outcome of an order, and against a bound
// that only protected requests exceed being enforced on nobody's behalf.
func TestOrdersAloneAreNotEnded(t *testing.T) {
	a := NewAccount(bound)
	for range 4 {
		a.Open("a").Set(Response, 16<<20, start)
	}
	require.False(t, a.Open("a").Admit(10))
}

// TestTotalIsThatOfTheHolders guards against a total that stays up after its holders have ended,
// for instance when a part is set once more afterwards.
func TestTotalIsThatOfTheHolders(t *testing.T) {
	a := NewAccount(bound)
	var wg sync.WaitGroup
	for n := range 50 {
		wg.Go(func() {
			h := a.Open("a")
			h.Admit(int64(n) << 10)
			h.Set(Stream, int64(n)<<12, start)
			h.Set(Stream, int64(n)<<11, start)
			h.Close()
			h.Set(Stream, 1<<20, start)
			h.Close()
		})
	}
	wg.Wait()
	for _, part := range Parts() {
		require.Zero(t, a.Held(part), part.String())
	}
	require.Empty(t, a.holders)
}

// TestNoAccountHasNoBound guards deployments without the setting.
func TestNoAccountHasNoBound(t *testing.T) {
	a := NewAccount(0)
	h := a.Open("a")
	require.True(t, h.Servable(1<<40))
	require.True(t, h.Admit(1<<40))
	h.Set(Stream, 1<<40, start)
	h.SetEnd(nil, start)
	h.Close()
	require.Zero(t, a.Held(Body))
}
