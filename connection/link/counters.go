package link

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Counters holds the counters of all links of a process. It is a
// prometheus.Collector.
type Counters struct {
	// FramesSent, FramesReceived, BytesSent and BytesReceived count the frames of open
	// links; MessagesSent counts WebSocket messages, each a batch of frames.
	FramesSent, FramesReceived, MessagesSent atomic.Uint64
	BytesSent, BytesReceived                 atomic.Uint64
	// LateFrames counts frames dropped because they matched no live stream or
	// outstanding ping.
	LateFrames atomic.Uint64
	// DuplicateFrames counts frames dropped because they repeat an earlier frame or
	// follow the terminal frame, and open frames that the peer cannot have sent as the
	// opener.
	DuplicateFrames atomic.Uint64
	// BrokenStreams counts streams that failed because of a missing frame, a wrong
	// byte count or checksum, a misplaced head or a flow-control violation.
	BrokenStreams atomic.Uint64
	// DroppedMessages counts one-way messages dropped because the send queue was
	// full.
	DroppedMessages atomic.Uint64
	// RefusedStreams counts streams refused because too many were open.
	RefusedStreams atomic.Uint64
	// LinksOpened counts the links that were opened, LinksLost those that ended,
	// including those that this side closed.
	LinksOpened, LinksLost atomic.Uint64
}

func NewCounters() *Counters { return &Counters{} }

type counterMetric struct {
	description *prometheus.Desc
	read        func(*Counters) *atomic.Uint64
}

func newCounterMetric(name, help string, read func(*Counters) *atomic.Uint64) counterMetric {
	description := prometheus.NewDesc("verbenaseam_link_"+name+"_total", help, nil, nil)
	return counterMetric{description: description, read: read}
}

var counterMetrics = []counterMetric{
	newCounterMetric("frames_sent", "Frames sent.", func(c *Counters) *atomic.Uint64 { return &c.FramesSent }),
	newCounterMetric("frames_received", "Frames received.", func(c *Counters) *atomic.Uint64 { return &c.FramesReceived }),
	newCounterMetric("messages_sent", "WebSocket messages sent.", func(c *Counters) *atomic.Uint64 { return &c.MessagesSent }),
	newCounterMetric("bytes_sent", "Bytes of frames sent.", func(c *Counters) *atomic.Uint64 { return &c.BytesSent }),
	newCounterMetric("bytes_received", "Bytes of frames received.", func(c *Counters) *atomic.Uint64 { return &c.BytesReceived }),
	newCounterMetric("late_frames", "Frames dropped because they matched no live stream or outstanding ping.", func(c *Counters) *atomic.Uint64 { return &c.LateFrames }),
	newCounterMetric("duplicate_frames", "Frames dropped as duplicates.", func(c *Counters) *atomic.Uint64 { return &c.DuplicateFrames }),
	newCounterMetric("broken_streams", "Streams that failed because of missing or invalid frames.", func(c *Counters) *atomic.Uint64 { return &c.BrokenStreams }),
	newCounterMetric("dropped_messages", "One-way messages dropped because the send queue was full.", func(c *Counters) *atomic.Uint64 { return &c.DroppedMessages }),
	newCounterMetric("refused_streams", "Streams refused because too many were open.", func(c *Counters) *atomic.Uint64 { return &c.RefusedStreams }),
	newCounterMetric("opened", "Links opened.", func(c *Counters) *atomic.Uint64 { return &c.LinksOpened }),
	newCounterMetric("lost", "Links ended.", func(c *Counters) *atomic.Uint64 { return &c.LinksLost }),
}

// Describe implements prometheus.Collector.
func (c *Counters) Describe(out chan<- *prometheus.Desc) {
	for _, metric := range counterMetrics {
		out <- metric.description
	}
}

// Collect implements prometheus.Collector.
func (c *Counters) Collect(out chan<- prometheus.Metric) {
	for _, metric := range counterMetrics {
		value := float64(metric.read(c).Load())
		out <- prometheus.MustNewConstMetric(metric.description, prometheus.CounterValue, value)
	}
}
