package links

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/internal/measure"
)

const (
	callerCount            = 64
	bodyBytes              = 256
	warmUp                 = 300 * time.Millisecond
	measurementTime        = 2 * time.Second
	idleStreamCount        = 2000
	idleLinkCount          = 200
	bytesPerKiB            = 1024
	minRoundTripsPerSecond = 20000
	maxKiBPerStream        = 32
	maxGoroutinesPerStream = 4
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		// Runs first: memory and goroutines left over from the other studies would be
		// part of its baseline and be subtracted from its figures.
		{Name: "link-idle-links", Run: measureIdleLinks},
		{Name: "link-round-trips", Run: measureRoundTrips},
		{Name: "link-idle-streams", Run: measureIdleStreams},
	}
}

// head is the request and reply head of the streams.
type head struct {
	_    struct{} `cbor:",toarray"`
	Path string
}

// echoHandler answers each stream with its own body. A stream with the path "idle"
// stays open after the reply head.
type echoHandler struct{}

func (echoHandler) ServeStream(_ context.Context, _ *link.Link, s *link.Stream) {
	var request head
	if s.DecodeHead(&request) != nil {
		return
	}
	if request.Path == "idle" {
		if s.SendHead(request, nil, false) == nil {
			_, _ = io.Copy(io.Discard, s)
		}
		return
	}
	body, err := io.ReadAll(s)
	if err != nil {
		return
	}
	_ = s.SendHead(request, body, true)
}

func (echoHandler) ServeMessage(context.Context, *link.Link, uint16, []byte) {}

// loopbackLink is a link over loopback with both ends in this process.
type loopbackLink struct {
	link    *link.Link
	address string
	server  *http.Server
}

func newLoopbackLink(ctx context.Context) (*loopbackLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	acceptor := link.NewAcceptor(link.Config{
		Identity: link.Identity{Name: "agent", Role: link.RoleAgent, Incarnation: "agent-1"},
		Handler:  echoHandler{},
	})
	loopback := &loopbackLink{address: listener.Addr().String(), server: &http.Server{Handler: acceptor, ReadHeaderTimeout: time.Second}}
	go func() { _ = loopback.server.Serve(listener) }()
	loopback.link, err = link.Dial(ctx, loopback.address, link.Config{
		Identity: link.Identity{Name: "entry", Role: link.RoleEntry, Incarnation: "entry-1"},
	})
	if err != nil {
		_ = loopback.server.Close()
		return nil, err
	}
	return loopback, nil
}

func (loopback *loopbackLink) close() {
	_ = loopback.link.Close()
	_ = loopback.server.Close()
}

// callUnary opens a stream, sends the body and reads the whole reply.
func callUnary(ctx context.Context, l *link.Link, body []byte) error {
	s, err := l.Open(ctx, head{Path: "/stock"}, body, true)
	if err != nil {
		return err
	}
	var reply head
	if err := s.ReceiveHead(ctx, &reply); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, s)
	return err
}

// measureRoundTrips measures the rate of round trips of concurrent callers on one link.
func measureRoundTrips(ctx context.Context) (measure.Result, error) {
	loopback, err := newLoopbackLink(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer loopback.close()
	if _, err := runCallers(ctx, loopback.link, warmUp); err != nil {
		return measure.Result{}, err
	}
	rate, err := runCallers(ctx, loopback.link, measurementTime)
	if err != nil {
		return measure.Result{}, err
	}
	return measure.Result{Figures: []measure.Figure{{
		Name:  "unary round trips, 256 B body, 64 callers, one link, both ends in one process",
		Value: rate, Unit: "1/s", Limit: measure.AtLeast, Bound: minRoundTripsPerSecond,
	}}}, nil
}

// runCallers lets callerCount callers send requests back to back for the given
// duration and returns the completed round trips per second.
func runCallers(ctx context.Context, l *link.Link, duration time.Duration) (float64, error) {
	var completed atomic.Int64
	var failure atomic.Pointer[error]
	var running sync.WaitGroup
	started := time.Now()
	for range callerCount {
		running.Go(func() {
			body := make([]byte, bodyBytes)
			for time.Since(started) < duration && ctx.Err() == nil {
				if err := callUnary(ctx, l, body); err != nil {
					failure.Store(&err)
					return
				}
				completed.Add(1)
			}
		})
	}
	running.Wait()
	if err := failure.Load(); err != nil {
		return 0, *err
	}
	return float64(completed.Load()) / time.Since(started).Seconds(), nil
}

// measureIdleStreams measures the memory and goroutines of open streams without
// traffic, each with a reading goroutine at both ends.
func measureIdleStreams(ctx context.Context) (measure.Result, error) {
	loopback, err := newLoopbackLink(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer loopback.close()
	if err := callUnary(ctx, loopback.link, nil); err != nil {
		return measure.Result{}, err
	}
	before := readUsage()
	for range idleStreamCount {
		if err := openIdleStream(ctx, loopback.link); err != nil {
			return measure.Result{}, err
		}
	}
	after := readUsage()
	memory := float64(after.bytes-before.bytes) / idleStreamCount / bytesPerKiB
	goroutines := float64(after.goroutines-before.goroutines) / idleStreamCount
	return measure.Result{Figures: []measure.Figure{
		{Name: "memory per idle open stream, both ends and their readers", Value: memory, Unit: "KiB",
			Limit: measure.AtMost, Bound: maxKiBPerStream},
		{Name: "goroutines per idle open stream, both ends and their readers", Value: goroutines, Unit: "goroutines",
			Limit: measure.AtMost, Bound: maxGoroutinesPerStream},
	}}, nil
}

// openIdleStream opens a stream that stays open, with a goroutine that reads from it.
func openIdleStream(ctx context.Context, l *link.Link) error {
	s, err := l.Open(ctx, head{Path: "idle"}, make([]byte, bodyBytes), false)
	if err != nil {
		return err
	}
	var reply head
	if err := s.ReceiveHead(ctx, &reply); err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, s) }()
	return nil
}

// usage is the memory and the number of goroutines of this process.
type usage struct {
	bytes      int64
	goroutines int
}

// readUsage returns the usage after garbage collection.
func readUsage() usage {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return usage{bytes: int64(stats.HeapAlloc + stats.StackInuse), goroutines: runtime.NumGoroutine()}
}
