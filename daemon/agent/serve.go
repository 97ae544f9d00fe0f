package agent

import (
	"context"
	"errors"
	"time"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/stream"
)

// bodyLimitBytes bounds a request body at the agent.
const bodyLimitBytes = 256 << 20

// bytesPerToken is about what a prompt token takes of a body.
const bytesPerToken = 4

// ServeStream implements link.Handler: one request of an entry.
func (a *Agent) ServeStream(ctx context.Context, l *link.Link, s *link.Stream) {
	var head stream.RequestHead
	if err := s.DecodeHead(&head); err != nil {
		s.Cancel("the request head is malformed")
		return
	}
	if !a.serving.Begin() {
		refuse(s, failure.New(failure.Leaving, failure.NotRun, "the agent is leaving"))
		return
	}
	defer a.serving.End()
	bounded, cancel := context.WithTimeout(ctx, time.Duration(head.RemainingMillis)*time.Millisecond)
	defer cancel()
	if err := a.serve(bounded, l, s, &head); err != nil {
		refuse(s, err)
	}
}

// serve runs one request or returns why it did not run.
func (a *Agent) serve(ctx context.Context, l *link.Link, s *link.Stream, head *stream.RequestHead) *failure.Error {
	if head.Target != a.settings.Name {
		return failure.New(failure.NoTarget, failure.NotRun, "this agent serves another target")
	}
	body, err := readBody(s, bodyLimitBytes)
	if err != nil {
		return failure.New(failure.IncompleteAnswer, failure.NotRun, "the request did not arrive whole").WithCause(err)
	}
	if head.Order != nil {
		a.orders.serve(ctx, l, s, head, body)
		return nil
	}
	if refusal := a.suspected(head); refusal != nil {
		return refusal
	}
	end, refusal := a.onTrial(head)
	if refusal != nil {
		return refusal
	}
	defer end()
	ticket, refusal := a.admit(ctx, l, body)
	if refusal != nil {
		return refusal
	}
	a.forward.run(ctx, head, body, s, ticket)
	return nil
}

// admit takes a pass for new work, under a configuration at least as new as
// the entry's.
func (a *Agent) admit(ctx context.Context, l *link.Link, body []byte) (*pass, *failure.Error) {
	snapshot, refusal := a.permit.await(ctx, l.PeerVersion())
	if refusal != nil {
		return nil, refusal
	}
	if refusal := a.permit.check(snapshot); refusal != nil {
		return nil, refusal
	}
	if a.monitor.down.Load() {
		return nil, later("the back end does not answer", a.settings.ProbeInterval)
	}
	ticket, err := a.admission.admit(len(body) / bytesPerToken)
	if err != nil {
		return nil, refusalOf(err)
	}
	return ticket, nil
}

func refusalOf(err error) *failure.Error {
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		found := *failure.From(refused.Unwrap())
		found.RejectedByGate = true
		return &found
	}
	return failure.From(err)
}
