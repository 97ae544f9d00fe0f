package retry

import (
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// DefaultMaxAttempts is the default bound on the number of attempts of one
// request, including hedges.
const DefaultMaxAttempts = 3

// DefaultRetryAfter is the retry advice to callers when no better estimate is
// known.
const DefaultRetryAfter = 250 * time.Millisecond

// Policy configures how one request may be sent again.
type Policy struct {
	// MaxAttempts bounds the number of attempts; 1 disables retries and hedges.
	MaxAttempts int
	// NonIdempotent prevents a request that may have run from being sent again.
	NonIdempotent bool
	// Deadline is the time at which the caller of the request stops waiting.
	Deadline time.Time
	// Backoff computes the delays between retries.
	Backoff Backoff
	// Budget limits retries and hedges; all requests of a pool share it.
	Budget *Budget
	// HedgeAfter is the age of an attempt at which a second one is started in
	// parallel, from Latency.HedgeAfter; 0 disables hedging.
	HedgeAfter time.Duration
	// MinAttemptTime is the least remaining time for which an attempt is worth
	// starting.
	MinAttemptTime time.Duration
	// Groups provides the targets that fail together; nil means none.
	Groups Groups
}

// Retriable reports whether another target may succeed after a failure of this
// kind.
func Retriable(kind failure.Kind) bool {
	switch kind {
	case failure.Overloaded, failure.Leaving, failure.NotReady, failure.NoTarget,
		failure.EngineFailed, failure.IncompleteAnswer:
		return true
	}
	return false
}

// GiveUpReason is the reason why a request is not sent again.
type GiveUpReason string

// Reasons for not sending a request again.
const (
	GiveUpNone GiveUpReason = ""
	// GiveUpFinal means that the failure does not permit a retry.
	GiveUpFinal GiveUpReason = "final"
	// GiveUpAttempts means that MaxAttempts attempts were made.
	GiveUpAttempts GiveUpReason = "attempts"
	// GiveUpBudget means that the budget was empty.
	GiveUpBudget GiveUpReason = "budget"
	// GiveUpDeadline means that too little time was left.
	GiveUpDeadline GiveUpReason = "deadline"
)

// Decision is the action after a failed attempt.
type Decision struct {
	// Retry means that another attempt starts after Delay.
	Retry bool
	Delay time.Duration
	// Wait means that another attempt is still running.
	Wait bool
	// Reason is why the request is given up if neither Retry nor Wait is set.
	Reason GiveUpReason
}
