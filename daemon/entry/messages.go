package entry

import (
	"context"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/stream"
)

// linkHandler handles the messages that other processes send to an entry.
type linkHandler struct {
	entry *Entry
}

// ServeStream implements link.Handler. It cancels the stream, because no process opens
// streams to an entry.
func (h *linkHandler) ServeStream(_ context.Context, _ *link.Link, s *link.Stream) {
	s.Cancel("an entry takes no streams")
}

// ServeMessage implements link.Handler.
func (h *linkHandler) ServeMessage(_ context.Context, l *link.Link, kind uint16, body []byte) {
	switch kind {
	case stream.MessageLoad:
		var report stream.LoadReport
		if h.decode(l, body, &report) && report.Target == l.Peer().Name {
			h.entry.targets.RecordReport(l.Peer().Incarnation, report)
		}
	case stream.MessageCrash:
		var report stream.CrashReport
		if h.decode(l, body, &report) && report.Target == l.Peer().Name {
			h.entry.recordCrash(report)
		}
	case stream.MessageEvidence:
		var evidence poison.Evidence
		if h.decode(l, body, &evidence) {
			h.entry.mergeEvidence(evidence)
		}
	case stream.MessageFailures:
		var failures []health.Failure
		if h.decode(l, body, &failures) {
			h.entry.recordFailures(failures)
		}
	case stream.MessageDemand:
		var report admit.DemandReport
		if h.decode(l, body, &report) && report.Entry == l.Peer().Name {
			h.entry.quotas.Merge(report)
		}
	case messageAnnouncement:
		var announced announcement
		if h.decode(l, body, &announced) && announced.Name == l.Peer().Name {
			h.entry.peerEntries.record(announced)
		}
	default:
		if h.entry.groups.receive(l.Peer(), kind, body) {
			return
		}
		h.entry.log.WithField("kind", kind).Debug("message of unknown kind dropped")
	}
}

func (h *linkHandler) decode(l *link.Link, body []byte, into any) bool {
	if err := link.Unmarshal(body, into); err != nil {
		h.entry.log.WithField("peer", l.Peer().Name).WithError(err).Warn("message cannot be decoded; dropped")
		return false
	}
	return true
}
