package poison

import (
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// Level says how a request may run.
type Level uint8

// Levels, from the mildest.
const (
	// Clear requests run as any other.
	Clear Level = iota
	// Alone requests run on TrialTarget only, marked as on trial, without
	// retries and hedges.
	Alone
	// Held requests do not run before Verdict.Until; then ask again.
	Held
	// Refused requests do not run before Verdict.Until.
	Refused
)

// Verdict is what holds for a fingerprint at a time.
type Verdict struct {
	Level Level
	// Until is when a Held or Refused verdict ends.
	Until time.Time
	// Crashed are the targets that ended with the fingerprint in flight.
	Crashed []string
}

// Failure is what a caller gets whose request may not run now; nil if it may.
func (v Verdict) Failure(now time.Time) *failure.Error {
	switch v.Level {
	case Held:
		return failure.New(failure.Overloaded, failure.NotRun, "the request is held while a crash is looked into").
			WithRetryAfter(v.Until.Sub(now))
	case Refused:
		return failure.New(failure.Poisoned, failure.NotRun, "the request has crashed the targets that ran it").
			WithRetryAfter(v.Until.Sub(now))
	default:
		return nil
	}
}

// suspicion is what the evidence says of one fingerprint.
type suspicion struct {
	// explained are the losses with the fingerprint in flight, sorted by time.
	explained []*loss
	// last is the time of the last of them, lastMass tells that it was a mass
	// loss, crashed are the targets of all.
	last     time.Time
	lastMass bool
	crashed  []string
	// trials counts the losses in which the fingerprint ran on trial.
	trials int
	// convicted tells that no other fingerprint explains the same losses as
	// well.
	convicted bool
	// count is the number of losses; one on trial counts for the earlier one too.
	count int
}

// leastAmbiguous is the least number of crashes after which a fingerprint is
// refused even if another explains them too.
const leastAmbiguous = 3

// ambiguous is the number of crashes after which that is so.
func (c Config) ambiguous() int { return max(c.Convicting, leastAmbiguous) }

// verdict needs the bounds for the times only.
func (s *suspicion) verdict(config Config, now time.Time) Verdict {
	end := s.last.Add(config.RefuseFor)
	if !now.Before(end) {
		return Verdict{}
	}
	wait := config.Spread
	if s.count >= config.Convicting || s.lastMass {
		wait = config.Settle
	}
	v := Verdict{Level: Alone, Crashed: s.crashed}
	switch held := s.last.Add(wait); {
	case now.Before(held):
		v.Level, v.Until = Held, held
	case s.convicted:
		v.Level, v.Until = Refused, end
	}
	return v
}
