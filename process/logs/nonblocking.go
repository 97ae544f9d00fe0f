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
	// linesPerSecond is the rate limit and burstLines the maximum burst of lines.
	linesPerSecond = 1000
	burstLines     = 2000
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// NonBlockingWriter writes log lines without blocking its callers. Lines beyond the rate
// limit, and lines that arrive while the queue to the underlying writer is full, are
// dropped and counted. It is safe for concurrent use.
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
	w := &NonBlockingWriter{
		out: out, limit: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, queueCapacity), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer; it never fails.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *NonBlockingWriter) Dropped() int64 { return w.dropped.Load() }

func (w *NonBlockingWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-w.lines:
			if !open {
				w.reportDropped()
				return
			}
			// There is nowhere to report that the log cannot be written.
			_, _ = w.out.Write(line)
		case <-ticker.C:
			w.reportDropped()
		}
	}
}

// reportDropped writes the number of lines dropped since the last report.
func (w *NonBlockingWriter) reportDropped() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log: lines dropped\",\"dropped\":%d}\n", dropped)
	}
}

// Close writes the queued lines and the number of dropped lines. Write must not be
// called afterwards.
func (w *NonBlockingWriter) Close() error {
	w.once.Do(func() { close(w.lines) })
	<-w.done
	return nil
}
