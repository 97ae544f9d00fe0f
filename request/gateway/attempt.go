package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/request/stream"
)

// targetResponse is a target's response: its head, and a body that is either
// complete or still being streamed.
type targetResponse struct {
	head *stream.ResponseHead
	// body is the complete body of a response that is not streamed.
	body []byte
	// stream carries the body of a streamed response; nil otherwise.
	stream *link.Stream
	// finish records the end of the response in the target's state.
	finish func(ok bool)
}

// attempt sends a call to one target, once. The outcome of a failure is NotRun
// only if the agent reported so or nothing was sent.
func (g *Gateway) attempt(ctx context.Context, c *call, state *pick.TargetState, trial bool) (*targetResponse, error) {
	l, ok := g.links.Get(state.Name())
	if !ok {
		return nil, failure.New(failure.NoTarget, failure.NotRun, "there is no link to the target").WithRetryAfter(defaultRetryAfter)
	}
	head := c.head()
	head.Target = state.Name()
	head.Trial = trial
	head.RemainingMillis = c.deadline.Sub(g.clock.Now()).Milliseconds()
	if head.RemainingMillis <= 0 {
		return nil, deadlineExceeded(failure.NotRun)
	}
	work := state.Begin(&pick.Query{PrefixHashes: c.prompt.PrefixHashes, Cost: c.cost(), BlockCost: tokensPerBlock, Now: g.targets.now()})
	response, err := g.exchange(ctx, l, head, c.body)
	if err != nil {
		state.End(&work, g.targets.now(), false)
		return nil, err
	}
	state.FirstToken(&work, g.targets.now())
	response.finish = func(ok bool) { state.End(&work, g.targets.now(), ok) }
	if response.stream == nil {
		response.finish(true)
	}
	return response, nil
}

// exchange sends one request over a link and receives the response head, and
// also the body unless the response is streamed.
func (g *Gateway) exchange(ctx context.Context, l *link.Link, head *stream.RequestHead, body []byte) (*targetResponse, error) {
	s, err := l.Open(ctx, head, body, true)
	if err != nil {
		return nil, failure.New(failure.NoTarget, failure.NotRun, "the request could not be sent").WithCause(err)
	}
	var response stream.ResponseHead
	if err := s.ReceiveHead(ctx, &response); err != nil {
		s.Cancel("no answer in time")
		return nil, exchangeFailure(ctx, err)
	}
	if response.Refusal != nil {
		s.Cancel("refused")
		return nil, response.Refusal.Failure()
	}
	if retriableStatus(response.Status) {
		s.Cancel("the target failed")
		return nil, failure.New(failure.EngineFailed, failure.Unknown, "the target answered that it failed")
	}
	if isEventStream(&response) {
		return &targetResponse{head: &response, stream: s}, nil
	}
	stop := context.AfterFunc(ctx, func() { s.Cancel("no answer in time") })
	defer stop()
	var content bytes.Buffer
	if _, err := io.Copy(&content, s); err != nil {
		s.Cancel("the answer is not whole")
		return nil, exchangeFailure(ctx, err)
	}
	return &targetResponse{head: &response, body: content.Bytes()}, nil
}

// retriableStatus reports whether the status means that the target is
// unavailable or overloaded. exchange is used for idempotent requests only, so
// another target may be tried.
func retriableStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// exchangeFailure converts an error of a link stream to a failure with an
// unknown outcome.
func exchangeFailure(ctx context.Context, err error) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineExceeded(failure.Unknown).WithCause(err)
	}
	return failure.New(failure.IncompleteAnswer, failure.Unknown, "the answer did not arrive whole").WithCause(err)
}

// isEventStream reports whether the response's media type is that of server-sent
// events.
func isEventStream(head *stream.ResponseHead) bool {
	for _, field := range head.Header {
		if field.Name == "Content-Type" {
			return len(field.Value) >= len(eventStreamType) && field.Value[:len(eventStreamType)] == eventStreamType
		}
	}
	return false
}

const eventStreamType = "text/event-stream"
