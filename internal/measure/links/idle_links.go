package links

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/internal/measure"
)

// heartbeatWatch is how long idle links are watched for their traffic.
const heartbeatWatch = 2 * time.Second

// idleLinks measures links without streams, both ends in this process.
func idleLinks(ctx context.Context) (measure.Result, error) {
	p, err := newPair(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer p.close()
	counters := link.NewCounters()
	before := takeUsage()
	for range idleLinkCount {
		l, err := link.Dial(ctx, p.address, link.Config{
			Identity: link.Identity{Name: "entry", Role: link.RoleEntry, Incarnation: "entry-1"},
			Counters: counters,
		})
		if err != nil {
			return measure.Result{}, err
		}
		defer func() { _ = l.Close() }()
		if err := unary(ctx, l, make([]byte, bodyBytes)); err != nil {
			return measure.Result{}, err
		}
	}
	after := takeUsage()
	sent := counters.BytesSent.Load()
	select {
	case <-time.After(heartbeatWatch):
	case <-ctx.Done():
		return measure.Result{}, ctx.Err()
	}
	traffic := float64(counters.BytesSent.Load()-sent) / idleLinkCount / heartbeatWatch.Seconds()
	return measure.Result{Figures: []measure.Figure{
		{Name: "memory an idle link, both ends", Value: float64(after.bytes-before.bytes) / idleLinkCount / bytesPerKiB, Unit: "KiB"},
		{Name: "goroutines an idle link, both ends", Value: float64(after.goroutines-before.goroutines) / idleLinkCount, Unit: "goroutines"},
		{Name: "frame bytes sent an idle link and end", Value: traffic, Unit: "B/s"},
	}}, nil
}
