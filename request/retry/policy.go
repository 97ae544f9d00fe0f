package retry

import (
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// DefaultMaxAttempts bounds the attempts of one request, hedges included.
const DefaultMaxAttempts = 3

// DefaultRetryAfter is the advice to callers when nothing better is known.
const DefaultRetryAfter = 250 * time.Millisecond

// Policy says how one request may be sent again.
type Policy struct {
	// MaxAttempts bounds all attempts; 1 means neither retry nor hedge.
	MaxAttempts int
	// Once tells that a request which may have run is not sent again.
	Once bool
	// Deadline is when the request's caller stops waiting.
	Deadline time.Time
	// Backoff spaces the retries.
	Backoff Backoff
	// Budget is shared by the requests of a pool.
	Budget *Budget
	// HedgeAfter is the age of an attempt at which a second one is started
	// beside it, from Latency.HedgeAfter; 0 means never.
	HedgeAfter time.Duration
	// MinimumTime is the time that an attempt needs to be worth starting.
	MinimumTime time.Duration
	// Groups knows targets that fail together; nil for none.
	Groups Groups
}

// Retriable tells whether another target may do better after a failure.
func Retriable(kind failure.Kind) bool {
	switch kind {
	case failure.Overloaded, failure.Leaving, failure.NotReady, failure.NoTarget,
		failure.EngineFailed, failure.Incomplete:
		return true
	}
	return false
}

// GiveUp is why a request is not sent again.
type GiveUp string

// Reasons to give up.
const (
	GiveUpNone     GiveUp = ""
	GiveUpFinal    GiveUp = "final"
	GiveUpAttempts GiveUp = "attempts"
	GiveUpBudget   GiveUp = "budget"
	GiveUpDeadline GiveUp = "deadline"
)

// Decision says what follows a failed attempt.
type Decision struct {
	// Retry tells to start another attempt after Delay.
	Retry bool
	Delay time.Duration
	// Wait tells that another attempt still runs.
	Wait bool
	// Reason is why neither holds.
	Reason GiveUp
}
