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
	// slowdownReportInterval is the time between two reports to the entries while the
	// target is slow, recoveryReports the number of reports sent after it has recovered.
	slowdownReportInterval = 500 * time.Millisecond
	recoveryReports        = 3
	// entriesReadInterval is the shortest time between two reads of the entries'
	// addresses from the store.
	entriesReadInterval = 5 * time.Second
)

// slowdownReporter is the state of the reports of the target's slowdown to the entries.
type slowdownReporter struct {
	entries []netip.AddrPort
	// entriesReadAt is when the last read of the entries started, sentAt when the last
	// report was sent.
	entriesReadAt, sentAt time.Time
	// remaining is the number of reports still to be sent once the target has recovered.
	remaining int
	// entryReads receives the results of readEntries.
	entryReads chan []netip.AddrPort
}

// notifyEntries notifies the entries of a slow target, so that they send it fewer
// requests, and of its recovery.
func (a *Agent) notifyEntries(ctx context.Context, now time.Time) {
	s := &a.slowdownReporter
	if a.slowdown >= presence.SlowdownThreshold {
		s.remaining = recoveryReports
	}
	if s.remaining == 0 || now.Sub(s.sentAt) < slowdownReportInterval {
		return
	}
	select {
	case s.entries = <-s.entryReads:
	default:
	}
	if now.Sub(s.entriesReadAt) >= entriesReadInterval {
		s.entriesReadAt = now
		go a.readEntries(ctx)
	}
	if len(s.entries) == 0 {
		return
	}
	s.sentAt = now
	if a.slowdown < presence.SlowdownThreshold {
		s.remaining--
	}
	message, err := cbor.Marshal(presence.Datagram{SlowdownReport: &presence.SlowdownReport{Address: a.settings.TargetAddress, Slowdown: a.slowdown}})
	if err != nil {
		a.log.WithError(err).Error("message cannot be encoded")
		return
	}
	for _, entry := range s.entries {
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
	case a.slowdownReporter.entryReads <- entries:
	case <-ctx.Done():
	}
}
