package poison

import (
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// Level is how restricted a request is.
type Level uint8

// Levels, from the least to the most restrictive.
const (
	// Clear requests run without restrictions.
	Clear Level = iota
	// OnTrial requests run only on their TrialTarget, marked as on trial, without
	// retries or hedges.
	OnTrial
	// Held requests must not run before Assessment.Until, when they are assessed again.
	Held
	// Refused requests must not run before Assessment.Until.
	Refused
)

// Assessment is the treatment of requests with a fingerprint at a point in time.
type Assessment struct {
	Level Level
	// Until is when a Held or Refused assessment ends.
	Until time.Time
	// Crashed are the targets that crashed with the fingerprint in flight.
	Crashed []string
}

// Failure returns the failure for the caller of a request that must not run now, or
// nil if it may run.
func (a Assessment) Failure(now time.Time) *failure.Error {
	switch a.Level {
	case Held:
		return failure.New(failure.Overloaded, failure.NotRun, "the request is held while a crash is looked into").
			WithRetryAfter(a.Until.Sub(now))
	case Refused:
		return failure.New(failure.RequestPoisoned, failure.NotRun, "the request has crashed the targets that ran it").
			WithRetryAfter(a.Until.Sub(now))
	default:
		return nil
	}
}

// suspectState is the evidence against one fingerprint.
type suspectState struct {
	// incidents are those with the fingerprint in flight, sorted by time.
	incidents []*incident
	// crashes is the number of crashes with the fingerprint in flight. Unlike count it
	// counts those of a mass crash one by one.
	crashes int
	// lastAt is the time of the latest incident and lastMass whether that was a mass
	// crash; crashed are the targets of all incidents.
	lastAt   time.Time
	lastMass bool
	crashed  []string
	// trials counts the incidents in which the fingerprint ran on trial.
	trials int
	// isCause is set if no other fingerprint explains the same incidents equally
	// well, or if count has reached Config.refuseAmbiguousAfter.
	isCause bool
	// count is the number of incidents. One on trial raises it to at least
	// Config.RefuseAfterCrashes, because it implies an earlier incident.
	count int
}

// minRefuseAmbiguousAfter is the lower bound of Config.refuseAmbiguousAfter.
const minRefuseAmbiguousAfter = 3

// refuseAmbiguousAfter returns the number of incidents after which a fingerprint is
// refused even if another one explains them too.
func (c Config) refuseAmbiguousAfter() int { return max(c.RefuseAfterCrashes, minRefuseAmbiguousAfter) }

// assess returns the assessment of the fingerprint at a point in time.
func (s *suspectState) assess(config Config, now time.Time) Assessment {
	end := s.lastAt.Add(config.RefuseFor)
	if !now.Before(end) || s.crashes < config.TrialAfterCrashes && s.count < config.RefuseAfterCrashes {
		return Assessment{}
	}
	hold := config.PropagationHold
	if s.count >= config.RefuseAfterCrashes || s.crashes >= config.refuseAmbiguousAfter() || s.lastMass {
		hold = config.RefusalHold
	}
	a := Assessment{Level: OnTrial, Crashed: s.crashed}
	switch heldUntil := s.lastAt.Add(hold); {
	case now.Before(heldUntil):
		a.Level, a.Until = Held, heldUntil
	case s.isCause:
		a.Level, a.Until = Refused, end
	}
	return a
}
