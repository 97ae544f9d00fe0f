package forward

import (
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
)

// trialRetryAfter is the Retry-After of a suspected request that this entry may not run
// on trial. By then another entry may have found out whether it crashes targets.
const trialRetryAfter = 2 * time.Second

// refuseSuspect returns the failure of a call that must not run now according to the
// crash evidence, or nil if it may.
func (h *Handler) refuseSuspect(c *call) *failure.Error {
	assessment, trial := h.poison.AssessRequest(c.subject)
	if refusal := assessment.Failure(h.clock.Now()); refusal != nil {
		return refusal
	}
	if assessment.Level == poison.OnTrial && !h.crashes.MayTry(trial, h.trialRank(trial)) {
		return newTrialRefusal()
	}
	return nil
}

// refuseBeforeAttempt returns the failure of a call that must not be sent to a target now, or nil.
// A suspect that may run is on trial from then on.
func (h *Handler) refuseBeforeAttempt(c *call) *failure.Error {
	// The call may have waited for its target.
	refusal := h.refuseUnfinishable(c)
	if refusal == nil {
		refusal = h.refuseSuspect(c)
	}
	if refusal == nil {
		refusal = h.beginTrial(c)
	}
	if refusal != nil {
		refusal.Outcome = c.attempts.Outcome()
	}
	return refusal
}

// beginTrial puts a suspect on trial. It returns the failure of one that may not be tried now.
func (h *Handler) beginTrial(c *call) *failure.Error {
	_, trial := h.poison.AssessRequest(c.subject)
	if trial == 0 {
		return nil
	}
	if !h.crashes.BeginTrial(trial, h.trialRank(trial)) {
		return newTrialRefusal()
	}
	c.trial = trial
	return nil
}

func newTrialRefusal() *failure.Error {
	return failure.New(failure.Overloaded, failure.NotRun, "the request is suspected of crashing targets and on trial elsewhere").
		WithRetryAfter(trialRetryAfter)
}
