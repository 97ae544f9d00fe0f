package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueCapacity is the maximum number of lines waiting to be written.
	queueCapacity = 1024
	// linesPerSecond and burstLines limit the rate of lines.
	linesPerSecond = 1000
	burstLines     = 2000
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// NonBlockingWriter is a non-blocking writer of log lines. Lines beyond the rate limit, and
// lines that arrive while the queue to the underlying writer is full, are dropped and
// counted. It is safe for concurrent use.
type NonBlockingWriter struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewNonBlockingWriter returns a NonBlockingWriter that writes to out and starts its
// goroutine, which Close stops.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{
		out: out, limit: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, queueCapacity), done: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write implements io.Writer; it never fails.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	if !b.limit.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case b.lines <- copied:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (b *NonBlockingWriter) Dropped() int64 { return b.dropped.Load() }

func (b *NonBlockingWriter) run() {
	defer close(b.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-b.lines:
			if !open {
				b.reportDropped()
				return
			}
			// There is nowhere to report that the log cannot be written.
			_, _ = b.out.Write(line)
		case <-ticker.C:
			b.reportDropped()
		}
	}
}

// reportDropped writes the number of lines dropped since the last report.
func (b *NonBlockingWriter) reportDropped() {
	if dropped := b.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(b.out, "{\"level\":\"warning\",\"msg\":\"log: lines dropped\",\"dropped\":%d}\n", dropped)
	}
}

// Close writes the queued lines and the number of dropped lines. Write must not be
// called afterwards.
func (b *NonBlockingWriter) Close() error {
	b.once.Do(func() { close(b.lines) })
	<-b.done
	return nil
}
