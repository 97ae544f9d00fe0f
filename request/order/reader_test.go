package order

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	standin "verbenaseam.example/verbenaseam/internal/standin/platform"
	"verbenaseam.example/verbenaseam/process/platform"
)

// TestBatchReaderCombinesReads guards against more than one read of the table for
// concurrent calls: a hundred calls wait for ten rows, of which every other one
// exists, while the clock is stopped.
func TestBatchReaderCombinesReads(t *testing.T) {
	const calls, rows = 100, 10
	clock := clockwork.NewFakeClock()
	server := standin.New(standin.Config{Clock: clock})
	var txn platform.Txn
	for i := 0; i < rows; i += 2 {
		txn.Puts = append(txn.Puts, platform.Put{Key: fmt.Sprint(i), Value: []byte{byte(i)}})
	}
	_, err := server.Commit(context.Background(), txn)
	require.NoError(t, err)
	reader := NewBatchReader(server, clock)
	reader.lastRead = clock.Now()
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			row, found, err := reader.Read(context.Background(), fmt.Sprint(i%rows))
			if err != nil || found != (i%2 == 0) || found && row.Value[0] != byte(i%rows) {
				t.Errorf("row %d: %v %v %v", i%rows, row, found, err)
			}
		})
	}
	for reader.waiters() < calls {
		runtime.Gosched()
	}
	require.NoError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(readInterval)
	wait.Wait()
	require.EqualValues(t, 1, server.Counters().Reads)
}

// waiters returns the number of waiting calls.
func (r *BatchReader) waiters() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, waiting := range r.waiting {
		count += len(waiting)
	}
	return count
}
