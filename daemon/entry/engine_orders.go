package entry

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/daemon/group"
	"verbenaseam.example/verbenaseam/process/lease"
)

// UnknownEffectError means that an engine order was sent but not answered in time, so
// that it may or may not have been executed.
type UnknownEffectError struct {
	Target string
	Cause  error
}

// Error implements error.
func (e *UnknownEffectError) Error() string {
	return "engine order to target " + e.Target + " not answered, its effect is unknown: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *UnknownEffectError) Unwrap() error { return e.Cause }

// OrderEngine orders a target's engine to load a model, an adapter or a version, or to
// change its role. The order carries the epoch of the lease. OrderEngine fails with
// lease.ErrNotHeld if this entry does not hold the lease, with the link's error if
// nothing was sent, and with UnknownEffectError if ctx ends before the answer arrives.
func (e *Entry) OrderEngine(ctx context.Context, pool, target string, kind group.OrderKind, value string) (group.Answer, error) {
	answered := make(chan group.Answer, 1)
	refused := make(chan error, 1)
	order := group.Order{Pool: pool, Kind: kind, Value: value}
	call := func(time.Time) {
		if err := e.groups.sendEngineOrder(target, order, answered); err != nil {
			refused <- err
		}
	}
	select {
	case e.groups.inbox <- call:
	case <-ctx.Done():
		return group.Answer{}, ctx.Err()
	}
	select {
	case answer := <-answered:
		return answer, nil
	case err := <-refused:
		return group.Answer{}, err
	case <-ctx.Done():
		return group.Answer{}, &UnknownEffectError{Target: target, Cause: ctx.Err()}
	}
}

// engineOrderTimeout is the time after which an unanswered order is dropped.
const engineOrderTimeout = time.Minute

// pendingEngineOrder is an order of OrderEngine that has not been answered yet.
type pendingEngineOrder struct {
	answered chan<- group.Answer
	deadline time.Time
}

// sendEngineOrder sends an order and registers it in pendingEngineOrders. It must
// be called from run.
func (g *groups) sendEngineOrder(target string, order group.Order, answered chan<- group.Answer) error {
	epoch, err := g.lease.Epoch()
	if err != nil {
		return lease.ErrNotHeld
	}
	g.lastOrderID++
	order.ID, order.Epoch = g.lastOrderID, epoch
	if err := g.entry.node.Peers.Send(target, group.MessageOrder, &order); err != nil {
		return err
	}
	g.pendingEngineOrders[order.ID] = pendingEngineOrder{answered: answered, deadline: g.entry.clock.Now().Add(engineOrderTimeout)}
	return nil
}

// resolveEngineOrder delivers an answer to the call of OrderEngine that waits for it. It
// returns false if none does.
func (g *groups) resolveEngineOrder(answer group.Answer) bool {
	pending, found := g.pendingEngineOrders[answer.ID]
	if found {
		delete(g.pendingEngineOrders, answer.ID)
		pending.answered <- answer
	}
	return found
}

// expireEngineOrders drops the orders that were not answered within engineOrderTimeout.
func (g *groups) expireEngineOrders(now time.Time) {
	for id, pending := range g.pendingEngineOrders {
		if now.After(pending.deadline) {
			delete(g.pendingEngineOrders, id)
		}
	}
}
