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
	// orderQueue bounds the orders that wait.
	orderQueue = 32
	// orderTimeout bounds the time an engine takes for an order.
	orderTimeout = 30 * time.Second
	// readTimeout bounds the time an engine takes to tell something.
	readTimeout = time.Second
	// floorTimeout bounds the read of a lease's epoch from the platform's table.
	floorTimeout = time.Second
)

// ErrUnknownOrder means that an order's kind is not known or lacks its part.
var ErrUnknownOrder = eris.New("order of an unknown kind")

// ErrNotInGroup means that the agent takes part in no group now.
var ErrNotInGroup = eris.New("the agent takes part in no group now")

// orderAPI is what orders use of the engine.
type orderAPI interface {
	PlaceOrder(ctx context.Context, order *engineapi.EngineOrder, params engineapi.PlaceOrderParams) (*engineapi.EngineOrderResult, error)
}

// mapLoader loads maps on the engine and reads them.
type mapLoader interface {
	LoadMap(ctx context.Context, id expertmap.MapID, placed placement.Map) error
	ReadMap(ctx context.Context, id expertmap.MapID) (placement.Map, error)
	ExpertLoad(ctx context.Context) (engine.ExpertLoad, error)
}

// engineOrders carries out the orders of lease holders one by one. Orders that
// the engine does not fence itself go through the floor: those about expert
// maps always, the rest where the pool says that fencing is ignored.
type engineOrders struct {
	target string
	api    orderAPI
	maps   mapLoader
	// propose hands a proposal to the group; see groupRank.propose.
	propose func(proposal expertmap.Proposal, done chan<- bool) bool
	// listen hands over what a load report starts from; see groupRank.listen.
	listen func(peer string, into chan<- placement.Report) bool
	tables func() *table.Snapshot
	floor  *lease.Fence
	// answer tells a peer the end of its order.
	answer func(peer string, answer group.Answer)
	log    *logrus.Entry
	// queue holds the orders, reads those that change nothing and so need not
	// wait behind a model's load.
	queue, reads chan receivedOrder
}

type receivedOrder struct {
	peer  string
	order group.Order
}

func newEngineOrders(a *Agent, rows platform.Table) *engineOrders {
	return &engineOrders{
		target: a.settings.Name, api: a.engine.API(), maps: a.engine, propose: a.group.propose, listen: a.group.listen,
		tables: a.node.Current, floor: lease.NewFence(rows), log: a.log.WithField("part", "engine order"),
		answer: func(peer string, answer group.Answer) {
			// An answer that is lost leaves the order unknown to its sender.
			_ = a.node.Peers.Send(peer, group.MessageAnswer, &answer)
		},
		queue: make(chan receivedOrder, orderQueue), reads: make(chan receivedOrder, orderQueue),
	}
}

// receive queues an order of an entry; it does not block.
func (o *engineOrders) receive(peer link.Identity, body []byte) {
	var order group.Order
	if err := link.Unmarshal(body, &order); err != nil || peer.Role != link.RoleEntry {
		o.log.WithField("peer", peer.Name).Warn("malformed order")
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

// run carries out the orders.
func (o *engineOrders) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-o.queue:
			err := o.carryOut(ctx, received.order)
			o.end(received, answerTo(received.order.ID, err))
		}
	}
}

// runReads answers the orders that change nothing; they need no epoch.
func (o *engineOrders) runReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-o.reads:
			o.end(received, o.read(ctx, received))
		}
	}
}

func (o *engineOrders) end(received receivedOrder, answer group.Answer) {
	if answer.Result != group.ResultDone {
		o.log.WithField("kind", received.order.Kind).WithField("reason", answer.Reason).Warn("order not carried out")
	}
	o.answer(received.peer, answer)
}

func (o *engineOrders) read(ctx context.Context, received receivedOrder) group.Answer {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	order := received.order
	if order.Kind == group.OrderReadMap {
		placed, err := o.maps.ReadMap(bounded, order.Map)
		answer := answerTo(order.ID, err)
		if err == nil {
			answer.Content = &placed
		}
		return answer
	}
	load, err := o.readLoad(bounded, received.peer)
	answer := answerTo(order.ID, err)
	if err == nil {
		load.Pool, load.Target = order.Pool, o.target
		answer.Load = load
	}
	return answer
}

