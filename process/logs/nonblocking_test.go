package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every Write until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	out      bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(data)
}

func TestNonBlockingWriterNeverBlocksItsCallers(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	w := NewNonBlockingWriter(out)
	start := time.Now()
	const lines = 5000
	for n := range lines {
		count, err := fmt.Fprintf(w, "line %d\n", n)
		require.NoError(t, err)
		require.Positive(t, count)
	}
	require.Less(t, time.Since(start), time.Second)
	dropped := w.Dropped()
	require.Greater(t, dropped, int64(lines-burstLines-queueCapacity))
	close(out.released)
	require.NoError(t, w.Close())
	written := strings.Count(out.out.String(), "line ")
	require.Equal(t, int64(lines), int64(written)+dropped)
	require.Contains(t, out.out.String(), fmt.Sprintf("\"dropped\":%d", dropped))
}

func TestNonBlockingWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewNonBlockingWriter(&out)
	for n := range 100 {
		fmt.Fprintf(w, "%d\n", n)
	}
	require.NoError(t, w.Close())
	lines := strings.Fields(out.String())
	require.Len(t, lines, 100)
	require.Equal(t, "99", lines[99])
}
