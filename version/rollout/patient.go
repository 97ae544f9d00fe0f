package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/platform"
)

const (
	// limitedTries bounds how often a call that the platform refused for its rate
	// is made.
	limitedTries = 6
	// limitedPause is the mean time before the second of them; it doubles, so that
	// a second passes before the last.
	limitedPause = 30 * time.Millisecond
)

// patientTable makes calls again that the platform refused for its rate: they had
// no effect, and the rate is that of all processes together.
type patientTable struct {
	platform.Table
	clock clockwork.Clock
}

// Get implements platform.Table.
func (p *patientTable) Get(ctx context.Context, keys ...string) (rows []platform.Row, err error) {
	err = p.again(ctx, func() error {
		rows, err = p.Table.Get(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements platform.Table.
func (p *patientTable) Scan(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = p.again(ctx, func() error {
		rows, err = p.Table.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements platform.Table.
func (p *patientTable) Commit(ctx context.Context, txn platform.Txn) (result platform.TxnResult, err error) {
	err = p.again(ctx, func() error {
		result, err = p.Table.Commit(ctx, txn)
		return err
	})
	return result, err
}

// again makes a call until it is not refused for the rate; the pauses vary, so
// that processes that were refused together do not come back together.
func (p *patientTable) again(ctx context.Context, call func() error) error {
	pause := limitedPause
	for try := 1; ; try++ {
		err := call()
		var limited *platform.RateLimitedError
		if try == limitedTries || !errors.As(err, &limited) {
			return err
		}
		select {
		case <-p.clock.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return err
		}
		pause *= 2
	}
}
