package follow

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
)

// fakeStore is a store that answers calls, refuses them or leaves them unanswered, as its
// fields say.
type fakeStore struct {
	mu sync.Mutex
	// unresponsive leaves calls unanswered; those made or in flight while it is set get no
	// answer after it is reset either.
	unresponsive bool
	rows         []platform.Row
	version      platform.Version
	// historyLost makes the next feed fail with platform.HistoryLostError.
	historyLost bool
	// failNext makes the next feed fail at once, failAll all of them.
	failNext, failAll bool
	reads             int
	// feeds counts the calls of Feed made while the store was responsive.
	feeds int
}

// at returns a version of the first era.
func at(number uint64) platform.Version { return platform.Version{Number: number} }

// shouldFail reports whether a feed is to fail, and resets failNext.
func (s *fakeStore) shouldFail() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fail := s.failNext || s.failAll
	s.failNext = false
	return fail
}

func (s *fakeStore) feedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feeds
}

func (s *fakeStore) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive
}

func (s *fakeStore) Read(ctx context.Context, _ string) ([]platform.Row, platform.Version, error) {
	if s.isUnresponsive() {
		<-ctx.Done()
		return nil, platform.Version{}, &platform.CallError{Call: "read", Cause: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.rows, s.version, nil
}

// feedTimeoutMargin is how long after its wait a feed times out, as in platform.Store.
const feedTimeoutMargin = 500 * time.Millisecond

func (s *fakeStore) Feed(ctx context.Context, table string, after platform.Version, wait time.Duration) ([]platform.Row, platform.Version, error) {
	if s.isUnresponsive() {
		return s.leaveUnanswered(ctx, wait+feedTimeoutMargin)
	}
	s.set(func(s *fakeStore) { s.feeds++ })
	if s.shouldFail() {
		return nil, platform.Version{}, &platform.StatusError{Call: "feed", Status: 503}
	}
	for deadline := time.Now().Add(wait); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if s.isUnresponsive() {
			return s.leaveUnanswered(ctx, time.Until(deadline)+feedTimeoutMargin)
		}
		s.mu.Lock()
		if s.version.Era != after.Era && !s.historyLost {
			restored := &platform.RestoredError{Table: table, Before: after.Era, After: s.version.Era}
			s.mu.Unlock()
			return nil, platform.Version{}, restored
		}
		if s.historyLost {
			s.historyLost = false
			s.mu.Unlock()
			return nil, platform.Version{}, &platform.HistoryLostError{Table: table}
		}
		var changed []platform.Row
		for _, row := range s.rows {
			if row.Version > after.Number {
				changed = append(changed, row)
			}
		}
		version := s.version
		s.mu.Unlock()
		if len(changed) > 0 {
			return changed, version, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.version, ctx.Err()
}

// leaveUnanswered blocks a call until its context or the limit ends it.
func (s *fakeStore) leaveUnanswered(ctx context.Context, limit time.Duration) ([]platform.Row, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
	return nil, platform.Version{}, &platform.CallError{Call: "feed", Cause: ctx.Err()}
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// recorder is an Observer that records its calls.
type recorder struct {
	mu sync.Mutex
	// snapshots holds the number of rows of each snapshot, changes the keys of changed
	// rows.
	snapshots      []int
	changes        []string
	lost, regained int
	// firstSnapshotAt is when the first snapshot arrived.
	firstSnapshotAt time.Time
}

func (r *recorder) OnSnapshot(rows []platform.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots = append(r.snapshots, len(rows))
	if r.firstSnapshotAt.IsZero() {
		r.firstSnapshotAt = time.Now()
	}
}

func (r *recorder) OnChanges(rows []platform.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		r.changes = append(r.changes, row.Key)
	}
}

func (r *recorder) OnStoreLost() { r.mu.Lock(); defer r.mu.Unlock(); r.lost++ }

func (r *recorder) OnStoreRegained() { r.mu.Lock(); defer r.mu.Unlock(); r.regained++ }

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func newConfig(store Reader, table string, observer Observer) Config {
	return Config{Reader: store, Table: table, Observer: observer, Log: discardLog(), Position: NewPosition(), FeedWait: Always(LongFeedWait), BatchDelay: Always(0), MaxBackoff: ShortMaxBackoff, Events: NewStoreEvents()}
}

// TestLongPollIsAbandonedWhenShorterOneFails guards against a late configuration
// after an outage: when the store became unresponsive for 9 s just after all tables
// had begun a long poll, the configuration was read only 7 s after the store was back.
func TestLongPollIsAbandonedWhenShorterOneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: at(1), rows: []platform.Row{{Key: "a", Version: 1}}}
		shortObserver, longObserver := &recorder{}, &recorder{}
		short := newConfig(store, "short", shortObserver)
		short.FeedWait = Always(1500 * time.Millisecond)
		long := newConfig(store, "long", longObserver)
		long.Events = short.Events
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { Table(ctx, short) })
		group.Go(func() { Table(ctx, long) })
		time.Sleep(20 * time.Millisecond)
		store.set(func(s *fakeStore) { s.unresponsive = true })
		time.Sleep(9 * time.Second)
		store.set(func(s *fakeStore) {
			s.unresponsive = false
			s.rows, s.version = append(s.rows, platform.Row{Key: "b", Version: 2}), at(2)
		})
		time.Sleep(1500 * time.Millisecond)
		for _, observer := range []*recorder{shortObserver, longObserver} {
			observer.mu.Lock()
			require.Equal(t, []string{"b"}, observer.changes)
			require.Equal(t, 1, observer.lost)
			require.Equal(t, 1, observer.regained)
			observer.mu.Unlock()
		}
		cancel()
		group.Wait()
	})
}

