package order

import (
	"context"
	"time"
)

// Attempt identifies one attempt of an order.
type Attempt struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
	// Number is the attempt's number within the record, starting at 1.
	Number int `cbor:"3,keyasint"`
	// Nonce uniquely identifies the attempt.
	Nonce string `cbor:"4,keyasint"`
	// Target and Incarnation identify the only agent that may run the attempt.
	Target      string `cbor:"5,keyasint"`
	Incarnation string `cbor:"6,keyasint"`
	// NotAfter is the latest start time on the agent's own clock, measured from
	// the start of its incarnation.
	NotAfter time.Duration `cbor:"7,keyasint"`
}

// Dispatch asks an agent to run an attempt.
type Dispatch struct {
	Attempt Attempt
	// Payload is the request, opaque to this package.
	Payload any
	// Timeout is how long the entry waits for the agent's reply.
	Timeout time.Duration
}

// Placement is the agent chosen for an attempt.
type Placement struct {
	Target      string
	Incarnation string
	// AgentTime is a lower bound of the agent's current time; see AgentClock.
	AgentTime time.Duration
}

// ExecutionState is the state of an attempt as reported by its agent.
type ExecutionState uint8

// Execution states.
const (
	// ExecutionAbsent means that the agent has not seen the attempt; its
	// dispatch may still arrive.
	ExecutionAbsent ExecutionState = iota
	// ExecutionRunning means that the attempt has started.
	ExecutionRunning
	// ExecutionDone means that the attempt ran; the reply carries its result.
	ExecutionDone
	// ExecutionNeverStarts means that the attempt did not start and never will.
	ExecutionNeverStarts
	// ExecutionOutcomeUnknown means that the attempt started, but its outcome
	// cannot be determined.
	ExecutionOutcomeUnknown
	// ExecutionForgotten means that the agent no longer remembers the attempt's
	// state or result.
	ExecutionForgotten
	// ExecutionIncarnationGone means that the target now runs another agent
	// incarnation.
	ExecutionIncarnationGone
)

// Reply is an agent's report about an attempt.
type Reply struct {
	State ExecutionState `cbor:"1,keyasint"`
	// Result is set with ExecutionDone.
	Result *Result `cbor:"2,keyasint,omitempty"`
	// Reason explains why an attempt will never start; it may be empty.
	Reason string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is the suggested wait before a retry after ExecutionNeverStarts;
	// 0 means no suggestion.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Dispatcher is the interface through which a Coordinator reaches agents. Any
// error from Dispatch other than ErrNotSent means that the attempt may have
// started. Calls return at the end of their ctx or timeout.
type Dispatcher interface {
	// Place chooses an agent for a request on a target that is not excluded; it
	// fails with ErrNoTarget.
	Place(ctx context.Context, request Request, exclude []string) (Placement, error)
	// Dispatch runs an attempt and returns when it has ended, or earlier with
	// ExecutionRunning.
	Dispatch(ctx context.Context, dispatch Dispatch) (Reply, error)
	// Tombstone asks the agent to never start the attempt unless it has already
	// started, and returns the attempt's state.
	Tombstone(ctx context.Context, attempt Attempt, timeout time.Duration) (Reply, error)
	// Query returns the attempt's state without changing it.
	Query(ctx context.Context, attempt Attempt, timeout time.Duration) (Reply, error)
	// Release informs the agent, best effort, that the result is recorded.
	Release(ctx context.Context, attempt Attempt)
}

// clockDriftDivisor is the inverse of the maximum difference between the rates
// of two clocks: two per cent, one for each clock.
const clockDriftDivisor = 50

// AgentClock is a reading of an agent's clock at an entry, from which the entry
// derives a lower bound of the agent's current time.
type AgentClock struct {
	reading    time.Duration
	receivedAt time.Time
}

// ObserveAgentClock returns the clock for a reading sent by the agent; receivedAt
// is the entry's time when the reading arrived.
func ObserveAgentClock(reading time.Duration, receivedAt time.Time) AgentClock {
	return AgentClock{reading: reading, receivedAt: receivedAt}
}

// LowerBound returns the least time that the agent's clock can show now. The time
// since the reading is reduced by two per cent to allow for clock drift.
func (c AgentClock) LowerBound(now time.Time) time.Duration {
	elapsed := max(0, now.Sub(c.receivedAt))
	return c.reading + elapsed - elapsed/clockDriftDivisor
}
