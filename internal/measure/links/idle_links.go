package links

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/internal/measure"
)

// heartbeatObservation is the time over which the heartbeat traffic of idle links is
// measured.
const heartbeatObservation = 2 * time.Second

// measureIdleLinks measures the memory, goroutines and heartbeat traffic of links
// without streams, with both ends in this process.
func measureIdleLinks(ctx context.Context) (measure.Result, error) {
	loopback, err := newLoopbackLink(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer loopback.close()
	counters := link.NewCounters()
	before := readUsage()
	for range idleLinkCount {
		l, err := link.Dial(ctx, loopback.address, link.Config{
			Identity: link.Identity{Name: "entry", Role: link.RoleEntry, Incarnation: "entry-1"},
			Counters: counters,
		})
		if err != nil {
			return measure.Result{}, err
		}
		defer func() { _ = l.Close() }()
		if err := callUnary(ctx, l, make([]byte, bodyBytes)); err != nil {
			return measure.Result{}, err
		}
	}
	after := readUsage()
	sentBefore := counters.BytesSent.Load()
	select {
	case <-time.After(heartbeatObservation):
	case <-ctx.Done():
		return measure.Result{}, ctx.Err()
	}
	traffic := float64(counters.BytesSent.Load()-sentBefore) / idleLinkCount / heartbeatObservation.Seconds()
	return measure.Result{Figures: []measure.Figure{
		{Name: "memory per idle link, both ends", Value: float64(after.bytes-before.bytes) / idleLinkCount / bytesPerKiB, Unit: "KiB"},
		{Name: "goroutines per idle link, both ends", Value: float64(after.goroutines-before.goroutines) / idleLinkCount, Unit: "goroutines"},
		{Name: "frame bytes sent per idle link and end", Value: traffic, Unit: "B/s"},
	}}, nil
}
