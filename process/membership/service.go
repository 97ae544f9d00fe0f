package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/platform"
)

// Transport carries messages between the processes' membership services.
type Transport interface {
	// Send queues a message; it must not block on the peer. It fails when the peer
	// refuses connections.
	Send(peer string, kind uint16, body any) error
}

// ServiceConfig configures a Service; every field but Logger and Metrics is required.
type ServiceConfig struct {
	// Self is the name of this host. Incarnation must increase with each start of its
	// process.
	Self        string
	Incarnation uint64
	Clock       clockwork.Clock
	Random      *rand.Rand
	Transport   Transport
	// Hosts returns the current list of hosts, from the live list and the settings.
	Hosts func() []platform.Host
	// Logger receives log entries; nil means logrus's standard logger.
	Logger *logrus.Logger
	// Metrics is where the service registers its metrics; nil for none.
	Metrics prometheus.Registerer
}

// Service runs a Prober. It is safe for concurrent use.
type Service struct {
	config ServiceConfig
	log    *logrus.Entry
	states *prometheus.GaugeVec

	// mu guards prober. No message is sent while it is held.
	mu     sync.Mutex
	prober *Prober
}

// NewService returns a service; Run starts it.
func NewService(config ServiceConfig) *Service {
	service := &Service{
		config: config,
		log:    logs.Component(logs.OrDefault(config.Logger), "membership"),
		prober: NewProber(config.Self, config.Incarnation, config.Random),
		states: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "verbenaseam", Subsystem: "membership", Name: "hosts", Help: "Hosts by state, as seen by this process.",
		}, []string{"state"}),
	}
	if config.Metrics != nil {
		config.Metrics.MustRegister(service.states)
	}
	return service
}

// Run runs the service until ctx is done; it always returns nil.
func (s *Service) Run(ctx context.Context) error {
	ticker := s.config.Clock.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		hosts := s.config.Hosts()
		s.step(func(now time.Time) []OutgoingMessage {
			s.prober.SetHosts(now, hosts)
			return s.prober.Tick(now)
		})
		s.updateMetrics()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// step passes one input to the prober under mu and sends the resulting messages after
// unlocking. A failed send is reported to the prober as a refused connection.
func (s *Service) step(input func(now time.Time) []OutgoingMessage) {
	s.mu.Lock()
	messages := input(s.config.Clock.Now())
	s.mu.Unlock()
	for _, message := range messages {
		if s.config.Transport.Send(message.Peer, message.Kind, message.Body) != nil {
			s.ConnectionRefused(message.Peer)
		}
	}
}

// ConnectionRefused records that a host refused or reset a connection. It sends nothing.
func (s *Service) ConnectionRefused(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prober.ConnectionRefused(s.config.Clock.Now(), peer)
}

// SetProgress sets whether this process makes progress with its own work.
func (s *Service) SetProgress(progress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prober.SetProgress(progress)
}

// State returns the state of a host; an unknown host is Dead.
func (s *Service) State(name string) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prober.State(name)
}

// Members returns all known hosts, sorted by name.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prober.Members()
}

func (s *Service) updateMetrics() {
	counts := map[State]int{}
	for _, member := range s.Members() {
		counts[member.State]++
	}
	for state, name := range stateNames {
		s.states.WithLabelValues(name).Set(float64(counts[State(state)]))
	}
}

// Receive handles an encoded message from a peer. A message that cannot be decoded is
// logged and dropped.
func (s *Service) Receive(peer string, kind uint16, body []byte) {
	message, err := DecodeMessage(kind, body)
	if err != nil {
		s.log.WithError(err).WithField("peer", peer).Warn("message cannot be decoded; dropped")
		return
	}
	s.step(func(now time.Time) []OutgoingMessage { return s.prober.Receive(now, peer, message) })
}

// MessageError means that a message could not be decoded.
type MessageError struct {
	Kind uint16
	// Cause is the error of the CBOR codec; nil for an unknown kind.
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("unknown kind %d of membership message", e.Kind)
	}
	return fmt.Sprintf("cannot decode membership message of kind %d: %s", e.Kind, e.Cause)
}

// Unwrap returns the underlying error.
func (e *MessageError) Unwrap() error { return e.Cause }

// DecodeMessage decodes a message of the given kind. It fails with MessageError.
func DecodeMessage(kind uint16, body []byte) (any, error) {
	switch kind {
	case KindPing:
		return decodeAs[Ping](kind, body)
	case KindAck:
		return decodeAs[Ack](kind, body)
	case KindPingRequest:
		return decodeAs[PingRequest](kind, body)
	case KindIndirectAck:
		return decodeAs[IndirectAck](kind, body)
	default:
		return nil, &MessageError{Kind: kind}
	}
}

func decodeAs[T any](kind uint16, body []byte) (any, error) {
	var message T
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, &MessageError{Kind: kind, Cause: err}
	}
	return message, nil
}
