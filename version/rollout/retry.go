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
	// maxRateLimitAttempts bounds the attempts of a call that the platform rejects
	// with a RateLimitedError.
	maxRateLimitAttempts = 6
	// initialRetryDelay is the mean delay before the second attempt. It doubles for
	// each further attempt, so that about one second passes before the last.
	initialRetryDelay = 30 * time.Millisecond
)

// retryingTable retries calls that the platform rejects with a RateLimitedError.
// Retries are safe since such calls have no effect. They are needed since the rate
// limit applies to all processes together.
type retryingTable struct {
	platform.Table
	clock clockwork.Clock
}

// Get implements platform.Table.
func (r *retryingTable) Get(ctx context.Context, keys ...string) (rows []platform.Row, err error) {
	err = r.retry(ctx, func() error {
		rows, err = r.Table.Get(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements platform.Table.
func (r *retryingTable) Scan(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = r.retry(ctx, func() error {
		rows, err = r.Table.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements platform.Table.
func (r *retryingTable) Commit(ctx context.Context, txn platform.Txn) (result platform.TxnResult, err error) {
	err = r.retry(ctx, func() error {
		result, err = r.Table.Commit(ctx, txn)
		return err
	})
	return result, err
}

// retry makes a call until it is not rejected with a RateLimitedError, or the
// attempts are used up. The delays are jittered so that processes that were
// rejected at the same time do not retry at the same time.
func (r *retryingTable) retry(ctx context.Context, call func() error) error {
	delay := initialRetryDelay
	for attempt := 1; ; attempt++ {
		err := call()
		var limited *platform.RateLimitedError
		if attempt == maxRateLimitAttempts || !errors.As(err, &limited) {
			return err
		}
		select {
		case <-r.clock.After(delay/2 + rand.N(delay)):
		case <-ctx.Done():
			return err
		}
		delay *= 2
	}
}
