package direct

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/release"
)

// Compact datagrams are for deployments with many entries, where heartbeats are most of the
// bytes between failure domains: 0.13 GB in 48 s with 70 entries. They lack what the receiver
// knows from its table of peers.

const (
	// compactVersion is the version of datagrams that adds compact ones.
	compactVersion = 2
	// fullInterval is the number of heartbeats of which one is sent in full, for peers that
	// have missed what the others lack.
	fullInterval = 10
	// storeRepeatSpan is how long after a change of it compact heartbeats carry what this entry
	// knows of the store: three heartbeats or more, of which some may be lost.
	storeRepeatSpan = time.Second
	// numbersInterval is the shortest time between two updates of the known targets' numbers.
	numbersInterval = 100 * time.Millisecond
)

// compactDatagram is an array, which releases before version 2 drop because they expect a map.
type compactDatagram struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	// Incarnation identifies the sender.
	Incarnation uint64
	// Content lacks the sender, its release and its capacity, what it knows of the store unless that has
	// changed, and has a packed load.
	Content datagram
}

var (
	errUnknownSender  = errors.New("compact datagram of an unknown entry")
	errUnknownVersion = errors.New("compact datagram of an unknown version")
)

// isCompact reports whether a datagram is a compact one: a CBOR array.
func isCompact(data []byte) bool { return len(data) > 0 && data[0]>>5 == 4 }

// compactor decides which heartbeats are compact, and encodes and decodes them. It is not safe
// for concurrent use, but decode may run concurrently with the other methods.
type compactor struct {
	peers *presence.PeerTable
	// targetIDs returns the known targets.
	targetIDs func() []string
	// sentBytes counts the bytes sent, by form.
	sentBytes *prometheus.CounterVec

	// allowed is set while all live entries speak compactVersion and are many.
	allowed bool
	// beats counts the heartbeats, for fullInterval.
	beats int
	// store is what the last datagram stated of the store, storeChangedAt when it changed.
	store          presence.StoreStatus
	storeChangedAt time.Time

	// numbers are those of the known targets, as of numbersAt. Only decode uses them.
	numbers   presence.TargetNumbers
	numbersAt time.Time
}

func newCompactor(peers *presence.PeerTable, targetIDs func() []string) *compactor {
	return &compactor{peers: peers, targetIDs: targetIDs, sentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_peer_sent_bytes_total", Help: "Bytes of datagrams sent to other entries, by form.",
	}, []string{"form"})}
}

// update derives whether heartbeats may be compact from the releases of the live entries.
func (c *compactor) update(census release.Census, live int) {
	common, ok := census.Common()
	c.allowed = ok && common >= compactVersion && live > maxPollingEntries
}

// next reports whether the next heartbeat is compact.
func (c *compactor) next() bool {
	c.beats++
	return c.allowed && c.beats%fullInterval != 0
}

// encode encodes a message as a compact datagram.
func (c *compactor) encode(message datagram, now time.Time) ([]byte, error) {
	if message.Store != c.store {
		c.store, c.storeChangedAt = message.Store, now
	}
	if now.Sub(c.storeChangedAt) > storeRepeatSpan {
		message.Store = presence.StoreStatus{}
	}
	incarnation := message.Peer.Incarnation
	message.PackedLoad, message.Load = presence.PackLoad(message.Load), nil
	message.Peer, message.Release, message.Capacity.Millicores = presence.Peer{}, release.Info{}, 0
	return cbor.Marshal(compactDatagram{Version: compactVersion, Incarnation: incarnation, Content: message})
}

// decode decodes a datagram of either form. A compact one is completed with what is known of
// its sender.
func (c *compactor) decode(data []byte, now time.Time) (datagram, error) {
	if !isCompact(data) {
		var received datagram
		err := cbor.Unmarshal(data, &received)
		return received, err
	}
	var compact compactDatagram
	if err := cbor.Unmarshal(data, &compact); err != nil {
		return datagram{}, err
	}
	if compact.Version != compactVersion {
		return datagram{}, errUnknownVersion
	}
	last, known := c.peers.FindIncarnation(compact.Incarnation)
	if !known {
		return datagram{}, errUnknownSender
	}
	received := compact.Content
	received.Peer, received.Release = last.Peer, last.Release
	if last.Release == (release.Info{}) {
		received.Release = release.Info{Min: presence.Versions.Min, Max: compactVersion}
	}
	if received.Store == (presence.StoreStatus{}) {
		received.Store = last.Store
	}
	received.Capacity.Millicores = last.Capacity.Millicores
	received.Load = c.unpack(received.PackedLoad, now)
	return received, nil
}

// unpack decodes a packed load. It looks for targets that have become known if there are some
// in it that are not.
func (c *compactor) unpack(packed []byte, now time.Time) map[string]int {
	load, complete := c.numbers.Unpack(packed)
	if complete || now.Sub(c.numbersAt) < numbersInterval {
		return load
	}
	c.numbers.Set(c.targetIDs())
	c.numbersAt = now
	load, _ = c.numbers.Unpack(packed)
	return load
}
