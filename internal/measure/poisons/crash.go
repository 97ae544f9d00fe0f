package poisons

import (
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
)

// crashEngine crashes the engine of an agent with all requests in flight, and sends the
// crash report to all entries.
func (s *simulation) crashEngine(a *agent) {
	if !a.up {
		return
	}
	report := poison.Crash{
		Target:      a.name,
		Incarnation: strconv.Itoa(a.incarnation),
		OnTrial:     a.trials.Current(),
		At:          s.virtualTime(),
	}
	lost := s.takeRunning(a)
	for _, r := range lost {
		report.Fingerprints = append(report.Fingerprints, r.fingerprint)
	}
	a.up = false
	a.incarnation++
	a.trials.End()
	a.ledger.Add(report, s.virtualTime())
	s.schedule(restartTime, func() { a.up = true })
	for _, e := range s.entries {
		s.schedule(s.randomDelay(s.delays.report), func() { s.receiveCrash(e, report) })
	}
	for _, r := range lost {
		s.schedule(networkDelay, func() { s.failAttempt(r, report) })
	}
}

// takeRunning removes and returns the requests in flight at an agent, in the order in
// which they were sent.
func (s *simulation) takeRunning(a *agent) []*request {
	lost := make([]*request, 0, len(a.running))
	for r := range a.running {
		lost = append(lost, r)
	}
	clear(a.running)
	sortRequests(lost)
	return lost
}

// receiveCrash records a crash report at an entry, which gossips if the report is new.
func (s *simulation) receiveCrash(e *entry, report poison.Crash) {
	if !e.ledger.Add(report, s.virtualTime()) {
		return
	}
	s.gossip(e)
}

// gossip sends the evidence of an entry to all entries and agents with random delays.
func (s *simulation) gossip(e *entry) {
	for _, other := range s.entries {
		s.gossipTo(e, other.ledger)
	}
	for _, a := range s.agents {
		s.gossipTo(e, a.ledger)
	}
}

func (s *simulation) gossipTo(e *entry, ledger *poison.Ledger) {
	s.schedule(s.randomDelay(s.delays.gossip), func() {
		evidence := e.ledger.Evidence(s.virtualTime())
		s.schedule(s.randomDelay(maxGossipTransit), func() { ledger.Merge(evidence, s.virtualTime()) })
	})
}

// failAttempt handles the failure of an attempt whose engine crashed. The entry receives
// the agent's crash report first, because both use the same link.
func (s *simulation) failAttempt(r *request, report poison.Crash) {
	s.receiveCrash(r.entry, report)
	if r.attempts < maxAttempts {
		s.dispatch(r)
		return
	}
	r.done(failure.New(failure.EngineFailed, failure.Unknown, "the engine ended"))
}

const (
	maxAttempts = 2
	// maxGossipTransit is the maximum time that evidence is in transit.
	maxGossipTransit = 20 * time.Millisecond
)
