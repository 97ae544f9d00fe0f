package slowpeers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenaseam.example/verbenaseam/internal/measure"
)

const (
	hostMegabytes = 136
	streamCount   = 1000
	bodyCount     = 200
	bodyBytes     = 4 << 20

	// The required figures.
	maxResidentMegabytes = 100
	maxLatencyRatio      = 1.3

	// slowRead is how many bytes a slow caller reads in slowInterval. The stream has five times
	// that.
	slowRead     = 1000
	slowInterval = 250 * time.Millisecond
	// callerBuffer is the receive buffer of a slow caller; the kernel's would hold the stream.
	callerBuffer = 4 << 10

	probeInterval = 5 * time.Millisecond
	probeTime     = 5 * time.Second
	probeBytes    = 5000
	// rampTime is the time until the streams fill the buffers of the kernel and of the entry.
	rampTime  = 6 * time.Second
	drainTime = 60 * time.Second
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{{Name: "slow-peers", Run: measureSlowPeers}}
}

// counts are the outcomes of streams and bodies.
type counts struct {
	streamsLost, bodiesServed, bodiesRejected, bodiesLost, probesFailed atomic.Int64
}

// measureSlowPeers measures an entry with and without slow streams and large bodies.
func measureSlowPeers(ctx context.Context) (measure.Result, error) {
	s, err := startSystem(ctx, hostMegabytes)
	if err != nil {
		return measure.Result{}, err
	}
	defer s.stop()
	var c counts
	usual := s.probe(ctx, &c)
	var callers sync.WaitGroup
	fast := make(chan struct{})
	for range streamCount {
		callers.Go(func() { s.readStream(ctx, fast, &c) })
	}
	time.Sleep(rampTime)
	for range bodyCount {
		callers.Go(func() { s.sendBody(ctx, &c) })
	}
	loaded := s.probe(ctx, &c)
	close(fast)
	callers.Wait()
	resident, err := s.residentPeak()
	if err != nil {
		return measure.Result{}, err
	}
	none := func(name string, count *atomic.Int64) measure.Figure {
		return measure.Figure{Name: name, Value: float64(count.Load()), Unit: "requests", Limit: measure.AtMost}
	}
	p99 := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }
	return measure.Result{Figures: []measure.Figure{
		{Name: "peak of resident memory", Value: resident, Unit: "MB", Limit: measure.AtMost, Bound: maxResidentMegabytes},
		{Name: "p99 without slow peers", Value: p99(usual), Unit: "ms"},
		{Name: "p99 with slow peers", Value: p99(loaded), Unit: "ms"},
		{Name: "p99 with slow peers over that without", Value: p99(loaded) / p99(usual), Unit: "ratio", Limit: measure.AtMost, Bound: maxLatencyRatio},
		none("slow streams cut or not whole", &c.streamsLost),
		none("bodies neither served nor rejected as not run", &c.bodiesLost),
		none("other requests not served", &c.probesFailed),
		{Name: "bodies served", Value: float64(c.bodiesServed.Load()), Unit: "requests"},
		{Name: "bodies rejected as not run", Value: float64(c.bodiesRejected.Load()), Unit: "requests"},
	}}, nil
}

// probe sends small requests at a fixed rate and returns their latencies in microseconds.
func (s *system) probe(ctx context.Context, c *counts) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var probes sync.WaitGroup
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for range int(probeTime / probeInterval) {
		<-ticker.C
		probes.Go(func() {
			started := time.Now()
			status, err := s.post(ctx, "/look/x", probeBytes)
			if err != nil || status != http.StatusOK {
				c.probesFailed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			// Longer times than the histogram's maximum don't occur: the route has a timeout.
			_ = histogram.RecordValue(time.Since(started).Microseconds())
		})
	}
	probes.Wait()
	return histogram
}

// sendBody sends a large body and counts the outcome.
func (s *system) sendBody(ctx context.Context, c *counts) {
	status, err := s.post(ctx, "/look/x", bodyBytes)
	switch {
	case err == nil && status == http.StatusOK:
		c.bodiesServed.Add(1)
	case err == nil && status == http.StatusServiceUnavailable:
		c.bodiesRejected.Add(1)
	default:
		c.bodiesLost.Add(1)
	}
}

// readStream reads a stream slowly until fast is closed, and counts it as lost if it isn't whole.
func (s *system) readStream(ctx context.Context, fast <-chan struct{}, c *counts) {
	if err := s.checkStream(ctx, fast); err != nil {
		c.streamsLost.Add(1)
	}
}

// errNotWhole means that an event of a stream is missing.
var errNotWhole = errors.New("the stream is not whole")

func (s *system) checkStream(ctx context.Context, fast <-chan struct{}) error {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	conn, err := dialer.DialContext(ctx, "tcp", s.callers)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(rampTime + probeTime + drainTime)); err != nil {
		return err
	}
	r, err := s.newRequest(ctx, "/chat/x", probeBytes)
	if err != nil {
		return err
	}
	if err := r.Write(conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(&slowReader{conn, fast}, slowRead), r)
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(response.Body)
	next := 1
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id:") {
			continue
		}
		if lines.Text() != fmt.Sprintf("id: %d", next) {
			return errNotWhole
		}
		next++
	}
	if next != eventCount+1 {
		return errNotWhole
	}
	return lines.Err()
}

// slowReader reads slowRead bytes each slowInterval until fast is closed.
type slowReader struct {
	io.Reader
	fast <-chan struct{}
}

// Read implements io.Reader.
func (r *slowReader) Read(into []byte) (int, error) {
	select {
	case <-r.fast:
	case <-time.After(slowInterval):
	}
	return r.Reader.Read(into[:min(len(into), slowRead)])
}
