// Package follow keeps up with a table of the platform's store: one long wait
// for changes at a time, and a whole read at the start and wherever the store no
// longer has the changes.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// feedWait is how long one call waits for a change, probeWait after a call that
	// failed: a call that a dark store took is never answered.
	feedWait  = 15 * time.Second
	probeWait = 500 * time.Millisecond
	// settle is the pause after changes: those that come together, as when many
	// targets start, then take one call.
	settle = 100 * time.Millisecond
	// readFirst bounds the first attempt to read a table whole, readMost later
	// ones: a store that was dark answers a new call as soon as it is back, never an
	// old one, and a slow store needs more time.
	readFirst = 600 * time.Millisecond
	readMost  = 4 * time.Second
	// pauseFirst and pauseMost bound the pause after a call that failed.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
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

// Table follows a table until the context ends.
func Table(ctx context.Context, reader Reader, table string, observer Observer, log *logrus.Entry) {
	f := &follower{reader: reader, table: table, observer: observer, log: log.WithField("table", table)}
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
	reader   Reader
	table    string
	observer Observer
	log      *logrus.Entry
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
		rows, version, err := f.reader.Read(ctx, f.table)
		if err != nil {
			return err
		}
		f.whole, f.version = true, version
		f.observer.Whole(rows)
		return nil
	}
	wait := feedWait
	if f.failures > 0 {
		wait = probeWait
	}
	rows, version, err := f.reader.Feed(ctx, f.table, f.version, wait)
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
		f.observer.Changed(rows)
		f.sleep(ctx, settle)
	}
	return nil
}

// note tells of the first failure and of the end of failures.
func (f *follower) note(err error) {
	switch {
	case err != nil && f.failures == 0:
		f.log.WithError(err).Warn("store lost")
		f.observer.Lost()
	case err == nil && f.failures > 0:
		f.log.WithField("failures", f.failures).Info("store regained")
		f.observer.Regained()
	}
	if err == nil {
		f.failures = 0
		return
	}
	f.failures++
}

func (f *follower) pause(ctx context.Context) {
	longest := min(pauseFirst<<min(f.failures, 8), pauseMost)
	f.sleep(ctx, longest/2+time.Duration(rand.Float64()*float64(longest/2)))
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
