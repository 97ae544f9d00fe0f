// Package capacity estimates what the targets of a service can still serve in time, and
// decides which requests may start, wait or must be rejected when they cannot serve all.
//
// It is for loads beyond what the targets serve in time: bursts of one kind of request,
// twice the usual load of all kinds, and callers that come back soon after a rejection.
//
// It does no input or output; time and randomness are passed in. Its types are not safe for
// concurrent use; package dispatch guards them with its lock.
package capacity
