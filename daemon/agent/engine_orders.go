package agent

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/group"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/lease"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// orderQueueCapacity bounds each queue of waiting orders.
	orderQueueCapacity = 32
	// orderTimeout bounds the execution of one order by the engine.
	orderTimeout = 30 * time.Second
	// readTimeout bounds the execution of one read-only order.
	readTimeout = time.Second
	// epochReadTimeout bounds the read of a lease's epoch from the platform's
	// table.
	epochReadTimeout = time.Second
)

// ErrInvalidOrder means that an order has an unknown kind, lacks its payload or
// carries a proposal of another epoch.
var ErrInvalidOrder = eris.New("order of an unknown kind")

// ErrNotInGroup means that the agent is in no lock-step group or cannot take the
// call now, or that the order's pool does not contain its target.
var ErrNotInGroup = eris.New("the agent takes part in no group now")

// orderPlacer sends orders to the engine.
type orderPlacer interface {
	PlaceOrder(ctx context.Context, order *engineapi.EngineOrder, params engineapi.PlaceOrderParams) (*engineapi.EngineOrderResult, error)
}

// expertMapClient loads and reads the expert maps and expert load of the engine.
type expertMapClient interface {
	LoadMap(ctx context.Context, id expertmap.MapID, placed placement.Map) error
	ReadMap(ctx context.Context, id expertmap.MapID) (placement.Map, error)
	ReadExpertLoad(ctx context.Context) (engine.ExpertLoad, error)
}

// engineOrders executes the orders of lease holders one at a time. Orders that
// the engine does not check against the epoch itself go through fence: orders
// about expert maps always, other orders if the pool's fencing is "ignored".
type engineOrders struct {
	target string
	api    orderPlacer
	maps   expertMapClient
	// propose passes a proposal to the group; see groupMember.propose.
	propose func(proposal expertmap.Proposal, done chan<- bool) bool
	// subscribe requests the header of a load report; see groupMember.subscribe.
	subscribe func(peer string, header chan<- placement.Report) bool
	tables    func() *table.Snapshot
	fence     *lease.Fence
	// answer sends the result of an order to its sender.
	answer func(peer string, answer group.Answer)
	log    *logrus.Entry
	// queue holds the orders that change the engine. reads holds read-only orders,
	// which need not wait behind a model load.
	queue, reads chan receivedOrder
}

type receivedOrder struct {
	peer  string
	order group.Order
}

func newEngineOrders(a *Agent, rows platform.Table) *engineOrders {
	return &engineOrders{
		target: a.settings.Name, api: a.engine.ControlAPI(), maps: a.engine, propose: a.group.propose, subscribe: a.group.subscribe,
		tables: a.node.Current, fence: lease.NewFence(rows), log: a.log.WithField("part", "engine order"),
		answer: func(peer string, answer group.Answer) {
			// If the answer is lost, the sender treats the outcome as unknown.
			_ = a.node.Peers.Send(peer, group.MessageAnswer, &answer)
		},
		queue: make(chan receivedOrder, orderQueueCapacity), reads: make(chan receivedOrder, orderQueueCapacity),
	}
}

// receive queues an order of an entry without blocking. When the queue is full,
// the order is refused.
func (o *engineOrders) receive(peer link.Identity, body []byte) {
	var order group.Order
	if err := link.Unmarshal(body, &order); err != nil || peer.Role != link.RoleEntry {
		o.log.WithField("peer", peer.Name).Warn("engine order cannot be decoded or its sender is not an entry; dropped")
		return
	}
	queue := o.queue
	if order.Kind == group.OrderReadMap || order.Kind == group.OrderReadLoad {
		queue = o.reads
	}
	select {
	case queue <- receivedOrder{peer: peer.Name, order: order}:
	default:
		o.answer(peer.Name, group.Answer{ID: order.ID, Result: group.ResultRefused, Reason: "too many orders wait"})
	}
}

// run executes the orders that change the engine.
func (o *engineOrders) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-o.queue:
			err := o.execute(ctx, received.order)
			o.finish(received, answerFor(received.order.ID, err))
		}
	}
}

// runReads executes read-only orders, which need no epoch check.
func (o *engineOrders) runReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-o.reads:
			o.finish(received, o.read(ctx, received))
		}
	}
}

func (o *engineOrders) finish(received receivedOrder, answer group.Answer) {
	if answer.Result != group.ResultDone {
		o.log.WithField("kind", received.order.Kind).WithField("reason", answer.Reason).Warn("engine order refused or its outcome unknown")
	}
	o.answer(received.peer, answer)
}

