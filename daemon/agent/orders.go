package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/order"
	"verbenaseam.example/verbenaseam/request/stream"
)

const (
	// orderGrace is how long an order may run on after its caller's deadline:
	// once started it is not cut, so that its outcome gets known.
	orderGrace = time.Minute
	// orderAnswerBytes bounds an order's answer.
	orderAnswerBytes = 4 << 20
)

// orders runs once-only orders: each key at most once in this incarnation.
type orders struct {
	agent     *Agent
	execution *order.ExecutionTracker
}

func newOrders(a *Agent, clock clockwork.Clock) *orders {
	return &orders{agent: a, execution: order.NewExecutionTracker(order.ExecutionTrackerConfig{
		Incarnation: a.node.Identity.Incarnation, Clock: clock,
	})}
}

// serve answers one stream of an order with the agent's word on the attempt.
func (o *orders) serve(ctx context.Context, l *link.Link, s *link.Stream, head *stream.RequestHead, body []byte) {
	attempt := head.Order.Attempt
	attempt.Organisation = head.Organisation
	switch head.Order.Operation {
	case stream.OrderRun:
		o.reply(s, o.run(ctx, l, head, attempt, body))
	case stream.OrderTombstone:
		o.reply(s, o.execution.Tombstone(attempt))
	case stream.OrderQuery:
		o.reply(s, o.execution.Query(attempt))
	default:
		s.Cancel("unknown order operation")
	}
}

func (o *orders) reply(s *link.Stream, reply order.Reply) {
	head := &stream.ResponseHead{Status: http.StatusOK, Order: &reply}
	var body []byte
	if reply.Result != nil {
		result := *reply.Result
		body, result.Body = result.Body, nil
		reply.Result = &result
	}
	if len(body) <= unaryLimitBytes {
		_ = s.SendHead(head, body, true)
		return
	}
	if s.SendHead(head, nil, false) != nil {
		return
	}
	if _, err := s.Write(body); err == nil {
		_ = s.CloseWrite()
	}
}

// run runs an attempt, or says why it never will. What refuses it before the
// engine is reached is remembered like a tombstone.
func (o *orders) run(ctx context.Context, l *link.Link, head *stream.RequestHead, attempt order.Attempt, body []byte) order.Reply {
	verdict := o.execution.Begin(attempt)
	if !verdict.Run {
		return verdict.Reply
	}
	ticket, refusal := o.agent.admit(ctx, l, body)
	if refusal != nil {
		return o.execution.Finish(attempt, order.Reply{
			State: order.ExecutionNeverStarts, Reason: refusal.Message, RetryAfter: refusal.RetryAfter,
		})
	}
	limit := time.Duration(head.RemainingMillis)*time.Millisecond + orderGrace
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return o.execution.Finish(attempt, o.execute(detached, head, body, ticket))
}

// execute runs an admitted order on the back end.
func (o *orders) execute(ctx context.Context, head *stream.RequestHead, body []byte, ticket *pass) order.Reply {
	forward := o.agent.forward
	forward.flight.begin(head.Fingerprint)
	result, err := o.call(ctx, head, body, ticket)
	forward.flight.end(head.Fingerprint, err != nil)
	if err == nil {
		ticket.Done(admit.Result{OK: result.Status < http.StatusInternalServerError})
		return order.Reply{State: order.ExecutionDone, Result: result}
	}
	forward.monitor.broke()
	ticket.Done(admit.Result{})
	if neverReached(err) {
		return order.Reply{State: order.ExecutionNeverStarts, Reason: "the back end takes no connections"}
	}
	o.agent.log.WithError(err).Warn("order lost its back end")
	return order.Reply{State: order.ExecutionOutcomeUnknown}
}

func (o *orders) call(ctx context.Context, head *stream.RequestHead, body []byte, ticket *pass) (*order.Result, error) {
	started := time.Now()
	response, err := o.agent.forward.call(ctx, head, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	o.agent.monitor.answered(responseHead(response).EngineIncarnation)
	answer, err := io.ReadAll(io.LimitReader(response.Body, orderAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	ticket.FirstToken(time.Since(started))
	if len(answer) > orderAnswerBytes {
		return nil, failure.New(failure.TooLarge, failure.Unknown, "the order's answer is over the limit")
	}
	return &order.Result{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: answer,
	}, nil
}

// neverReached tells that the call's connection was refused: nothing was sent.
func neverReached(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// release drops the body of a result that is recorded.
func (o *orders) release(body []byte) {
	var attempt order.Attempt
	if err := link.Unmarshal(body, &attempt); err != nil {
		o.agent.log.WithError(err).Warn("malformed release")
		return
	}
	o.execution.Release(attempt)
}