func TestTableIsReadSoonAfterUnresponsiveStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{unresponsive: true, version: at(1), rows: []platform.Row{{Key: "a", Version: 1}}}
		observer := &recorder{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			Table(ctx, newConfig(store, "t", observer))
			close(done)
		}()
		const outage = 800 * time.Millisecond
		time.Sleep(outage)
		back := time.Now()
		store.set(func(s *fakeStore) { s.unresponsive = false })
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		require.Equal(t, []int{1}, observer.snapshots)
		// A call made while the store was unresponsive is never answered.
		require.Less(t, observer.firstSnapshotAt.Sub(back), 1500*time.Millisecond)
		require.Equal(t, 1, observer.lost)
		require.Equal(t, 1, observer.regained)
	})
}

func TestWholeTableIsReadAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: at(1), rows: []platform.Row{{Key: "a", Version: 1}}}
		observer := &recorder{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			Table(ctx, newConfig(store, "t", observer))
			close(done)
		}()
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) {
			s.rows, s.version = append(s.rows, platform.Row{Key: "b", Version: 2}), at(2)
		})
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) { s.historyLost = true })
		time.Sleep(time.Second)
		cancel()
		<-done
		require.Equal(t, []int{1, 2}, observer.snapshots)
		require.Equal(t, []string{"b"}, observer.changes)
	})
}

func TestFeedToUnresponsiveStoreIsAbandonedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: at(1), failNext: true}
		observer := &recorder{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			Table(ctx, newConfig(store, "t", observer))
			close(done)
		}()
		time.Sleep(10 * time.Millisecond)
		store.set(func(s *fakeStore) { s.unresponsive = true })
		time.Sleep(3 * time.Second)
		store.set(func(s *fakeStore) {
			s.unresponsive = false
			s.rows, s.version = []platform.Row{{Key: "a", Version: 2}}, at(2)
		})
		time.Sleep(2 * time.Second)
		observer.mu.Lock()
		changes := len(observer.changes)
		observer.mu.Unlock()
		cancel()
		<-done
		require.Equal(t, 1, changes, "the change is seen within 2 s after the store is back")
	})
}

