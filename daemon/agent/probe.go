package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/stream"
)

// brokenProbeTimeout bounds the probe after a broken connection, while streams
// wait to be failed.
const brokenProbeTimeout = 500 * time.Millisecond

// prober is what the monitor uses of the engine's client.
type prober interface {
	Probe(ctx context.Context) (engine.State, error)
}

// monitor probes the engine, tells the gate what it learns, and reports the
// requests in flight when an incarnation ends.
type monitor struct {
	target    string
	engine    prober
	gate      *admit.Gate
	admission *admission
	flight    *flight
	clock     clockwork.Clock
	interval  time.Duration
	log       *logrus.Entry
	// crashed is told of every end of an incarnation.
	crashed func(stream.CrashReport)
	// observed is told of every probe that answered.
	observed func(engine.State)
	trials   *trials
	// down tells that the last probe got no answer.
	down atomic.Bool

	// probing is held over a probe, before mu, and guards lastProbe.
	probing   sync.Mutex
	lastProbe time.Time

	// mu guards the fields below; the locks of the admission, the gate and the
	// flight are taken under it.
	mu          sync.Mutex
	incarnation string
	known       bool
	// foreign tells that the engine holds work of an earlier agent.
	foreign bool
}

func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.probe(ctx)
		select {
		case <-m.clock.After(m.interval):
		case <-ctx.Done():
		}
	}
}

func (m *monitor) probe(ctx context.Context) {
	m.probing.Lock()
	defer m.probing.Unlock()
	m.probeLocked(ctx)
}

// probeLocked runs under probing.
func (m *monitor) probeLocked(ctx context.Context) {
	state, err := m.engine.Probe(ctx)
	if err != nil {
		m.gate.ObserveProbe(false, 0)
		m.log.WithError(err).Debug("probe failed")
		m.down.Store(true)
		m.suspectEnd()
		return
	}
	m.down.Store(false)
	m.learn(state)
	m.gate.ObserveProbe(true, state.Latency)
	m.observed(state)
}

// suspectEnd reports the known incarnation as ended when requests have lost
// their connections to it and it does not answer a probe either. Should it come
// back, its requests are cleared by their answers.
func (m *monitor) suspectEnd() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known || !m.flight.hasBroken() {
		return
	}
	m.crashed(m.reportOf(m.flight.inFlight()))
}

// reportOf describes the end of the known incarnation. The caller holds mu.
func (m *monitor) reportOf(fingerprints []uint64) stream.CrashReport {
	return stream.CrashReport{
		Target: m.target, EngineIncarnation: m.incarnation,
		Fingerprints: fingerprints, OnTrial: m.trials.current(),
	}
}

func (m *monitor) learn(state engine.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.known:
		m.adopt(state)
	case state.Incarnation != m.incarnation:
		m.engineEnded(state.Incarnation)
	default:
		m.flight.engineLives()
	}
	if m.foreign {
		left := max(state.InFlight-m.flight.count(), 0)
		m.admission.setAdopted(left)
		m.foreign = left > 0
	}
}

// answered is told which incarnation gave an answer; a new one is taken over
// before the next probe.
func (m *monitor) answered(incarnation string) {
	if incarnation == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known && incarnation != m.incarnation {
		m.engineEnded(incarnation)
	}
}

// broke is told that a connection to the engine broke. The gate falls to the
// cold limit, and the engine is probed at once, so that the end of an
// incarnation is reported before the entries see their streams fail.
func (m *monitor) broke() {
	at := m.clock.Now()
	m.gate.ObserveProbe(false, 0)
	m.probing.Lock()
	defer m.probing.Unlock()
	if m.lastProbe.After(at) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), brokenProbeTimeout)
	defer cancel()
	m.probeLocked(ctx)
	m.lastProbe = m.clock.Now()
}

// current returns the engine incarnation the monitor knows.
func (m *monitor) current() (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation, m.known
}

// adopt takes over an engine that may have run before this agent: its work in
// flight counts against the gate until the engine reports it gone. The caller
// holds mu.
func (m *monitor) adopt(state engine.State) {
	m.known = true
	m.incarnation = state.Incarnation
	m.admission.engineStarted(state.Incarnation)
	m.foreign = state.InFlight > 0
	m.log.WithField("incarnation", state.Incarnation).Info("engine found")
}

// engineEnded takes over a new incarnation. The caller holds mu.
func (m *monitor) engineEnded(next string) {
	report := m.reportOf(m.flight.engineEnded())
	m.incarnation = next
	m.foreign = false
	m.admission.engineStarted(next)
	m.log.WithField("incarnation", next).Warn("engine restarted")
	m.crashed(report)
}
