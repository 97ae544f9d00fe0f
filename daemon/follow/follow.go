// Package follow keeps an observer up to date with a table of the platform's
// store. It long-polls the table's changes, one call at a time, and reads the
// whole table at the start and whenever the store no longer has the changes.
package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// LongFeedWait is the long-poll wait for a table whose changes need not be seen
	// soon after an outage of the store.
	LongFeedWait = 15 * time.Second
	// probeWait is the long-poll wait after a failed call. It is short because an
	// unresponsive store never answers a call that it has accepted.
	probeWait = 250 * time.Millisecond
	// minReadTimeout limits the first attempts to read a whole table. The timeout doubles
	// with every second failure, up to maxReadTimeout. A store that was unresponsive
	// answers new calls as soon as it is back but never old ones, which calls for a
	// short timeout; a slow store needs a longer one.
	minReadTimeout = 600 * time.Millisecond
	maxReadTimeout = 4 * time.Second
	// minBackoff is the shortest pause after the first failed call.
	minBackoff = 100 * time.Millisecond
)

// ShortMaxBackoff and LongMaxBackoff are values for Config.MaxBackoff. It is enough
// that one table is retried often: the others are retried as soon as that one is back.
const (
	ShortMaxBackoff = 500 * time.Millisecond
	LongMaxBackoff  = 2 * time.Second
)

// Always returns a function that returns the duration, for Config.
func Always(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// Reader reads tables; platform.Store implements it.
type Reader interface {
	Read(ctx context.Context, table string) ([]platform.Row, platform.Version, error)
	Feed(ctx context.Context, table string, after platform.Version, wait time.Duration) ([]platform.Row, platform.Version, error)
}

// Observer receives the rows of a table. Its methods are called from one goroutine.
type Observer interface {
	// OnSnapshot receives all rows of the table.
	OnSnapshot(rows []platform.Row)
	// OnChanges receives changed rows in order.
	OnChanges(rows []platform.Row)
	// OnStoreLost is called when the store can no longer be read, OnStoreRegained when
	// it can be read again.
	OnStoreLost()
	OnStoreRegained()
}

// Config configures how a table is followed.
type Config struct {
	Reader   Reader
	Table    string
	Observer Observer
	Log      *logrus.Entry
	// Position records how far the table is known.
	Position *Position
	// FeedWait returns the long-poll wait for changes. A call that is in flight when the
	// store becomes unresponsive is abandoned only after this time, or earlier when a
	// call for another table fails or a peer knows of a change.
	FeedWait func() time.Duration
	// BatchDelay returns the pause after changes, so that changes in quick succession, as
	// when many targets start, arrive in one call.
	BatchDelay func() time.Duration
	// MaxBackoff limits the pause after failed calls.
	MaxBackoff time.Duration
	// Events is shared by all tables of a process.
	Events *StoreEvents
	// Relay, if not nil, exchanges the table's changes with other processes.
	Relay *Relay
}

// StoreEvents broadcasts failures and recoveries of a store to all its followers. On
// a failure they abandon their long polls, which the store may have lost too; on a
// recovery they retry at once. It is safe for concurrent use.
type StoreEvents struct {
	// failed is sent when a call fails, recovered when a table can be read again.
	failed, recovered *broadcast
}

// NewStoreEvents returns StoreEvents without listeners.
func NewStoreEvents() *StoreEvents {
	return &StoreEvents{failed: newBroadcast(), recovered: newBroadcast()}
}

// Interrupt makes all followers abandon their long polls and check the store, for instance
// because a peer has lost it.
func (s *StoreEvents) Interrupt() { s.failed.send() }

// Interrupted returns a channel that is closed at the next failure or Interrupt.
func (s *StoreEvents) Interrupted() <-chan struct{} { return s.failed.next() }

// broadcast is a repeatable event that wakes all goroutines waiting for it.
type broadcast struct {
	// mu guards sent. No other lock is acquired while it is held.
	mu sync.Mutex
	// sent is closed and replaced by each send.
	sent chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{sent: make(chan struct{})} }

// next returns a channel that the next send closes.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.sent)
	b.sent = make(chan struct{})
}

// ErrInterrupted is the error of a long poll that was abandoned because another call
// to the store failed.
var ErrInterrupted = errors.New("long poll abandoned: another call to the store has failed")

// errHinted is the reason for abandoning a long poll when a peer knows of a change.
var errHinted = errors.New("long poll abandoned: a peer knows of a change")

// Table follows a table until ctx is done.
func Table(ctx context.Context, cfg Config) {
	f := &follower{Config: cfg, log: cfg.Log.WithField("table", cfg.Table)}
	for ctx.Err() == nil {
		err := f.guardedStep(ctx)
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		if err != nil {
			f.backOff(ctx)
		}
	}
}

type follower struct {
	Config
	log *logrus.Entry
	// synced is set while the table's rows are known, from a read of the whole table
	// until the store no longer has its changes; version is the store's version up to
	// which they are known.
	synced  bool
	version platform.Version
	// read is set once the whole table has been read.
	read bool
	// failures is the number of consecutive failed calls.
	failures int
	// hinted is set if the last long poll was abandoned because of a hint.
	hinted bool
	// changedAt is a version after which the table has no changes up to version.
	changedAt uint64
	// regainedAt is when the store could be read again after its last outage.
	regainedAt time.Time
}

