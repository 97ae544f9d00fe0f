package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
)

// newRelay returns a relay whose process receives changes, and the batches that it forwards.
func newRelay(receives bool) (*Relay, *[]Batch) {
	var forwarded []Batch
	r := NewRelay(RelayConfig{
		Table: "t", Receives: func() bool { return receives }, Settle: func(context.Context) {},
		Forward: func(batches []Batch) { forwarded = append(forwarded, batches...) },
	})
	return r, &forwarded
}

func batch(after, until uint64, keys ...string) Batch {
	b := Batch{Table: "t", After: after, Until: until}
	for _, key := range keys {
		b.Rows = append(b.Rows, ForwardedRow{Key: key, Version: until})
	}
	return b
}

// TestForwardedChangesNeedNoCalls guards against calls of receivers, against changes applied
// twice because several peers forward them, and against a hint that ends the wait for changes
// which have just arrived.
func TestForwardedChangesNeedNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, observer := &fakeStore{version: at(3), rows: []platform.Row{{Key: "a", Version: 3}}}, &recorder{}
		cfg := newConfig(store, "t", observer)
		cfg.Relay, _ = newRelay(true)
		go func() {
			time.Sleep(time.Second)
			cfg.Relay.Offer(batch(5, 7, "c"))
			require.False(t, cfg.Relay.Covers(at(7)), "the changes before are missing")
			cfg.Relay.Offer(batch(3, 5, "b"))
			require.True(t, cfg.Relay.Covers(at(7)))
			cfg.Relay.Offer(batch(2, 7, "b", "c"))
			other := batch(7, 9, "of another table")
			other.Table = "u"
			cfg.Relay.Offer(other)
			cfg.Relay.Offer(batch(9, 9, "covers nothing"))
			time.Sleep(time.Second)
			require.True(t, cfg.Relay.Covers(at(7)))
			require.Equal(t, at(7), cfg.Position.Change())
		}()
		followFor(t, cfg, relayCheckInterval-time.Second)
		require.Equal(t, []string{"b", "c"}, observer.changes)
		require.Zero(t, store.feedCount())
	})
}

// TestLostForwardedChangesAreReadFromStore guards against a receiver that misses a change.
// Without a hint the receiver asks the store within relayCheckInterval.
func TestLostForwardedChangesAreReadFromStore(t *testing.T) {
	for _, hinted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store, observer := &fakeStore{version: at(3)}, &recorder{}
			cfg := newConfig(store, "t", observer)
			cfg.Relay, _ = newRelay(true)
			go func() {
				time.Sleep(time.Second)
				store.set(func(s *fakeStore) {
					s.rows, s.version = []platform.Row{{Key: "lost", Version: 5}, {Key: "c", Version: 7}}, at(7)
				})
				cfg.Relay.Offer(batch(5, 7, "c"))
				if hinted {
					cfg.Position.Hint(at(7))
				}
			}()
			wait := 2 * time.Second
			if !hinted {
				wait += relayCheckInterval
			}
			followFor(t, cfg, wait)
			require.Equal(t, []string{"lost", "c"}, observer.changes)
			require.Equal(t, 1, store.feedCount())
			require.Zero(t, observer.lost)
		})
	}
}

// TestChangesAfterOutageAreReadAsOutage guards against a receiver that removes targets whose
// rows expired in an outage which only the pollers have noticed.
func TestChangesAfterOutageAreReadAsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, observer := &fakeStore{version: at(3)}, &recorder{}
		poller := newConfig(store, "t", &recorder{})
		var forwarded *[]Batch
		poller.Relay, forwarded = newRelay(false)
		receiver := newConfig(store, "t", observer)
		receiver.Relay, _ = newRelay(true)
		go func() {
			time.Sleep(time.Second)
			store.set(func(s *fakeStore) { s.failNext = true })
			poller.Position.PollAgain()
			time.Sleep(disturbanceSpan / 2)
			store.set(func(s *fakeStore) {
				s.rows, s.version = []platform.Row{{Key: "a", Version: 5, Deleted: true}}, at(5)
			})
		}()
		followFor(t, poller, 3*time.Second)
		require.Equal(t, []Batch{{Table: "t", Until: 5, Disturbed: true}}, *forwarded)
		store.set(func(s *fakeStore) { s.rows, s.version = nil, at(3) })
		go func() {
			time.Sleep(time.Second)
			store.set(func(s *fakeStore) { s.rows, s.version = []platform.Row{{Key: "a", Version: 5, Deleted: true}}, at(5) })
			receiver.Relay.Offer((*forwarded)[0])
		}()
		followFor(t, receiver, 3*time.Second)
		require.Equal(t, []string{"a"}, observer.changes)
		require.Equal(t, 1, observer.lost)
		require.Equal(t, 1, observer.regained)
	})
}

// TestForwardedChangesOfAnotherEraAreIgnored guards against versions that were given out
// again after the store had been restored.
func TestForwardedChangesOfAnotherEraAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, observer := &fakeStore{version: platform.Version{Era: 1, Number: 3}}, &recorder{}
		cfg := newConfig(store, "t", observer)
		cfg.Relay, _ = newRelay(true)
		go func() {
			time.Sleep(time.Second)
			cfg.Relay.Offer(batch(3, 5, "earlier"))
			later := batch(3, 5, "later")
			later.Era = 2
			cfg.Relay.Offer(later)
			require.False(t, cfg.Relay.Covers(platform.Version{Era: 2, Number: 5}))
		}()
		followFor(t, cfg, 2*time.Second)
		require.Empty(t, observer.changes)
	})
}

// TestChangesAreForwardedInBoundedParts guards against datagrams that are too long, and
// against a transaction of which a receiver gets a part.
func TestChangesAreForwardedInBoundedParts(t *testing.T) {
	value := make([]byte, 500)
	var rows []platform.Row
	for n := range uint64(40) {
		rows = append(rows, platform.Row{Key: "k", Value: value, Version: 10 + n/4})
	}
	batches := splitChanges("t", rows, 5, at(30))
	require.Greater(t, len(batches), 2)
	after, count := uint64(5), 0
	for _, b := range batches {
		require.Equal(t, after, b.After)
		require.LessOrEqual(t, len(b.Rows)*len(value), maxBatchBytes+4*len(value))
		for _, row := range b.Rows {
			require.True(t, b.After < row.Version && row.Version <= b.Until)
		}
		after, count = b.Until, count+len(b.Rows)
	}
	require.Equal(t, uint64(30), after)
	require.Len(t, rows, count)
	require.Empty(t, splitChanges("t", []platform.Row{{Value: make([]byte, maxForwardedBytes)}}, 5, at(30)))
}

// TestPendingBatchesAreBounded guards against memory that a flood of datagrams takes while
// the process is busy.
func TestPendingBatchesAreBounded(t *testing.T) {
	r, _ := newRelay(true)
	for n := range uint64(10 * maxPendingBatches) {
		r.Offer(batch(n, n+1))
	}
	require.Len(t, r.pending, maxPendingBatches)
}
