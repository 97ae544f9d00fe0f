// Package follow keeps up with a table of the platform's store: one long wait
// for changes at a time, and a whole read at the start and wherever the store no
// longer has the changes.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// LongWait is how long one call may wait for a change of a table whose changes
	// need not be seen soon after the store was dark.
	LongWait = 15 * time.Second
	// probeWait is the wait after a call that failed: a call that a dark store took is
	// never answered.
	probeWait = 250 * time.Millisecond
	// readFirst bounds the first attempt to read a table whole, readMost later
	// ones: a store that was dark answers a new call as soon as it is back, never an
	// old one, and a slow store needs more time.
	readFirst = 600 * time.Millisecond
	readMost  = 4 * time.Second
	// pauseFirst is the pause after a first call that failed.
	pauseFirst = 100 * time.Millisecond
)

// ShortPause and LongPause bound the pause after calls that failed: with one table
// that is tried often, the others are tried as soon as that is back.
const (
	ShortPause = 500 * time.Millisecond
	LongPause  = 2 * time.Second
)

// Reader reads tables; platform.Store is one.
type Reader interface {
	Read(ctx context.Context, table string) ([]platform.Row, uint64, error)
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.Row, uint64, error)
}

// Observer takes the rows of a table in.
type Observer interface {
	// Whole takes all rows of the table.
	Whole(rows []platform.Row)
	// Changed takes changed rows in order.
	Changed(rows []platform.Row)
	// Lost and Regained tell that the store cannot be read, and can again.
	Lost()
	Regained()
}

// Config is what a table is followed with.
type Config struct {
	Reader   Reader
	Table    string
	Observer Observer
	Log      *logrus.Entry
	// Wait is how long one call waits for a change. A call that was under way as the
	// store went dark is given up only after that, unless another table's is before.
	Wait time.Duration
	// Settle is the pause after changes: those that come together, as when many
	// targets start, then take one call.
	Settle time.Duration
	// Pause bounds the pause after calls that failed.
	Pause time.Duration
	// Alarm is shared by all tables of a process.
	Alarm *Alarm
}

// Alarm tells all followers of a store that a call of one of them has failed, so
// that they give up long waits which the store may have lost too, and that one is
// back, so that they try again at once. It is safe for concurrent use.
type Alarm struct {
	// raised is given with each alarm, over with each table that is back.
	raised, over *signal
}

// NewAlarm returns an Alarm.
func NewAlarm() *Alarm { return &Alarm{raised: newSignal(), over: newSignal()} }

// signal is given again and again to all that wait for it.
type signal struct {
	// mu guards given; it is a leaf.
	mu sync.Mutex
	// given is closed by the next signal.
	given chan struct{}
}

func newSignal() *signal { return &signal{given: make(chan struct{})} }

// next returns what is closed by the next signal.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.given
}

func (s *signal) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.given)
	s.given = make(chan struct{})
}

// ErrAlarm means that a wait was given up since another call to the store failed.
var ErrAlarm = errors.New("another call to the store has failed")

// Table follows a table until the context ends.
func Table(ctx context.Context, cfg Config) {
	f := &follower{Config: cfg, log: cfg.Log.WithField("table", cfg.Table)}
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err != nil {
			f.pause(ctx)
		}
	}
}

type follower struct {
	Config
	log *logrus.Entry
	// whole tells that the table was read, version how far.
	whole    bool
	version  uint64
	failures int
}

// step reads the table whole, or waits for its next changes.
func (f *follower) step(ctx context.Context) error {
	if !f.whole {
		limit := min(readFirst<<min(f.failures/2, 8), readMost)
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		rows, version, err := f.Reader.Read(ctx, f.Table)
		if err != nil {
			return err
		}
		f.whole, f.version = true, version
		f.Observer.Whole(rows)
		return nil
	}
	rows, version, err := f.feed(ctx)
	var lost *platform.HistoryLostError
	if errors.As(err, &lost) {
		f.whole = false
		f.log.Info("history lost, the table is read whole")
		return nil
	}
	if err != nil {
		return err
	}
	f.version = max(f.version, version)
	if len(rows) > 0 {
		f.Observer.Changed(rows)
		f.sleep(ctx, f.Settle)
	}
	return nil
}

// feed waits for the next changes; a long wait ends with the alarm.
func (f *follower) feed(ctx context.Context) ([]platform.Row, uint64, error) {
	if f.failures > 0 {
		return f.Reader.Feed(ctx, f.Table, f.version, probeWait)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := f.Alarm.raised.next()
	go func() {
		select {
		case <-alarm:
			cancel(ErrAlarm)
		case <-ctx.Done():
		}
	}()
	rows, version, err := f.Reader.Feed(ctx, f.Table, f.version, f.Wait)
	if err != nil && errors.Is(context.Cause(ctx), ErrAlarm) {
		err = ErrAlarm
	}
	return rows, version, err
}

// note tells of the first failure and of the end of failures.
func (f *follower) note(err error) {
	switch {
	case err != nil && f.failures == 0:
		f.log.WithError(err).Warn("store lost")
		f.Observer.Lost()
		if !errors.Is(err, ErrAlarm) {
			f.Alarm.raised.give()
		}
	case err == nil && f.failures > 0:
		f.log.WithField("failures", f.failures).Info("store regained")
		f.Observer.Regained()
		f.Alarm.over.give()
	}
	if err == nil {
		f.failures = 0
		return
	}
	f.failures++
}

func (f *follower) pause(ctx context.Context) {
	longest := min(pauseFirst<<min(f.failures, 8), f.Pause)
	select {
	case <-ctx.Done():
	case <-f.Alarm.over.next():
	case <-time.After(longest/2 + rand.N(longest/2)):
	}
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