func (o *engineOrders) read(ctx context.Context, received receivedOrder) group.Answer {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	order := received.order
	if order.Kind == group.OrderReadMap {
		placed, err := o.maps.ReadMap(bounded, order.Map)
		answer := answerFor(order.ID, err)
		if err == nil {
			answer.Content = &placed
		}
		return answer
	}
	load, err := o.readLoad(bounded, received.peer)
	answer := answerFor(order.ID, err)
	if err == nil {
		load.Pool, load.Target = order.Pool, o.target
		answer.Load = load
	}
	return answer
}

func (o *engineOrders) readLoad(ctx context.Context, peer string) (*group.Load, error) {
	header := make(chan placement.Report, 1)
	if !o.subscribe(peer, header) {
		return nil, ErrNotInGroup
	}
	select {
	case report, ok := <-header:
		if !ok {
			return nil, ErrNotInGroup
		}
		load, err := o.maps.ReadExpertLoad(ctx)
		if err != nil {
			return nil, err
		}
		counts := load.Report
		counts.Rank, counts.Incarnation, counts.Sequence = report.Rank, report.Incarnation, report.Sequence
		return &group.Load{Report: counts, Slots: load.Slots, ExpertBytes: load.ExpertBytes}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (o *engineOrders) execute(ctx context.Context, order group.Order) error {
	pool, known := o.pool(order.Pool)
	if !known {
		return ErrNotInGroup
	}
	apply := func() error { return o.apply(ctx, order) }
	if o.isFencedByEngine(pool, order.Kind) {
		return apply()
	}
	bounded, cancel := context.WithTimeout(ctx, epochReadTimeout)
	defer cancel()
	return o.fence.Do(bounded, group.LeaseName, order.Epoch, apply)
}

// isFencedByEngine reports whether the engine itself refuses stale epochs for
// this kind of order.
func (o *engineOrders) isFencedByEngine(pool *table.CompiledPool, kind group.OrderKind) bool {
	aboutMaps := kind == group.OrderLoadMap || kind == group.OrderPropose
	return pool.Fencing == table.FencingChecked && !aboutMaps
}

func (o *engineOrders) pool(name string) (*table.CompiledPool, bool) {
	snapshot := o.tables()
	if snapshot == nil {
		return nil, false
	}
	pool, found := snapshot.Pool(name)
	return pool, found && poolContains(pool, o.target)
}

func (o *engineOrders) apply(ctx context.Context, order group.Order) error {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch order.Kind {
	case group.OrderLoadMap:
		if order.Content == nil {
			return ErrInvalidOrder
		}
		return o.maps.LoadMap(bounded, order.Map, *order.Content)
	case group.OrderPropose:
		return o.applyProposal(bounded, order)
	case group.OrderLoadModel, group.OrderLoadAdapter, group.OrderLoadVersion, group.OrderChangeRole:
		// These kinds have the same names in the engine API.
		body := &engineapi.EngineOrder{Kind: engineapi.EngineOrderKind(order.Kind), Value: order.Value}
		_, err := o.api.PlaceOrder(bounded, body, engineapi.PlaceOrderParams{XEpoch: int64(order.Epoch)})
		return err
	default:
		return ErrInvalidOrder
	}
}

func (o *engineOrders) applyProposal(ctx context.Context, order group.Order) error {
	// The proposal must carry the order's epoch, because only the order's epoch has
	// been checked by the fence.
	if order.Proposal == nil || order.Proposal.ID.Epoch != order.Epoch {
		return ErrInvalidOrder
	}
	done := make(chan bool, 1)
	if !o.propose(*order.Proposal, done) {
		return ErrNotInGroup
	}
	select {
	case accepted := <-done:
		if !accepted {
			return ErrNotInGroup
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answerFor maps the result of an order to the answer for its sender. An error
// that does not prove that the order had no effect gives an unknown result.
func answerFor(id uint64, err error) group.Answer {
	if err == nil {
		return group.Answer{ID: id, Result: group.ResultDone}
	}
	answer := group.Answer{ID: id, Result: group.ResultUnknown, Reason: err.Error()}
	var stale *lease.StaleEpochError
	var refusal *failure.Error
	var engineAnswer *engineapi.FailureStatusCode
	switch {
	case errors.As(err, &stale):
		answer.Result, answer.StaleEpoch = group.ResultRefused, true
	case errors.Is(err, ErrNotInGroup), errors.Is(err, ErrInvalidOrder):
		answer.Result = group.ResultRefused
	case errors.As(err, &refusal) && refusal.Outcome == failure.NotRun:
		answer.Result = group.ResultRefused
	case errors.As(err, &engineAnswer):
		kind := engineAnswer.Response.Type
		answer.StaleEpoch = kind == engineapi.ErrorBodyTypeStaleEpoch
		if answer.StaleEpoch || kind == engineapi.ErrorBodyTypeRefused || kind == engineapi.ErrorBodyTypeBadRequest {
			answer.Result = group.ResultRefused
		}
	}
	return answer
}
