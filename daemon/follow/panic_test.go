package follow

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
)

// fragileObserver panics at rows with the key "bad".
type fragileObserver struct{ recorder }

func (o *fragileObserver) check(rows []platform.Row) {
	for _, row := range rows {
		if row.Key == "bad" {
			panic("a row that nobody expected")
		}
	}
}

func (o *fragileObserver) OnSnapshot(rows []platform.Row) {
	o.check(rows)
	o.recorder.OnSnapshot(rows)
}

func (o *fragileObserver) OnChanges(rows []platform.Row) {
	o.check(rows)
	o.recorder.OnChanges(rows)
}

// TestPanicAtARowDoesNotEndTheProcess guards against a row whose handling panics and takes the
// process down, which serves without the store, or that ends the reading of its table for good.
func TestPanicAtARowDoesNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{rows: []platform.Row{{Key: "a", Version: 1}}, version: at(1)}
		observer := &fragileObserver{}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Table(ctx, Config{
				Reader: store, Table: "t", Observer: observer, Log: logrus.NewEntry(logger), Position: NewPosition(),
				FeedWait: Always(time.Second), BatchDelay: Always(0), MaxBackoff: ShortMaxBackoff, Events: NewStoreEvents(),
			})
		}()
		// Not at a moment when the fake store's feed looks or ends.
		time.Sleep(time.Second + 5*time.Millisecond)
		store.set(func(s *fakeStore) {
			s.rows = append(s.rows, platform.Row{Key: "bad", Version: 2})
			s.version = at(2)
		})
		time.Sleep(5 * time.Second)
		observer.mu.Lock()
		require.Equal(t, 1, observer.lost, "for the observer it is an outage of the store")
		observer.mu.Unlock()
		store.set(func(s *fakeStore) {
			s.rows = []platform.Row{{Key: "a", Version: 1}, {Key: "b", Version: 3}, {Key: "c", Version: 3}}
			s.version = at(3)
		})
		time.Sleep(2 * time.Second)
		observer.mu.Lock()
		require.Equal(t, []int{1, 3}, observer.snapshots)
		require.Equal(t, 1, observer.regained)
		observer.mu.Unlock()
		cancel()
		<-done
	})
}
