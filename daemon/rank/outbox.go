package rank

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/version/rebalance"
)

// directiveInterval returns the time between two directives. While a map is being
// copied it is at least mapRepeatDelay, so that ranks can finish the copy before the map
// is sent to them again.
func (a *Agent) directiveInterval() time.Duration {
	interval := roundCount(a.engine.LastReport().Size) * minDirectiveInterval
	if a.planner.MapToCopy() != nil {
		interval = max(interval, mapRepeatDelay)
	}
	return interval
}

// mapRepeatDelay is the time after which the map is sent again to ranks that have not
// copied it.
const mapRepeatDelay = 300 * time.Millisecond

const (
	// linkShare is the share of the link's bandwidth that a planner's directives and maps
	// may use; datagrams beyond the bandwidth would be lost.
	linkShare = 0.7
	// bitsPerMegabit converts the bandwidth in the settings.
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
	// datagramOverhead is the size of the headers of a datagram in bytes.
	datagramOverhead = 42
	// minRelayedSize is the size of a group from which on directives are sent through
	// relays.
	minRelayedSize = 32
)

// outgoing is an encoded datagram that waits for its turn on the link.
type outgoing struct {
	to      netip.AddrPort
	message []byte
}

// queueDirectives queues a directive for the agents of the group's other ranks. newMap is
// set if the directive is the first one with its map.
//
// While the hosts of some ranks are not known, it reads the targets again and queues the
// directive for the agents on all of the service's hosts: the registrations do not tell
// which target belongs to which group, and only agents of this group answer.
func (a *Agent) queueDirectives(now time.Time, newMap bool) {
	a.outbox = a.outbox[:0]
	directive := a.planner.Directive()
	size := a.engine.LastReport().Size
	messages := a.encodeDirective(directive)
	if directive.KnownHosts() < size {
		a.readTargetsAgain(now)
		for _, address := range a.agentAddresses {
			a.enqueue(address, messages.directive)
		}
		return
	}
	if newMap && len(messages.delta) > 0 && size >= minRelayedSize {
		a.queueRelays(size, slices.Concat([][]byte{messages.directive}, messages.delta))
		return
	}
	for rank := range size {
		if host, known := directive.Host(rank); known {
			a.queueForRank(rank, netip.AddrPortFrom(host, a.port), messages)
		}
	}
}

// queueForRank queues the directive for one rank, with the map if the rank has not copied
// it: as a delta from the map in use if its agent knows that one, in full otherwise.
func (a *Agent) queueForRank(rank int, to netip.AddrPort, messages directiveMessages) {
	switch {
	case a.planner.Prepared(rank) || len(messages.fullMap) == 0:
		a.enqueue(to, messages.directive)
	case len(messages.delta) > 0 && a.planner.CanApplyDelta(rank):
		if !messages.deltaHasDirective {
			a.enqueue(to, messages.directive)
		}
		a.enqueue(to, messages.delta...)
	default:
		a.enqueue(to, messages.directive)
		a.enqueue(to, messages.fullMap...)
	}
}

// queueRelays queues datagrams for all ranks, each for one relay per block of consecutive
// ranks, which forwards them to the others of its block. Ranks whose relay fails get the
// map after mapRepeatDelay from the planner.
func (a *Agent) queueRelays(size int, messages [][]byte) {
	block := int(math.Ceil(math.Sqrt(float64(size))))
	for _, message := range messages {
		for first := 0; first < size; first += block {
			end := min(first+block, size)
			relay := a.relayOf(first, end)
			to, known := a.rankAddress(relay)
			if !known {
				continue
			}
			a.enqueue(to, a.encode(rebalance.Envelope{Relay: &rebalance.Relay{First: first, End: end, Datagram: message}}))
		}
	}
}

// relayOf returns the first rank of a block that is not the planner's.
func (a *Agent) relayOf(first, end int) int {
	if first == a.engine.LastReport().Rank && first+1 < end {
		return first + 1
	}
	return first
}

// ErrNestedRelay reports a relayed datagram that is to be relayed again.
var ErrNestedRelay = eris.New("relayed datagram is to be relayed again")

// handleRelay forwards a datagram of the planner to the other ranks of a block and
// processes it.
func (a *Agent) handleRelay(relay rebalance.Relay, from netip.AddrPort) {
	envelope, err := rebalance.Decode(relay.Datagram)
	if err == nil && envelope.Relay != nil {
		err = ErrNestedRelay
	}
	if err != nil {
		a.recordInvalid(err, from, a.clock.Now())
		return
	}
	a.handleDatagram(datagram{from, envelope})
	own := a.engine.LastReport()
	for rank := max(relay.First, 0); rank < min(relay.End, own.Size); rank++ {
		if to, known := a.rankAddress(rank); known && rank != own.Rank && to != from {
			a.write(to, relay.Datagram)
		}
	}
}

// enqueue queues datagrams for the agent at an address, unless it is this one.
func (a *Agent) enqueue(to netip.AddrPort, messages ...[]byte) {
	if to.Addr() == a.host {
		return
	}
	for _, message := range messages {
		a.outbox = append(a.outbox, outgoing{to, message})
	}
}

// sendOutbox sends as many queued datagrams as the link takes within one tick, at least
// one.
func (a *Agent) sendOutbox() {
	budget := int(linkShare * a.settings.Bandwidth * bitsPerMegabit / bitsPerByte * tickInterval.Seconds())
	sent := 0
	for sent < len(a.outbox) && (sent == 0 || budget > 0) {
		next := a.outbox[sent]
		a.write(next.to, next.message)
		budget -= len(next.message) + datagramOverhead
		sent++
	}
	a.outbox = append(a.outbox[:0], a.outbox[sent:]...)
}

// directiveMessages holds the encoded messages of a directive, shared by all agents that
// they are sent to.
type directiveMessages struct {
	// directive is sent to agents that need no map, and ahead of fullMap, the parts of
	// the map being copied.
	directive []byte
	fullMap   [][]byte
	// delta is the map as a delta from the one in use; empty if there is none.
	// deltaHasDirective is set if it contains the directive too.
	delta             [][]byte
	deltaHasDirective bool
}

func (a *Agent) encodeDirective(directive rebalance.Directive) directiveMessages {
	messages := directiveMessages{directive: a.encode(rebalance.Envelope{Directive: &directive})}
	next := a.planner.MapToCopy()
	if next == nil {
		return messages
	}
	for _, part := range next.Parts() {
		messages.fullMap = append(messages.fullMap, a.encode(rebalance.Envelope{Part: &part}))
	}
	parts := a.planner.Delta()
	if len(parts) == 1 && parts[0].FitsWithDirective(&directive) {
		messages.delta = [][]byte{a.encode(rebalance.Envelope{Directive: &directive, Delta: &parts[0]})}
		messages.deltaHasDirective = true
		return messages
	}
	for _, part := range parts {
		messages.delta = append(messages.delta, a.encode(rebalance.Envelope{Delta: &part}))
	}
	return messages
}
