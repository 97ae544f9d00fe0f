package rank

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
)

const (
	// targetReportInterval is the time between two reports to the entries while the
	// target is slow or leaves, recoveryReports the number of reports sent after that.
	targetReportInterval = 500 * time.Millisecond
	recoveryReports      = 3
	// entriesReadInterval is the shortest time between two reads of the entries'
	// addresses from the store.
	entriesReadInterval = 5 * time.Second
)

// targetReporter is the state of the reports on the target to the entries.
type targetReporter struct {
	entries []netip.AddrPort
	// entriesReadAt is when the last read of the entries started, sentAt when the last
	// report was sent.
	entriesReadAt, sentAt time.Time
	// remaining is the number of reports still to be sent once there is nothing to report.
	remaining int
	// entryReads receives the results of readEntries.
	entryReads chan []netip.AddrPort
}

// notifyEntries notifies the entries of a slow or leaving target, so that they send it fewer
// requests or none, and of its recovery.
func (a *Agent) notifyEntries(ctx context.Context, now time.Time) {
	s := &a.targetReporter
	select {
	case s.entries = <-s.entryReads:
	default:
	}
	noteworthy := a.slowdown >= presence.SlowdownThreshold || a.targetLeaving
	if noteworthy {
		s.remaining = recoveryReports
	}
	// The addresses must be known before there is anything to report, since the store may
	// be away by then. Entries that start together with the agent have not registered yet.
	if s.entriesReadAt.IsZero() && !noteworthy {
		s.entriesReadAt = now
	}
	if (len(s.entries) == 0 || s.remaining > 0) && now.Sub(s.entriesReadAt) >= entriesReadInterval {
		s.entriesReadAt = now
		go a.readEntries(ctx)
	}
	if s.remaining == 0 || len(s.entries) == 0 || now.Sub(s.sentAt) < targetReportInterval {
		return
	}
	s.sentAt = now
	if !noteworthy {
		s.remaining--
	}
	a.sendTargetReport()
}

func (a *Agent) sendTargetReport() {
	report := presence.TargetReport{Address: a.settings.TargetAddress, Slowdown: a.slowdown}
	if a.targetLeaving {
		report.Leaving, report.StartedAtMillis = true, a.targetStartedAt.UnixMilli()
	}
	message, err := cbor.Marshal(presence.Datagram{TargetReport: &report})
	if err != nil {
		a.log.WithError(err).Error("message cannot be encoded")
		return
	}
	for _, entry := range a.targetReporter.entries {
		a.write(entry, message)
	}
}

// readEntries reads the UDP addresses of the entries from the store.
func (a *Agent) readEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := a.store.Read(ctx, platform.TableEntries)
	if err != nil {
		a.log.WithError(err).Warn("reading the entries failed")
		return
	}
	var entries []netip.AddrPort
	for _, row := range rows {
		peer, err := platform.DecodePeer(row)
		if err != nil {
			a.log.WithError(err).WithField("row", row.Key).Debug("registration of an entry cannot be decoded")
			continue
		}
		if address, err := netip.ParseAddrPort(peer.PeerAddress); err == nil {
			entries = append(entries, address)
		}
	}
	select {
	case a.targetReporter.entryReads <- entries:
	case <-ctx.Done():
	}
}
