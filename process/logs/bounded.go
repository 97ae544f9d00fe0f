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
	// queuedLines is how many lines wait to be written.
	queuedLines = 1024
	// linesPerSecond and burstLines bound the volume.
	linesPerSecond = 1000
	burstLines     = 2000
	// tellDropped is the time between two lines that tell of dropped ones.
	tellDropped = time.Second
)

// Bounded writes lines to out without ever making its callers wait: lines beyond
// a rate, or that out does not take in time, are dropped and counted. It is safe
// for concurrent use.
type Bounded struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBounded returns a writer to out. Close ends it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{
		out: out, limit: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, queuedLines), done: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write implements io.Writer; it never fails.
func (b *Bounded) Write(line []byte) (int, error) {
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

// Dropped returns how many lines were dropped and not told of yet.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer close(b.done)
	ticker := time.NewTicker(tellDropped)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-b.lines:
			if !open {
				b.tell()
				return
			}
			// There is nowhere to tell of a log that cannot be written.
			_, _ = b.out.Write(line)
		case <-ticker.C:
			b.tell()
		}
	}
}

// tell writes how many lines were dropped since it last did.
func (b *Bounded) tell() {
	if dropped := b.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(b.out, "{\"level\":\"warning\",\"msg\":\"log: lines dropped\",\"dropped\":%d}\n", dropped)
	}
}

// Close writes what waits, and how many lines were dropped. Nothing may be
// written afterwards.
func (b *Bounded) Close() error {
	b.once.Do(func() { close(b.lines) })
	<-b.done
	return nil
}
