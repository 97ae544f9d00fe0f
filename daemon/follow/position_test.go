package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
)

// followFor runs Table until the test has advanced the time by d, then stops it.
func followFor(t *testing.T, cfg Config, d time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		Table(ctx, cfg)
		close(done)
	}()
	time.Sleep(d)
	cancel()
	<-done
}

// TestHintRevealsChangeMissedByLostPoll guards against a change that is seen only after a
// long wait: the store became unresponsive for a moment and never answers the poll that it
// had accepted. A peer that polls more often has seen the change.
func TestHintRevealsChangeMissedByLostPoll(t *testing.T) {
	for _, hinted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store, observer := &fakeStore{version: at(1)}, &recorder{}
			cfg := newConfig(store, "t", observer)
			go func() {
				time.Sleep(time.Second)
				store.set(func(s *fakeStore) { s.unresponsive = true })
				time.Sleep(100 * time.Millisecond)
				store.set(func(s *fakeStore) {
					s.unresponsive = false
					s.rows, s.version = []platform.Row{{Key: "a", Version: 2}}, at(2)
				})
				if hinted {
					cfg.Position.Hint(at(2))
				}
			}()
			followFor(t, cfg, 2*time.Second)
			seen := 0
			if hinted {
				seen = 1
			}
			require.Len(t, observer.changes, seen)
			require.Zero(t, observer.lost, "a hint is no failure of the store")
		})
	}
}

// TestHintsCauseFewPolls guards against a call to the store for every heartbeat of every
// peer, be it that the hinted change is known already or that the table has none.
func TestHintsCauseFewPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: at(9), rows: []platform.Row{{Key: "a", Version: 7}}}
		cfg := newConfig(store, "t", &recorder{})
		go func() {
			time.Sleep(100 * time.Millisecond)
			for range 100 {
				cfg.Position.Hint(at(7))
				time.Sleep(10 * time.Millisecond)
			}
			require.Equal(t, 1, store.feedCount())
			require.Equal(t, at(7), cfg.Position.Change())
			store.set(func(s *fakeStore) { s.version = at(12) })
			for range 300 {
				cfg.Position.Hint(at(11))
				time.Sleep(10 * time.Millisecond)
			}
			// The abandoned poll, a short one and the next long one.
			require.Equal(t, 3, store.feedCount())
		}()
		followFor(t, cfg, 5*time.Second)
	})
}

// TestHintsAreComparedWithinAnEra guards against hints of peers that have not noticed that the
// store was restored, and against a restored store that goes unnoticed because its versions
// are lower.
func TestHintsAreComparedWithinAnEra(t *testing.T) {
	for _, c := range []struct {
		desc   string
		change platform.Version
		polls  bool
	}{
		{"later change", platform.Version{Era: 1, Number: 8}, true},
		{"known change", platform.Version{Era: 1, Number: 7}, false},
		{"later number of an earlier era", platform.Version{Number: 100}, false},
		{"lower number of a later era", platform.Version{Era: 2, Number: 1}, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			position := NewPosition()
			position.read(nil, platform.Version{Era: 1, Number: 7})
			hinted := position.hinted.next()
			position.Hint(c.change)
			select {
			case <-hinted:
				require.True(t, c.polls)
			default:
				require.False(t, c.polls)
			}
		})
	}
}