func (o *engineOrders) readLoad(ctx context.Context, peer string) (*group.Load, error) {
	starts := make(chan placement.Report, 1)
	if !o.listen(peer, starts) {
		return nil, ErrNotInGroup
	}
	select {
	case report, ok := <-starts:
		if !ok {
			return nil, ErrNotInGroup
		}
		load, err := o.maps.ExpertLoad(ctx)
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

func (o *engineOrders) carryOut(ctx context.Context, order group.Order) error {
	pool, known := o.pool(order.Pool)
	if !known {
		return ErrNotInGroup
	}
	apply := func() error { return o.apply(ctx, order) }
	if o.engineFences(pool, order.Kind) {
		return apply()
	}
	bounded, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	return o.floor.Do(bounded, group.LeaseName, order.Epoch, apply)
}

// engineFences tells whether the engine itself refuses old epochs.
func (o *engineOrders) engineFences(pool *table.CompiledPool, kind group.OrderKind) bool {
	aboutMaps := kind == group.OrderLoadMap || kind == group.OrderPropose
	return pool.Fencing == table.FencingChecked && !aboutMaps
}

func (o *engineOrders) pool(name string) (*table.CompiledPool, bool) {
	snapshot := o.tables()
	if snapshot == nil {
		return nil, false
	}
	pool, found := snapshot.Pool(name)
	return pool, found && holds(pool, o.target)
}

func (o *engineOrders) apply(ctx context.Context, order group.Order) error {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch order.Kind {
	case group.OrderLoadMap:
		if order.Content == nil {
			return ErrUnknownOrder
		}
		return o.maps.LoadMap(bounded, order.Map, *order.Content)
	case group.OrderPropose:
		return o.takeUp(bounded, order)
	case group.OrderLoadModel, group.OrderLoadAdapter, group.OrderLoadVersion, group.OrderChangeRole:
		// The kinds bear the engine's own names.
		body := &engineapi.EngineOrder{Kind: engineapi.EngineOrderKind(order.Kind), Value: order.Value}
		_, err := o.api.PlaceOrder(bounded, body, engineapi.PlaceOrderParams{XEpoch: int64(order.Epoch)})
		return err
	default:
		return ErrUnknownOrder
	}
}

func (o *engineOrders) takeUp(ctx context.Context, order group.Order) error {
	// A proposal speaks for its own epoch only, so that the floor covers it.
	if order.Proposal == nil || order.Proposal.ID.Epoch != order.Epoch {
		return ErrUnknownOrder
	}
	done := make(chan bool, 1)
	if !o.propose(*order.Proposal, done) {
		return ErrNotInGroup
	}
	select {
	case taken := <-done:
		if !taken {
			return ErrNotInGroup
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answerTo tells what an error means for the order's sender.
func answerTo(id uint64, err error) group.Answer {
	if err == nil {
		return group.Answer{ID: id, Result: group.ResultDone}
	}
	answer := group.Answer{ID: id, Result: group.ResultUnknown, Reason: err.Error()}
	var stale *lease.StaleEpochError
	var refusal *failure.Error
	var engineAnswer *engineapi.FailureStatusCode
	switch {
	case errors.As(err, &stale):
		answer.Result, answer.Stale = group.ResultRefused, true
	case errors.Is(err, ErrNotInGroup), errors.Is(err, ErrUnknownOrder):
		answer.Result = group.ResultRefused
	case errors.As(err, &refusal) && refusal.Outcome == failure.NotRun:
		answer.Result = group.ResultRefused
	case errors.As(err, &engineAnswer):
		kind := engineAnswer.Response.Type
		answer.Stale = kind == engineapi.ErrorBodyTypeStaleEpoch
		if answer.Stale || kind == engineapi.ErrorBodyTypeRefused || kind == engineapi.ErrorBodyTypeBadRequest {
			answer.Result = group.ResultRefused
		}
	}
	return answer
}