// TestChangesInQuickSuccessionAreBatched guards against one call per change when many
// targets start and register one after the other.
func TestChangesInQuickSuccessionAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: at(1)}
		observer := &recorder{}
		cfg := newConfig(store, "t", observer)
		cfg.BatchDelay = Always(250 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			Table(ctx, cfg)
			close(done)
		}()
		const targets = 60
		for n := range targets {
			time.Sleep(20 * time.Millisecond)
			store.set(func(s *fakeStore) {
				s.version.Number++
				s.rows = append(s.rows, platform.Row{Key: strconv.Itoa(n), Version: s.version.Number})
			})
		}
		time.Sleep(time.Second)
		cancel()
		<-done
		require.Len(t, observer.changes, targets)
		require.LessOrEqual(t, store.feedCount(), 8, "60 changes within 1.2 s")
	})
}

// TestOneTableProbesForAll has the store refuse all calls for 8 s: only the table with
// the short backoff is retried often, and the other one recovers together with it.
func TestOneTableProbesForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		frequent, infrequent := &fakeStore{version: at(1)}, &fakeStore{version: at(1)}
		events := NewStoreEvents()
		observer := &recorder{}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for store, maxBackoff := range map[*fakeStore]time.Duration{frequent: ShortMaxBackoff, infrequent: LongMaxBackoff} {
			cfg := newConfig(store, "t", &recorder{})
			cfg.MaxBackoff, cfg.Events = maxBackoff, events
			if store == infrequent {
				cfg.Observer = observer
			}
			group.Go(func() { Table(ctx, cfg) })
		}
		both := func(change func(*fakeStore)) {
			frequent.set(change)
			infrequent.set(change)
		}
		time.Sleep(time.Second)
		both(func(s *fakeStore) { s.failAll, s.failNext, s.feeds = true, true, 0 })
		events.failed.send()
		time.Sleep(8 * time.Second)
		require.LessOrEqual(t, infrequent.feedCount(), 9)
		require.Greater(t, frequent.feedCount(), 12)
		both(func(s *fakeStore) { s.failAll, s.failNext = false, false })
		// Both tables complete one more long poll before they count as recovered.
		time.Sleep(ShortMaxBackoff + 2*probeWait + 50*time.Millisecond)
		observer.mu.Lock()
		require.Equal(t, 1, observer.regained)
		observer.mu.Unlock()
		cancel()
		group.Wait()
	})
}

// TestRestoredStoreIsAnOutageAndReadAgain guards against a table that is followed from a
// version of another era, and against rows that vanish at once because an older copy lacks
// them: the observer must see an outage, the rows of the copy, and the end of the outage,
// also if all that a call shows is that the history was lost.
func TestRestoredStoreIsAnOutageAndReadAgain(t *testing.T) {
	t.Run("shown by the era", func(t *testing.T) { checkRestore(t, false) })
	t.Run("shown by lost history", func(t *testing.T) { checkRestore(t, true) })
}

func checkRestore(t *testing.T, historyLost bool) {
	synctest.Test(t, func(t *testing.T) {
		store, observer := &fakeStore{version: at(5), rows: []platform.Row{{Key: "a", Version: 5}}}, &recorder{}
		cfg := newConfig(store, "t", observer)
		go func() {
			time.Sleep(time.Second)
			store.set(func(s *fakeStore) {
				s.version = platform.Version{Era: 1, Number: 7}
				s.rows = []platform.Row{{Key: "b", Version: 3}, {Key: "c", Version: 7}}
				s.historyLost = historyLost
			})
		}()
		followFor(t, cfg, 4*time.Second)
		require.Equal(t, []int{1, 2}, observer.snapshots)
		require.Empty(t, observer.changes, "no change was taken from a feed across eras")
		require.Equal(t, 1, observer.lost)
		require.Equal(t, 1, observer.regained)
		require.Equal(t, platform.Version{Era: 1, Number: 7}, cfg.Position.Change())
	})
}
