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

	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/order"
	"verbenaseam.example/verbenaseam/request/stream"
)

const (
	// orderGracePeriod is how long an order may continue after its caller's
	// deadline. A started order is not cancelled, so that its outcome becomes known.
	orderGracePeriod = time.Minute
	// maxOrderAnswerBytes is the largest answer kept for an order.
	maxOrderAnswerBytes = 4 << 20
)

// onceOrders executes the orders of routes whose requests must run at most once. Each
// key runs at most once in this incarnation of the agent.
type onceOrders struct {
	agent   *Agent
	tracker *order.ExecutionTracker
}

func newOnceOrders(a *Agent, clock clockwork.Clock) *onceOrders {
	return &onceOrders{agent: a, tracker: order.NewExecutionTracker(order.ExecutionTrackerConfig{
		Incarnation: a.node.Identity.Incarnation, Clock: clock,
	})}
}

// serve handles one order operation and replies with the state of the attempt.
func (o *onceOrders) serve(ctx context.Context, l *link.Link, s *link.Stream, head *stream.RequestHead, body []byte) {
	attempt := head.Order.Attempt
	attempt.Organisation = head.Organisation
	switch head.Order.Operation {
	case stream.OrderRun:
		o.reply(s, o.run(ctx, l, head, attempt, body))
	case stream.OrderTombstone:
		o.reply(s, o.tracker.Tombstone(attempt))
	case stream.OrderQuery:
		o.reply(s, o.tracker.Query(attempt))
	default:
		s.Cancel("unknown order operation")
	}
}

func (o *onceOrders) reply(s *link.Stream, reply order.Reply) {
	head := &stream.ResponseHead{Status: http.StatusOK, Order: &reply}
	var body []byte
	if reply.Result != nil {
		result := *reply.Result
		body, result.Body = result.Body, nil
		reply.Result = &result
	}
	if len(body) <= maxSingleFrameBytes {
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

// run executes an attempt or returns why it will never start. A refusal before
// the engine is reached is recorded like a tombstone.
func (o *onceOrders) run(ctx context.Context, l *link.Link, head *stream.RequestHead, attempt order.Attempt, body []byte) order.Reply {
	verdict := o.tracker.Begin(attempt)
	if !verdict.Run {
		return verdict.Reply
	}
	ticket, refusal := o.agent.admit(ctx, l, body)
	if refusal != nil {
		return o.tracker.Finish(attempt, order.Reply{
			State: order.ExecutionNeverStarts, Reason: refusal.Message, RetryAfter: refusal.RetryAfter,
		})
	}
	limit := time.Duration(head.RemainingMillis)*time.Millisecond + orderGracePeriod
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return o.tracker.Finish(attempt, o.execute(detached, head, body, ticket))
}

// execute sends an admitted order to the engine.
func (o *onceOrders) execute(ctx context.Context, head *stream.RequestHead, body []byte, ticket *admissionTicket) order.Reply {
	forwarder := o.agent.forwarder
	forwarder.inFlight.begin(head.Fingerprint)
	result, err := o.call(ctx, head, body, ticket)
	forwarder.inFlight.end(head.Fingerprint, err != nil)
	if err == nil {
		ticket.Done(admit.Result{OK: result.Status < http.StatusInternalServerError})
		return order.Reply{State: order.ExecutionDone, Result: result}
	}
	forwarder.monitor.handleBrokenConnection()
	ticket.Done(admit.Result{})
	if isConnectionRefused(err) {
		return order.Reply{State: order.ExecutionNeverStarts, Reason: "the back end takes no connections"}
	}
	o.agent.log.WithError(err).Warn("engine failed during an order; outcome unknown")
	return order.Reply{State: order.ExecutionOutcomeUnknown}
}

func (o *onceOrders) call(ctx context.Context, head *stream.RequestHead, body []byte, ticket *admissionTicket) (*order.Result, error) {
	started := time.Now()
	response, err := o.agent.forwarder.call(ctx, head, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxOrderAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	o.agent.monitor.observeIncarnation(response.Header.Get(engine.HeaderIncarnation))
	ticket.FirstToken(time.Since(started))
	if len(answer) > maxOrderAnswerBytes {
		return nil, failure.New(failure.TooLarge, failure.Unknown, "the order's answer is over the limit")
	}
	return &order.Result{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: answer,
	}, nil
}

// isConnectionRefused reports whether the connection was refused, so that nothing
// was sent.
func isConnectionRefused(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// release drops the body of a result that the sender has recorded.
func (o *onceOrders) release(body []byte) {
	var attempt order.Attempt
	if err := link.Unmarshal(body, &attempt); err != nil {
		o.agent.log.WithError(err).Warn("release message cannot be decoded; dropped")
		return
	}
	o.tracker.Release(attempt)
}
