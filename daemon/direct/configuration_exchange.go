package direct

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
)

// An entry that starts after the store was restored from an older copy reads a configuration that is
// older than the one in force at its peers, and the store no longer holds the later one. It is not ready
// until one of them has sent it that one.

const (
	// behindDelay is how long a peer must state a later configuration, which the store does not hold, until
	// an entry asks for it: it may be about to apply the same change itself.
	behindDelay = 300 * time.Millisecond
	// behindTTL is how long after the latest such statement an entry takes itself to be behind. It is
	// longer than several heartbeats.
	behindTTL = 2 * time.Second
	// askInterval is the time between two requests for a configuration: datagrams may be lost.
	askInterval = 500 * time.Millisecond
	// maxPartBytes bounds the data of one datagram, maxConfigurationParts the datagrams of a configuration,
	// maxConfigurationBytes its size.
	maxPartBytes          = 4 << 10
	maxConfigurationParts = 512
	maxConfigurationBytes = 16 << 20
)

// configurationRequest asks a peer for the configuration that it has in force.
type configurationRequest struct {
	// Number is that of the earliest configuration that is of use.
	Number uint64 `cbor:"1,keyasint"`
}

// configurationPart is a part of a compressed configuration.
type configurationPart struct {
	// Number is that of the configuration, Index the place of this part among Count parts.
	Number uint64 `cbor:"1,keyasint"`
	Index  int    `cbor:"2,keyasint"`
	Count  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// valid reports whether the part is one of a configuration that is not too large.
func (p *configurationPart) valid() bool {
	return p.Count > 0 && p.Count <= maxConfigurationParts && p.Index >= 0 && p.Index < p.Count && len(p.Data) <= maxPartBytes
}

// configurationExchange gets the configuration in force from peers if the store does not hold it any
// more, and sends it to them. It is safe for concurrent use.
type configurationExchange struct {
	// number returns the number of the configuration in force, 0 before the first one.
	number func() uint64
	// holds reports whether this entry knows the operators' table up to a version.
	holds func(platform.Version) bool
	log   *logrus.Entry

	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// wanted is the latest number that a peer has stated which the store does not hold; since and heardAt
	// are when the first and the latest statement came, askedAt when this entry last asked.
	wanted                  uint64
	since, heardAt, askedAt time.Time
	// receiving is the number of the configuration of which parts have arrived. Missing parts are nil.
	receiving uint64
	parts     [][]byte
}

func newConfigurationExchange(number func() uint64, holds func(platform.Version) bool, log *logrus.Entry) *configurationExchange {
	return &configurationExchange{number: number, holds: holds, log: log}
}

// heard processes what a peer states. It returns the number of the configuration to ask that peer for, 0
// for none.
func (x *configurationExchange) heard(status presence.StoreStatus, now time.Time) uint64 {
	known := platform.Version{Era: status.OperatorEra, Number: status.OperatorChange}
	if status.Configuration <= x.number() || !x.holds(known) {
		return 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Sub(x.heardAt) >= behindTTL {
		x.wanted, x.since = 0, now
	}
	x.wanted, x.heardAt = max(x.wanted, status.Configuration), now
	if now.Sub(x.since) < behindDelay || now.Sub(x.askedAt) < askInterval {
		return 0
	}
	x.askedAt = now
	x.log.WithField("configuration", status.Configuration).Warn("a peer has a later configuration in force than the store holds; asking for it")
	return status.Configuration
}

// isBehind reports whether a peer has a later configuration in force, which the store does not hold.
func (x *configurationExchange) isBehind(now time.Time) bool {
	own := x.number()
	x.mu.Lock()
	defer x.mu.Unlock()
	return own < x.wanted && now.Sub(x.heardAt) < behindTTL && now.Sub(x.since) >= behindDelay
}

// take takes over a part that a peer has sent. It returns the configuration once it is complete, nil before.
func (x *configurationExchange) take(part configurationPart) ([]byte, error) {
	if !part.valid() || part.Number <= x.number() {
		return nil, nil
	}
	compressed := x.assemble(part)
	if compressed == nil {
		return nil, nil
	}
	return decompressConfiguration(compressed)
}

// assemble adds a part and returns all of them together if none is missing.
func (x *configurationExchange) assemble(part configurationPart) []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.askedAt.IsZero() || part.Number < x.wanted {
		return nil
	}
	if part.Number != x.receiving || part.Count != len(x.parts) {
		x.receiving, x.parts = part.Number, make([][]byte, part.Count)
	}
	x.parts[part.Index] = append([]byte{}, part.Data...)
	if slices.ContainsFunc(x.parts, func(data []byte) bool { return data == nil }) {
		return nil
	}
	compressed := bytes.Join(x.parts, nil)
	x.receiving, x.parts = 0, nil
	return compressed
}

// errConfigurationTooLarge means that a configuration exceeds maxConfigurationBytes or, compressed,
// maxConfigurationParts.
var errConfigurationTooLarge = eris.New("the configuration is too large to be sent to a peer")

// splitConfiguration returns the parts of a configuration.
func splitConfiguration(number uint64, value []byte) ([]configurationPart, error) {
	compressed, err := compressConfiguration(value)
	if err != nil {
		return nil, err
	}
	chunks := slices.Collect(slices.Chunk(compressed, maxPartBytes))
	if len(chunks) > maxConfigurationParts || len(value) > maxConfigurationBytes {
		return nil, errConfigurationTooLarge
	}
	parts := make([]configurationPart, len(chunks))
	for i, chunk := range chunks {
		parts[i] = configurationPart{Number: number, Index: i, Count: len(chunks), Data: chunk}
	}
	return parts, nil
}

func compressConfiguration(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(value); err != nil {
		return nil, eris.Wrap(err, "compress the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the configuration")
	}
	return compressed.Bytes(), nil
}

func decompressConfiguration(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress the configuration")
	}
	value, err := io.ReadAll(io.LimitReader(r, maxConfigurationBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress the configuration")
	}
	if len(value) > maxConfigurationBytes {
		return nil, errConfigurationTooLarge
	}
	return value, nil
}

// sendConfiguration sends the configuration in force to a peer that has asked for it.
func (h *heartbeater) sendConfiguration(peer presence.Peer, request configurationRequest) {
	number, value := h.entry.operator.configuration()
	if number < request.Number {
		return
	}
	log := h.log.WithFields(logrus.Fields{"peer": peer.Name, "configuration": number})
	parts, err := splitConfiguration(number, value)
	if err != nil {
		log.WithError(err).Error("configuration not sent to a peer that lacks it")
		return
	}
	log.WithField("parts", len(parts)).Info("configuration sent to a peer that lacks it")
	for i := range parts {
		h.sendMessage(peer.PeerAddress, datagram{ConfigurationPart: &parts[i]})
	}
}

// takeConfiguration takes over a part of a configuration that a peer has sent.
func (h *heartbeater) takeConfiguration(peer presence.Peer, part configurationPart) {
	value, err := h.entry.configurations.take(part)
	if err != nil {
		h.log.WithError(err).WithField("peer", peer.Name).Warn("configuration of a peer dropped")
		return
	}
	if value != nil {
		h.entry.operator.adopt(value, peer.Name)
	}
}
