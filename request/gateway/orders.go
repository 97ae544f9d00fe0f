package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/order"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/request/stream"
)

// orderFingerprint returns a digest of the method, path and body, which detects
// the reuse of an idempotency key with another request.
func (c *call) orderFingerprint() [32]byte {
	digest := sha256.New()
	for _, part := range []string{c.method, "\x00", c.path, "\x00"} {
		_, _ = io.WriteString(digest, part)
	}
	_, _ = digest.Write(c.body)
	return [32]byte(digest.Sum(nil))
}

// dispatchOrder runs a call that is not idempotent.
func (g *Gateway) dispatchOrder(ctx context.Context, c *call) (*targetResponse, error) {
	answer, err := g.orders.Run(ctx, order.Request{
		Organisation: c.organisation.Name,
		Key:          c.idempotencyKey,
		Fingerprint:  c.orderFingerprint(),
		Payload:      c,
		Timeout:      c.deadline.Sub(g.clock.Now()),
	})
	if err != nil {
		return nil, err
	}
	head := &stream.ResponseHead{Status: answer.Result.Status}
	if answer.Result.ContentType != "" {
		head.Header = []stream.Field{{Name: "Content-Type", Value: answer.Result.ContentType}}
	}
	return &targetResponse{head: head, body: answer.Result.Body}, nil
}

// OrderDispatcher sends an order.Coordinator's requests to agents.
type OrderDispatcher struct {
	gateway *Gateway
}

// NewOrderDispatcher returns an OrderDispatcher that uses the gateway's links
// and targets.
func NewOrderDispatcher(g *Gateway) *OrderDispatcher { return &OrderDispatcher{gateway: g} }

// Place implements order.Dispatcher. It chooses only among targets whose
// agent's clock is known to this entry.
func (d *OrderDispatcher) Place(_ context.Context, request order.Request, exclude []string) (order.Placement, error) {
	g := d.gateway
	c := request.Payload.(*call)
	view, ok := g.targets.pool(c.route.Pool)
	if !ok {
		return order.Placement{}, order.ErrNoTarget
	}
	state, ok := g.pick(c, view, func(s *pick.TargetState) bool {
		return slices.Contains(exclude, s.Name()) || !g.targets.hasReported(s.Name())
	})
	if !ok {
		return order.Placement{}, order.ErrNoTarget
	}
	placement, ok := g.targets.placement(state.Name())
	if !ok {
		return order.Placement{}, order.ErrNoTarget
	}
	return placement, nil
}

// Dispatch implements order.Dispatcher.
func (d *OrderDispatcher) Dispatch(ctx context.Context, dispatch order.Dispatch) (order.Reply, error) {
	g := d.gateway
	c := dispatch.Payload.(*call)
	l, ok := g.links.Get(dispatch.Attempt.Target)
	if !ok || l.Peer().Incarnation != dispatch.Attempt.Incarnation {
		return order.Reply{}, order.ErrNotSent
	}
	head := c.head()
	head.Target = dispatch.Attempt.Target
	head.RemainingMillis = dispatch.Timeout.Milliseconds()
	head.Order = &stream.OrderHead{Operation: stream.OrderRun, Attempt: dispatch.Attempt}
	g.metrics.CountAttempt("order")
	timeoutCtx, cancel := context.WithTimeout(ctx, dispatch.Timeout)
	defer cancel()
	reply, err := exchangeOrder(timeoutCtx, l, head, c.body)
	if err == nil && reply.State == order.ExecutionNeverStarts {
		g.recordOrderRefusal(c, dispatch.Attempt.Target, reply.RetryAfter)
	}
	return reply, err
}

// recordOrderRefusal updates the target's state and the queue's capacity after
// an agent refused an order with a retry time.
func (g *Gateway) recordOrderRefusal(c *call, target string, retryAfter time.Duration) {
	view, ok := g.targets.pool(c.route.Pool)
	if !ok {
		return
	}
	if state := view.set.Find(target); state != nil && retryAfter > 0 {
		g.targets.RecordRefusal(view, state, retryAfter)
	}
}

// Tombstone implements order.Dispatcher.
func (d *OrderDispatcher) Tombstone(ctx context.Context, attempt order.Attempt, timeout time.Duration) (order.Reply, error) {
	return d.sendOperation(ctx, attempt, timeout, stream.OrderTombstone)
}

// Query implements order.Dispatcher.
func (d *OrderDispatcher) Query(ctx context.Context, attempt order.Attempt, timeout time.Duration) (order.Reply, error) {
	return d.sendOperation(ctx, attempt, timeout, stream.OrderQuery)
}

// sendOperation sends an operation on an attempt to the target's agent. If
// another incarnation of the agent is connected, that incarnation itself
// replies that the attempt's incarnation is gone.
func (d *OrderDispatcher) sendOperation(ctx context.Context, attempt order.Attempt, timeout time.Duration, operation stream.OrderOperation) (order.Reply, error) {
	l, ok := d.gateway.links.Get(attempt.Target)
	if !ok {
		return order.Reply{}, failure.New(failure.NoTarget, failure.Unknown, "there is no link to the order's target")
	}
	head := &stream.RequestHead{
		Organisation: attempt.Organisation, Target: attempt.Target, RemainingMillis: timeout.Milliseconds(),
		Order: &stream.OrderHead{Operation: operation, Attempt: attempt},
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return exchangeOrder(timeoutCtx, l, head, nil)
}

// Release implements order.Dispatcher.
func (d *OrderDispatcher) Release(_ context.Context, attempt order.Attempt) {
	if l, ok := d.gateway.links.Get(attempt.Target); ok {
		_ = l.Send(stream.MessageRelease, &attempt)
	}
}

// exchangeOrder sends one order request and receives the agent's complete
// reply. Any error means that the attempt may have started.
func exchangeOrder(ctx context.Context, l *link.Link, head *stream.RequestHead, body []byte) (order.Reply, error) {
	s, err := l.Open(ctx, head, body, true)
	if err != nil {
		return order.Reply{}, err
	}
	stop := context.AfterFunc(ctx, func() { s.Cancel("no answer in time") })
	defer stop()
	var response stream.ResponseHead
	if err := s.ReceiveHead(ctx, &response); err != nil {
		s.Cancel("no answer in time")
		return order.Reply{}, err
	}
	var content bytes.Buffer
	if _, err := io.Copy(&content, s); err != nil {
		s.Cancel("the answer is not whole")
		return order.Reply{}, err
	}
	if response.Refusal != nil {
		return order.Reply{}, response.Refusal.Failure()
	}
	if response.Order == nil {
		return order.Reply{}, failure.New(failure.IncompleteAnswer, failure.Unknown, "the agent said nothing of the order")
	}
	if response.Order.Result != nil {
		response.Order.Result.Body = content.Bytes()
	}
	return *response.Order, nil
}
