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
	// tellSlowEvery is the time between two datagrams to the entries while the target
	// is slow, tellUsual how often they are told once it is not.
	tellSlowEvery = 500 * time.Millisecond
	tellUsual     = 3
	// entriesEvery is the time between two reads of who the entries are.
	entriesEvery = 5 * time.Second
)

// slowness is what the agent has told the entries of its target's pace.
type slowness struct {
	entries []netip.AddrPort
	// asked is when the entries were last read, told when they were last told.
	asked, told time.Time
	// left is how often they are yet to be told.
	left int
	// found brings the entries.
	found chan []netip.AddrPort
}

// tellEntries tells the entries of a slow target, so that they send it fewer
// requests, and of one that is slow no more.
func (a *Agent) tellEntries(ctx context.Context, now time.Time) {
	s := &a.slowness
	if a.pace >= presence.SlowdownThreshold {
		s.left = tellUsual
	}
	if s.left == 0 || now.Sub(s.told) < tellSlowEvery {
		return
	}
	select {
	case s.entries = <-s.found:
	default:
	}
	if now.Sub(s.asked) >= entriesEvery {
		s.asked = now
		go a.readEntries(ctx)
	}
	if len(s.entries) == 0 {
		return
	}
	s.told = now
	if a.pace < presence.SlowdownThreshold {
		s.left--
	}
	message, err := cbor.Marshal(presence.Datagram{SlowdownReport: &presence.SlowdownReport{Address: a.settings.TargetAddress, Slowdown: a.pace}})
	if err != nil {
		a.log.WithError(err).Error("message cannot be encoded")
		return
	}
	for _, entry := range s.entries {
		a.write(entry, message)
	}
}

// readEntries reads from the store where the entries take datagrams.
func (a *Agent) readEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := a.store.Read(ctx, platform.TableEntries)
	if err != nil {
		a.log.WithError(err).Warn("entries not read")
		return
	}
	var entries []netip.AddrPort
	for _, row := range rows {
		peer, err := platform.DecodePeer(row)
		if err != nil {
			a.log.WithError(err).WithField("row", row.Key).Debug("registration cannot be read")
			continue
		}
		if address, err := netip.ParseAddrPort(peer.PeerAddress); err == nil {
			entries = append(entries, address)
		}
	}
	select {
	case a.slowness.found <- entries:
	case <-ctx.Done():
	}
}
