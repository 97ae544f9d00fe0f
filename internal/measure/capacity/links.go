package capacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/stream"
)

// reportReceiver decodes incoming load reports and signals each on received.
type reportReceiver struct{ received chan struct{} }

// ServeStream implements link.Handler.
func (reportReceiver) ServeStream(context.Context, *link.Link, *link.Stream) {}

// ServeMessage implements link.Handler.
func (r reportReceiver) ServeMessage(_ context.Context, _ *link.Link, _ uint16, body []byte) {
	var report stream.LoadReport
	if cbor.Unmarshal(body, &report) == nil {
		r.received <- struct{}{}
	}
}

// linkSet is a set of links between an entry and agents in this process.
type linkSet struct {
	server   *http.Server
	receiver reportReceiver
	counters *link.Counters
	links    []*link.Link
}

// linkCount is the number of links in a linkSet.
const linkCount = 100

func newLinkSet(ctx context.Context) (*linkSet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &linkSet{receiver: reportReceiver{make(chan struct{}, linkCount)}, counters: link.NewCounters()}
	acceptor := link.NewAcceptor(link.Config{
		Identity: link.Identity{Name: "entry", Role: link.RoleEntry, Incarnation: "entry-1"},
		Handler:  s.receiver,
	})
	s.server = &http.Server{Handler: acceptor, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	for range linkCount {
		l, err := link.Dial(ctx, listener.Addr().String(), link.Config{
			Identity: link.Identity{Name: "agent", Role: link.RoleAgent, Incarnation: "agent-1"},
			Counters: s.counters,
		})
		if err != nil {
			s.close()
			return nil, err
		}
		s.links = append(s.links, l)
	}
	return s, nil
}

func (s *linkSet) close() {
	for _, l := range s.links {
		_ = l.Close()
	}
	_ = s.server.Close()
}

// reportRounds is the number of reports sent on each link.
const reportRounds = 200

// sampleReport is a load report whose values have typical encoded lengths.
var sampleReport = stream.LoadReport{
	Target: "target-1234", EngineIncarnation: "9b2e6f5c-6a55-4b7e-9c36-0f8f2f2a7f11",
	Limit: 64, InFlight: 51, Running: 48, Waiting: 3, Open: true, Warm: true, Credits: 2,
	Version: 1_000_000, AgentTime: 36 * time.Hour,
}

// measureLoadReports measures the cost of load reports over links with both ends in
// this process. Each round starts after the reports of the previous round have been
// received, so that each report is a separate message, as in the daemons.
func measureLoadReports(ctx context.Context) (measure.Result, error) {
	set, err := newLinkSet(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer set.close()
	body, err := cbor.Marshal(&sampleReport)
	if err != nil {
		return measure.Result{}, err
	}
	sent, before := set.counters.BytesSent.Load(), cpuTime()
	for range reportRounds {
		if err := set.sendRound(ctx); err != nil {
			return measure.Result{}, err
		}
	}
	used := cpuTime() - before
	reports := float64(reportRounds * linkCount)
	bytesPerReport := float64(set.counters.BytesSent.Load()-sent) / reports
	return measure.Result{Figures: []measure.Figure{
		{Name: "CBOR body of a load report", Value: float64(len(body)), Unit: "B"},
		{Name: "frame bytes per load report, including heartbeats", Value: bytesPerReport, Unit: "B"},
		{Name: "CPU time per load report, both ends, loopback TCP", Value: microseconds(used) / reports, Unit: "µs"},
	}}, nil
}

// sendRound sends a report on each link and waits until all have been received.
func (s *linkSet) sendRound(ctx context.Context) error {
	for _, l := range s.links {
		if err := l.Send(stream.MessageLoad, &sampleReport); err != nil {
			return err
		}
	}
	for range s.links {
		select {
		case <-s.receiver.received:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// idleDuration is how long idle links are observed.
const idleDuration = 4 * time.Second

// measureIdleLinks measures the cost of links that carry only heartbeats.
func measureIdleLinks(ctx context.Context) (measure.Result, error) {
	set, err := newLinkSet(ctx)
	if err != nil {
		return measure.Result{}, err
	}
	defer set.close()
	sent, before := set.counters.BytesSent.Load(), cpuTime()
	select {
	case <-time.After(idleDuration):
	case <-ctx.Done():
		return measure.Result{}, ctx.Err()
	}
	linkSeconds := linkCount * idleDuration.Seconds()
	return measure.Result{Figures: []measure.Figure{
		{Name: "CPU time per idle link, both ends, loopback TCP", Value: microseconds(cpuTime()-before) / linkSeconds, Unit: "µs/s"},
		{Name: "frame bytes sent per end of an idle link", Value: float64(set.counters.BytesSent.Load()-sent) / linkSeconds, Unit: "B/s"},
	}}, nil
}