// PanicError means that the observer panicked at rows of a table.
type PanicError struct{ Cause any }

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Cause) }

// guardedStep is step with panics as errors. A row that nobody expected must not end a process
// that serves without the store: for the observer it is an outage, after which the whole table
// is read again.
func (f *follower) guardedStep(ctx context.Context) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			f.synced, err = false, &PanicError{Cause: cause}
			f.log.WithFields(logrus.Fields{"panic": fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("rows of the table not processed")
		}
	}()
	return f.step(ctx)
}

// step reads the whole table, or waits for its next changes.
func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		rows, version, err := f.readTable(ctx)
		if err != nil {
			return err
		}
		f.takeSnapshot(rows, version)
		f.Relay.settle(ctx)
		return nil
	}
	rows, version, relayed, err := f.feed(ctx)
	var lost *platform.HistoryLostError
	if errors.As(err, &lost) {
		f.synced = false
		f.log.Info("store no longer holds the table's changes; reading the whole table")
		return nil
	}
	var restored *platform.RestoredError
	if errors.As(err, &restored) {
		// Counted as a failure: for the observer it is an outage of the store.
		f.synced = false
		f.log.WithFields(logrus.Fields{"era": restored.After, "known": f.version.Number}).Warn("store restored from an older copy; reading the whole table")
		return err
	}
	if f.hinted = errors.Is(err, errHinted) || errors.Is(err, errNothingForwarded); f.hinted {
		return nil
	}
	if err != nil {
		return err
	}
	f.version.Number = max(f.version.Number, version.Number)
	if len(rows) == 0 {
		f.Position.fed(rows, f.version)
		return nil
	}
	if !relayed {
		f.Relay.publish(rows, f.changedAt, f.version, f.disturbed())
	}
	f.changedAt = max(f.changedAt, latestChange(rows))
	f.Position.fed(rows, f.version)
	f.Observer.OnChanges(rows)
	if !f.Relay.receiving() {
		f.sleep(ctx, f.BatchDelay())
	}
	return nil
}

// readTable reads the whole table.
func (f *follower) readTable(ctx context.Context) ([]platform.Row, platform.Version, error) {
	timeout := min(minReadTimeout<<min(f.failures/2, 8), maxReadTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.Reader.Read(ctx, f.Table)
}

// disturbed reports whether the store failed shortly before.
func (f *follower) disturbed() bool {
	return f.failures > 0 || !f.regainedAt.IsZero() && time.Since(f.regainedAt) < disturbanceSpan
}

// takeSnapshot passes on the rows of the whole table. If they are of another era than the
// rows known before, it is an outage of the store for the observer, also if no call failed:
// the copy from which the store was restored may lack rows that will be written again.
func (f *follower) takeSnapshot(rows []platform.Row, version platform.Version) {
	unnoticed := f.read && version.Era != f.version.Era && f.failures == 0
	f.read, f.synced, f.version, f.changedAt = true, true, version, version.Number
	f.Position.read(rows, version)
	if unnoticed {
		f.Observer.OnStoreLost()
		defer f.Observer.OnStoreRegained()
	}
	f.Observer.OnSnapshot(rows)
}

// feed waits for the next changes. A failure of another call to the store, and a hint,
// end a long poll early. Before long polls after a hint, a short one asks for changes, so
// that the store's version is known even if there are none. It reports whether the changes
// were forwarded by a peer.
func (f *follower) feed(ctx context.Context) ([]platform.Row, platform.Version, bool, error) {
	if f.failures > 0 || f.hinted {
		rows, version, err := f.Reader.Feed(ctx, f.Table, f.version, probeWait)
		return rows, version, false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	failed, hinted := f.Events.failed.next(), f.Position.hinted.next()
	go func() {
		select {
		case <-failed:
			cancel(ErrInterrupted)
		case <-hinted:
			cancel(errHinted)
		case <-ctx.Done():
		}
	}()
	relayed := f.Relay.receiving()
	var rows []platform.Row
	var version platform.Version
	var err error
	if relayed {
		rows, version, err = f.Relay.await(ctx, f.version)
	} else {
		rows, version, err = f.Reader.Feed(ctx, f.Table, f.version, f.FeedWait())
	}
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, ErrInterrupted) || errors.Is(cause, errHinted)) {
		err = cause
	}
	return rows, version, relayed, err
}

// recordResult counts failures, and reports the first one and the recovery to the
// observer, to the other followers and in the log.
func (f *follower) recordResult(err error) {
	switch {
	case err != nil && f.failures == 0:
		f.log.WithError(err).Warn("store lost")
		f.Observer.OnStoreLost()
		if !errors.Is(err, ErrInterrupted) && !errors.Is(err, errOutageForwarded) {
			f.Events.failed.send()
		}
	case err == nil && f.failures > 0:
		f.log.WithField("failures", f.failures).Info("store regained")
		f.regainedAt = time.Now()
		f.Observer.OnStoreRegained()
		f.Events.recovered.send()
	}
	if err == nil {
		f.failures = 0
		return
	}
	f.failures++
}

// backOff pauses after a failed call, with jitter. The recovery of another table ends
// the pause.
func (f *follower) backOff(ctx context.Context) {
	longest := min(minBackoff<<min(f.failures, 8), f.MaxBackoff)
	select {
	case <-ctx.Done():
	case <-f.Events.recovered.next():
	case <-time.After(longest/2 + rand.N(longest/2)):
	}
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
