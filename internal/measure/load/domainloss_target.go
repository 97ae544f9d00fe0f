package load

import (
	"errors"
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/admit"
)

// lossTarget is an engine in a failure domain, behind the gate of the product.
type lossTarget struct {
	sim    *lossSim
	name   string
	domain int
	pool   int
	gate   *admit.Gate
	engine *engine
}

// newLossTarget returns a target whose engine is cold and in its first incarnation.
func newLossTarget(s *lossSim, index, pool, domain int) *lossTarget {
	t := &lossTarget{sim: s, name: targetName(index), domain: domain, pool: pool}
	t.engine = newEngine(s.loop, coldEngine(lossSlotsPerCompletion))
	t.engine.onStart = func(incarnation int) { t.startGate(incarnation) }
	t.startGate(t.engine.incarnation)
	return t
}

// startGate replaces the gate, as a restarted agent does. The new gate knows only the
// engine's incarnation.
func (t *lossTarget) startGate(incarnation int) {
	t.gate = admit.NewGate(admit.GateConfig{ColdLimit: coldLimit, Maximum: gateMaximum, Clock: t.sim.loop.clock})
	t.gate.EngineStarted(strconv.Itoa(incarnation))
}

// receive passes a request through the gate to the engine. A target that is down does
// not reply.
func (t *lossTarget) receive(r *lossRequest, a *lossAttempt) {
	if !t.engine.up {
		return
	}
	ticket, err := t.gate.AdmitSized(r.promptTokens)
	if err != nil {
		found := failure.From(err)
		t.sendToEntry(a, func() { a.entry.handleRefusal(r, a, found.RetryAfter) })
		return
	}
	a.ticket = ticket
	r.runs++
	started := t.sim.loop.now
	a.request = &engineRequest{promptTokens: r.promptTokens, outputTokens: r.outputTokens}
	a.request.firstToken = func(int) {
		ticket.FirstToken(t.sim.loop.now - started)
		t.sendToEntry(a, func() { a.entry.recordFirstToken(r, a) })
	}
	a.request.done = func(ok bool) { t.finish(r, a, ok) }
	t.engine.receive(a.request)
}

// finish ends a request at the target. If the engine failed, no reply is sent,
// because its agent fails with it.
func (t *lossTarget) finish(r *lossRequest, a *lossAttempt, ok bool) {
	a.ticket.Done(admit.Result{OK: ok, Tokens: r.outputTokens, PromptTokens: r.promptTokens})
	if !ok {
		return
	}
	r.finished++
	credits := t.gate.Credits(lossEntries)
	t.sendToEntry(a, func() { a.entry.completeAttempt(r, a, credits) })
}

// cancel cancels a request whose entry is lost.
func (t *lossTarget) cancel(a *lossAttempt) {
	if a.request == nil || a.request.ended {
		return
	}
	t.engine.cancel(a.request)
	a.ticket.Done(admit.Result{Cancelled: true})
}

// sendToEntry delivers a reply to the attempt's entry after the network delay. The
// reply is dropped if the entry is down or the attempt has ended by then.
func (t *lossTarget) sendToEntry(a *lossAttempt, f func()) {
	t.sim.loop.after(t.sim.delay(t.domain, a.entry.domain), func() {
		if a.entry.up && !a.finished {
			f()
		}
	})
}

// lossAttempt is one attempt to run a request at a target.
type lossAttempt struct {
	entry   *lossEntry
	target  *lossTarget
	request *engineRequest
	ticket  *admit.Ticket
	// finished is set when the entry has ended the attempt.
	finished bool
	// onFirstToken and onEnd update the picker's state of the target.
	onFirstToken func()
	onEnd        func(ok bool)
}

// isOverloaded reports whether an error is a typed refusal because of overload.
func isOverloaded(err error) bool {
	var found *failure.Error
	return errors.As(err, &found) && found.Kind == failure.Overloaded && found.Outcome == failure.NotRun
}

// lossRequest is one request of a caller.
type lossRequest struct {
	number                     int
	organisation               int
	class                      int
	pool                       int
	promptTokens, outputTokens int
	// order marks a request that must not run twice.
	order   bool
	arrived time.Duration
	entries []int
	// failovers counts the entries that the request was sent to after the first one.
	failovers int
	// attempt is the current attempt, or nil.
	attempt *lossAttempt
	waiter  *admit.Waiter
	tried   []*lossTarget
	// runs counts the starts at engines, and finished the completed runs.
	runs, finished int
	// firstToken is the time from arrival to the first token, and ended the time at
	// which the caller got the outcome.
	firstToken, ended time.Duration
	outcome           lossOutcome
}

// lossOutcome is the outcome of a request for its caller.
type lossOutcome int

const (
	lossPending lossOutcome = iota
	lossAnswered
	lossShed
	lossUnknown
)
