package stream

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/process/failure"
)

// ErrMissingEndEvent means that a stream ended without the event that ends a
// complete response.
var ErrMissingEndEvent = eris.New("token stream ended without the final event")

// ErrEngineFailure means that the engine ended the stream with an error event.
var ErrEngineFailure = eris.New("engine reported a failure in the stream")

// TokenGapError means that tokens are missing or may be missing.
type TokenGapError struct {
	// Want and Got are token indexes; at the end of a stream Got is one past
	// the last token.
	Want, Got int
}

// Error implements error.
func (e *TokenGapError) Error() string {
	return fmt.Sprintf("received token %d, want %d", e.Got, e.Want)
}

// IncarnationError means that the stream would be resumed by another engine
// incarnation.
type IncarnationError struct {
	Want, Got string
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("engine incarnation is %q, want %q", e.Got, e.Want)
}

// WriteError means that an event could not be written to the caller.
type WriteError struct {
	Cause error
}

// Error implements error.
func (e *WriteError) Error() string { return "cannot write to the caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// Part is the portion of a token stream that one connection delivers.
type Part struct {
	Body io.ReadCloser
	// Incarnation is the engine incarnation that sends the part. If it is
	// empty, the incarnation is unknown and the stream cannot be resumed.
	Incarnation string
}

// Source reopens a token stream.
type Source interface {
	// Resume reopens the stream at the token with index from, at the engine
	// incarnation that began it.
	Resume(ctx context.Context, from int, incarnation string) (Part, error)
}

// Sink receives each event once, in order. It must not retain the event's Raw.
type Sink func(event *Event) error

// Relay forwards a token stream and resumes it after an interruption.
type Relay struct {
	// Source reopens the stream; nil disables resumption.
	Source Source
	Clock  clockwork.Clock
	// MaxResumes bounds the attempts to resume one stream; ResumeDelay is the delay
	// before each.
	MaxResumes  int
	ResumeDelay time.Duration
	// MaxEventBytes bounds the size of one event; 0 means DefaultMaxEventBytes.
	MaxEventBytes int
}

// relayRun is the state of one relayed stream.
type relayRun struct {
	Relay
	sink Sink
	// nextToken is the index of the next token to forward.
	nextToken int
	// numbered is set once an event has carried a token index;
	// continuityVerified is set once the current part has sent a token with an
	// index, which isNew checks against nextToken.
	numbered, continuityVerified bool
	resumes                      int
}

// Run forwards the stream that begins with first. It returns nil only after the
// event that ends a complete response, when every token has been forwarded
// exactly once; otherwise it returns a *failure.Error of kind IncompleteAnswer
// or EngineFailed, or a *WriteError.
func (r Relay) Run(ctx context.Context, first Part, sink Sink) error {
	if r.MaxEventBytes <= 0 {
		r.MaxEventBytes = DefaultMaxEventBytes
	}
	run := &relayRun{Relay: r, sink: sink}
	part := first
	for {
		status, err := run.relayPart(part.Body)
		_ = part.Body.Close()
		if status != partInterrupted {
			return err
		}
		if part, err = run.resume(ctx, first.Incarnation, err); err != nil {
			return err
		}
	}
}

type partStatus uint8

const (
	// partInterrupted means that the stream may be resumed.
	partInterrupted partStatus = iota
	// partComplete means that the response is complete, partFailed that it has
	// failed for good.
	partComplete
	partFailed
)

// relayPart forwards one part until it ends.
func (r *relayRun) relayPart(body io.Reader) (partStatus, error) {
	events := NewEventReader(body, r.MaxEventBytes)
	for {
		event, err := events.Next()
		if err == io.EOF {
			err = ErrMissingEndEvent
		}
		if err != nil {
			return partInterrupted, err
		}
		if event.Failed() {
			return partFailed, engineFailed()
		}
		isNew, err := r.isNew(event)
		if err != nil {
			return partFailed, incomplete(err)
		}
		if !isNew {
			continue
		}
		if err := r.sink(event); err != nil {
			return partFailed, &WriteError{Cause: err}
		}
		if event.Done() {
			return partComplete, nil
		}
	}
}

// isNew reports whether the event is to be forwarded; tokens that were
// forwarded before are not.
func (r *relayRun) isNew(event *Event) (bool, error) {
	token, ok := event.TokenIndex()
	if !ok {
		return r.isNewUnnumbered(event)
	}
	r.numbered, r.continuityVerified = true, true
	if token < r.nextToken {
		return false, nil
	}
	if token > r.nextToken {
		return false, &TokenGapError{Want: r.nextToken, Got: token}
	}
	r.nextToken++
	return true, nil
}

// isNewUnnumbered reports whether an event without a token index is to be
// forwarded. In a resumed part such events cannot be told from ones already
// forwarded, so only the end event is forwarded. It is rejected if the part has
// not sent a numbered token first, because tokens may then be missing.
func (r *relayRun) isNewUnnumbered(event *Event) (bool, error) {
	if r.resumes == 0 {
		return true, nil
	}
	if event.Done() && r.nextToken > 0 && !r.continuityVerified {
		return false, &TokenGapError{Want: r.nextToken - 1, Got: r.nextToken}
	}
	return event.Done(), nil
}

// resume opens the next part of an interrupted stream.
func (r *relayRun) resume(ctx context.Context, incarnation string, cause error) (Part, error) {
	for r.Source != nil && incarnation != "" && r.numbered && r.resumes < r.MaxResumes {
		r.resumes++
		if !r.waitForResume(ctx) {
			break
		}
		// The last token is requested again: a part that starts with it has not
		// skipped any token.
		r.continuityVerified = false
		part, err := r.Source.Resume(ctx, max(0, r.nextToken-1), incarnation)
		if err != nil {
			cause = err
			continue
		}
		if part.Incarnation != incarnation {
			_ = part.Body.Close()
			return Part{}, incomplete(&IncarnationError{Want: incarnation, Got: part.Incarnation})
		}
		return part, nil
	}
	return Part{}, incomplete(cause)
}

// waitForResume waits before an attempt to resume. It returns false if ctx ends
// first.
func (r *relayRun) waitForResume(ctx context.Context) bool {
	if r.ResumeDelay <= 0 {
		return ctx.Err() == nil
	}
	timer := r.Clock.NewTimer(r.ResumeDelay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func incomplete(cause error) *failure.Error {
	return failure.New(failure.IncompleteAnswer, failure.Unknown, "the answer is not whole").WithCause(cause)
}

func engineFailed() *failure.Error {
	return failure.New(failure.EngineFailed, failure.Unknown, "the target failed while it answered").WithCause(ErrEngineFailure)
}
