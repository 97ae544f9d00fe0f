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

// brokenConnectionProbeTimeout bounds the probe after a broken connection. The
// affected streams are failed only after this probe.
const brokenConnectionProbeTimeout = 500 * time.Millisecond

// prober probes the engine.
type prober interface {
	Probe(ctx context.Context) (engine.State, error)
}

// monitor probes the engine, passes the results to the gate, and reports the
// requests in flight when an engine incarnation ends.
type monitor struct {
	target    string
	engine    prober
	gate      *admit.Gate
	admission *admission
	inFlight  *inFlightTracker
	clock     clockwork.Clock
	interval  time.Duration
	log       *logrus.Entry
	// onCrash is called when an incarnation has ended or is suspected to have ended.
	onCrash func(stream.CrashReport)
	// onProbe is called after every successful probe.
	onProbe func(engine.State)
	trials  *trials
	// down is set if the last probe failed.
	down atomic.Bool

	// probeMu is held during a probe and guards lastBrokenConnectionProbe. It is
	// acquired before mu.
	probeMu sync.Mutex
	// lastBrokenConnectionProbe is when the last probe after a broken connection ended.
	lastBrokenConnectionProbe time.Time

	// mu guards the fields below. The locks of admission, gate and inFlight are
	// acquired while mu is held.
	mu          sync.Mutex
	incarnation string
	known       bool
	// hasAdoptedWork is set while the engine runs requests of an earlier agent
	// process.
	hasAdoptedWork bool
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
	m.probeMu.Lock()
	defer m.probeMu.Unlock()
	m.probeLocked(ctx)
}

// probeLocked probes the engine. The caller must hold probeMu.
func (m *monitor) probeLocked(ctx context.Context) {
	state, err := m.engine.Probe(ctx)
	if err != nil {
		m.gate.ObserveProbe(false, 0)
		m.log.WithError(err).Debug("engine probe failed")
		m.down.Store(true)
		m.reportSuspectedCrash()
		return
	}
	m.down.Store(false)
	m.observeState(state)
	m.gate.ObserveProbe(true, state.Latency)
	m.onProbe(state)
}

// reportSuspectedCrash reports the known incarnation as ended when requests have
// lost their connections to it and a probe has failed as well. If the engine
// recovers, the answers to these requests clear them of suspicion.
func (m *monitor) reportSuspectedCrash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known || !m.inFlight.hasBroken() {
		return
	}
	m.onCrash(m.crashReport(m.inFlight.fingerprints()))
}

// crashReport returns the crash report of the known incarnation. The caller must
// hold mu.
func (m *monitor) crashReport(fingerprints []uint64) stream.CrashReport {
	return stream.CrashReport{
		Target: m.target, EngineIncarnation: m.incarnation,
		Fingerprints: fingerprints, OnTrial: m.trials.current(),
	}
}

// observeState updates the known incarnation and the adopted work from a
// successful probe.
func (m *monitor) observeState(state engine.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.known:
		m.adoptEngine(state)
	case state.Incarnation != m.incarnation:
		m.handleEngineRestart(state.Incarnation)
	default:
		m.inFlight.clearBroken()
	}
	if m.hasAdoptedWork {
		remaining := max(state.InFlight-m.inFlight.count(), 0)
		m.admission.setAdopted(remaining)
		m.hasAdoptedWork = remaining > 0
	}
}

// observeIncarnation handles the incarnation named in an answer. A restart is
// thus detected before the next probe.
func (m *monitor) observeIncarnation(incarnation string) {
	if incarnation == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known && incarnation != m.incarnation {
		m.handleEngineRestart(incarnation)
	}
}

// handleBrokenConnection handles a broken connection to the engine. The gate
// drops to the cold limit, and the engine is probed at once, so that the end of
// an incarnation is reported before the entries see their streams fail. A call
// needs no probe of its own if that of another call ended after this call began.
func (m *monitor) handleBrokenConnection() {
	brokenAt := m.clock.Now()
	m.gate.ObserveProbe(false, 0)
	m.probeMu.Lock()
	defer m.probeMu.Unlock()
	if m.lastBrokenConnectionProbe.After(brokenAt) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), brokenConnectionProbeTimeout)
	defer cancel()
	m.probeLocked(ctx)
	m.lastBrokenConnectionProbe = m.clock.Now()
}

// current returns the last known engine incarnation, if any.
func (m *monitor) current() (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation, m.known
}

// adoptEngine records the first incarnation seen by this agent. Requests already
// in flight on it count against the gate until the engine no longer reports
// them. The caller must hold mu.
func (m *monitor) adoptEngine(state engine.State) {
	m.known = true
	m.incarnation = state.Incarnation
	m.admission.engineStarted(state.Incarnation)
	m.hasAdoptedWork = state.InFlight > 0
	m.log.WithField("incarnation", state.Incarnation).Info("engine found")
}

// handleEngineRestart switches to a new incarnation and reports the end of the
// previous one. The caller must hold mu.
func (m *monitor) handleEngineRestart(next string) {
	report := m.crashReport(m.inFlight.takeFingerprints())
	m.incarnation = next
	m.hasAdoptedWork = false
	m.admission.engineStarted(next)
	m.log.WithField("incarnation", next).Warn("engine restarted")
	m.onCrash(report)
}
