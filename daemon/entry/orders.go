package entry

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/request/gateway"
	"verbenaseam.example/verbenaseam/request/order"
)

// initOrders sets up once-only orders, which are dispatched over the gateway's links.
func (e *Entry) initOrders(cfg Config) error {
	e.recorder = order.NewRecorder(order.RecorderConfig{Table: cfg.Platform, Clock: cfg.Clock})
	var err error
	e.orders, err = order.NewCoordinator(order.Config{
		Table:      cfg.Platform,
		Writer:     e.recorder,
		Dispatcher: gateway.NewOrderDispatcher(e.gateway),
		Clock:      cfg.Clock,
	})
	if err != nil {
		return err
	}
	e.gateway.SetOrders(e.orders)
	return nil
}

const (
	// orderWritesPerSecond is the rate at which all entries together write order
	// records; the rest of the platform's rate is for operators and leases.
	orderWritesPerSecond = 320
	sweepInterval        = time.Minute
	sweepPageSize        = platform.MaxTxnOperations / 2
)

// runOrderMaintenance updates this entry's share of the platform's write rate every
// sweepInterval until ctx ends. The live entry whose name sorts first also deletes
// expired order records.
func (e *Entry) runOrderMaintenance(ctx context.Context) {
	for ctx.Err() == nil {
		others := e.peerEntries.live()
		e.recorder.SetCommitsPerSecond(orderWritesPerSecond / float64(len(others)+1))
		if len(others) == 0 || e.settings.Name < others[0].Name {
			e.sweepOrders(ctx)
		}
		select {
		case <-e.clock.After(sweepInterval):
		case <-ctx.Done():
		}
	}
}

func (e *Entry) sweepOrders(ctx context.Context) {
	for after := ""; ctx.Err() == nil; {
		swept, err := e.orders.Sweep(ctx, after, sweepPageSize)
		if err != nil {
			e.log.WithError(err).Debug("sweep of order records failed")
			return
		}
		if swept.NextAfter == "" {
			return
		}
		after = swept.NextAfter
	}
}

// GetOrder implements operatorapi.Handler.
func (o *operatorAPI) GetOrder(ctx context.Context, params operatorapi.GetOrderParams) (*operatorapi.Order, error) {
	record, err := o.entry.orders.GetRecord(ctx, params.Organisation, params.Key)
	if err != nil {
		return nil, err
	}
	response := &operatorapi.Order{
		Organisation: record.Organisation, Key: record.Key,
		State: record.State.String(), Attempt: record.Attempt,
		Target:      operatorapi.NewOptString(record.Target),
		Incarnation: operatorapi.NewOptString(record.Incarnation),
		Created:     operatorapi.NewOptDateTime(record.Created),
	}
	if record.Result != nil {
		response.Status = operatorapi.NewOptInt(record.Result.Status)
	}
	return response, nil
}
