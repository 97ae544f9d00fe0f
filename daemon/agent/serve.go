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

// maxBodyBytes is the largest request body that the agent accepts.
const maxBodyBytes = 256 << 20

// bytesPerToken is the assumed average number of body bytes per prompt token.
const bytesPerToken = 4

// ServeStream implements link.Handler. It serves one request of an entry.
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

// serve runs one request. It returns a failure only if the request was refused before
// it ran.
func (a *Agent) serve(ctx context.Context, l *link.Link, s *link.Stream, head *stream.RequestHead) *failure.Error {
	if head.Target != a.settings.Name {
		return failure.New(failure.NoTarget, failure.NotRun, "this agent serves another target")
	}
	body, err := readBody(s, maxBodyBytes)
	if err != nil {
		return failure.New(failure.IncompleteAnswer, failure.NotRun, "the request did not arrive whole").WithCause(err)
	}
	if head.Order != nil {
		a.onceOrders.serve(ctx, l, s, head, body)
		return nil
	}
	if refusal := a.checkPoison(head); refusal != nil {
		return refusal
	}
	endTrial, refusal := a.beginTrial(head)
	if refusal != nil {
		return refusal
	}
	defer endTrial()
	ticket, refusal := a.admit(ctx, l, body)
	if refusal != nil {
		return refusal
	}
	a.forwarder.run(ctx, head, body, s, ticket)
	return nil
}

// admit acquires a ticket for new work under a configuration at least as new as
// the entry's.
func (a *Agent) admit(ctx context.Context, l *link.Link, body []byte) (*admissionTicket, *failure.Error) {
	snapshot, refusal := a.configurationGuard.awaitVersion(ctx, l.PeerVersion())
	if refusal != nil {
		return nil, refusal
	}
	if refusal := a.configurationGuard.check(snapshot); refusal != nil {
		return nil, refusal
	}
	if a.monitor.down.Load() {
		return nil, retryLater("the back end does not answer", a.settings.ProbeInterval)
	}
	ticket, err := a.admission.admit(len(body) / bytesPerToken)
	if err != nil {
		return nil, refusalFrom(err)
	}
	return ticket, nil
}

// refusalFrom converts an error of admission.admit and marks refusals of the gate.
func refusalFrom(err error) *failure.Error {
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		found := *failure.From(refused.Unwrap())
		found.RejectedByGate = true
		return &found
	}
	return failure.From(err)
}
