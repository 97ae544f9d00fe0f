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
	callers           = 64
	bodyBytes         = 256
	warmUp            = 300 * time.Millisecond
	duration          = 2 * time.Second
	idleStreams       = 2000
	idleLinkCount     = 200
	bytesPerKiB       = 1024
	minimumRate       = 20000
	maximumKiB        = 32
	maximumGoroutines = 4
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		// Before the others: what they leave behind would be taken off.
		{Name: "link-idle-links", Run: idleLinks},
		{Name: "link-round-trips", Run: roundTrips},
		{Name: "link-idle-streams", Run: idle},
	}
}

type head struct {
	_    struct{} `cbor:",toarray"`
	Path string
}

// server answers each stream with its body; a stream with the path "idle" stays
// open after the reply head.
type server struct{}

func (server) ServeStream(_ context.Context, _ *link.Link, s *link.Stream) {
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

func (server) ServeMessage(context.Context, *link.Link, uint16, []byte) {}

// pair is a link with both ends in this process.
type pair struct {
	link    *link.Link
	address string
	server  *http.Server
}

func newPair(ctx context.Context) (*pair, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	acceptor := link.NewAcceptor(link.Config{
		Identity: link.Identity{Name: "agent", Role: link.RoleAgent, Incarnation: "agent-1"},
		Handler:  server{},
	})
	p := &pair{address: listener.Addr().String(), server: &http.Server{Handler: acceptor, ReadHeaderTimeout: time.Second}}
	go func() { _ = p.server.Serve(listener) }()
	p.link, err = link.Dial(ctx, p.address, link.Config{
		Identity: link.Identity{Name: "entry", Role: link.RoleEntry, Incarnation: "entry-1"},
	})
	if err != nil {
		_ = p.server.Close()
		return nil, err
	}
	return p, nil
}

func (p *pair) close() {
	_ = p.link.Close()
	_ = p.server.Close()
}

func unary(ctx context.Context, l *link.Link, body []byte) error {
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

// roundTrips counts finished round trips of many callers on one link.
func roundTrips(ctx context.Context) (measure.Result, error) {
	p, err := newPair(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer p.close()
	if _, err := drive(ctx, p.link, warmUp); err != nil {
		return measure.Result{}, err
	}
	rate, err := drive(ctx, p.link, duration)
	if err != nil {
		return measure.Result{}, err
	}
	return measure.Result{Figures: []measure.Figure{{
		Name:  "unary round trips, 256 B body, 64 callers, one link, both ends in one process",
		Value: rate, Unit: "1/s", Limit: measure.AtLeast, Bound: minimumRate,
	}}}, nil
}

// drive calls for a time and returns the round trips a second.
func drive(ctx context.Context, l *link.Link, length time.Duration) (float64, error) {
	var finished atomic.Int64
	var fault atomic.Pointer[error]
	var running sync.WaitGroup
	started := time.Now()
	for range callers {
		running.Go(func() {
			body := make([]byte, bodyBytes)
			for time.Since(started) < length && ctx.Err() == nil {
				if err := unary(ctx, l, body); err != nil {
					fault.Store(&err)
					return
				}
				finished.Add(1)
			}
		})
	}
	running.Wait()
	if err := fault.Load(); err != nil {
		return 0, *err
	}
	return float64(finished.Load()) / time.Since(started).Seconds(), nil
}

// idle measures open streams on which nothing moves, each with a goroutine that
// reads at both ends.
func idle(ctx context.Context) (measure.Result, error) {
	p, err := newPair(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer p.close()
	if err := unary(ctx, p.link, nil); err != nil {
		return measure.Result{}, err
	}
	before := takeUsage()
	for range idleStreams {
		if err := openIdle(ctx, p.link); err != nil {
			return measure.Result{}, err
		}
	}
	after := takeUsage()
	memory := float64(after.bytes-before.bytes) / idleStreams / bytesPerKiB
	goroutines := float64(after.goroutines-before.goroutines) / idleStreams
	return measure.Result{Figures: []measure.Figure{
		{Name: "memory an idle open stream, both ends and their readers", Value: memory, Unit: "KiB",
			Limit: measure.AtMost, Bound: maximumKiB},
		{Name: "goroutines an idle open stream, both ends and their readers", Value: goroutines, Unit: "goroutines",
			Limit: measure.AtMost, Bound: maximumGoroutines},
	}}, nil
}

func openIdle(ctx context.Context, l *link.Link) error {
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

// usage is what the process holds.
type usage struct {
	bytes      int64
	goroutines int
}

func takeUsage() usage {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return usage{bytes: int64(stats.HeapAlloc + stats.StackInuse), goroutines: runtime.NumGoroutine()}
}
