package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/callers"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/drain"
	"verbenaseam.example/verbenaseam/request/finish"
)

// answerTime is how long before the time limit of the shutdown unfinished requests are ended, so that
// their callers receive a failure and not a closed connection.
const answerTime = 100 * time.Millisecond

// shutDown shuts the entry down gracefully: it removes the entry from /v1/entries,
// continues to serve for as long as callers may use an earlier list of entries,
// finishes the requests in flight, and closes the servers. Requests that come meanwhile and cannot be
// finished within the time limit in the settings are refused before they are passed on. When abort
// ends or the limit is reached, requests still in flight are ended.
func (e *Entry) shutDown(abort context.Context, listener *callers.Listener) {
	limit := e.settings.Shutdown.Timeout
	if limit > 0 {
		limit = max(limit-answerTime, answerTime)
		now := e.clock.Now()
		e.gateway.EndBy(finish.Ending{By: now.Add(limit), CallersGone: now.Add(e.settings.Shutdown.EntriesTTL)})
	}
	plan := drain.Plan{
		Clock: e.clock, Limit: limit, Logger: e.log.Logger,
		Steps: []drain.Step{
			{Name: "leave the list of entries", Run: func(context.Context) error {
				e.leaving.Store(true)
				e.announce()
				return nil
			}},
			drain.Wait("wait until callers have refreshed the list of entries", e.clock, e.settings.Shutdown.EntriesTTL),
			{Name: "finish requests in flight", Run: func(ctx context.Context) error {
				e.closeConnections.Store(true)
				listener.Drain(ctx)
				return ctx.Err()
			}},
		},
	}
	if err := plan.Run(abort.Done()); err != nil {
		e.log.WithError(err).Warn("shutdown did not complete; ending requests in flight")
		e.endUnfinished(listener)
	}
	_ = e.callerServer.Close()
	e.finishOperatorCalls()
}

// operatorTime is how long calls of operators may go on after the last caller has been served.
const operatorTime = time.Second

// finishOperatorCalls lets operators' calls under way finish, so that whoever applies a change learns
// whether it was applied.
func (e *Entry) finishOperatorCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTime)
	defer cancel()
	if err := e.operatorServer.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("calls of operators did not end in time; aborting them")
		_ = e.operatorServer.Close()
	}
}

// endUnfinished ends the requests that are left and gives their callers time to receive that.
func (e *Entry) endUnfinished(listener *callers.Listener) {
	for _, run := range e.gateway.Unfinished() {
		e.log.WithFields(logrus.Fields{
			"request": run.Request, "route": run.Work.Route, "pool": run.Target, "age_ms": e.clock.Since(run.Began).Milliseconds(),
		}).Warn("request ended by the shutdown")
	}
	e.gateway.End()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	listener.Drain(ctx)
}

// announce sends this entry's announcement to the other entries.
func (e *Entry) announce() {
	e.node.Peers.Broadcast(link.RoleEntry, messageAnnouncement, &announcement{
		Name: e.settings.Name, CallerAddress: e.settings.CallerAddress,
		FailureDomain: e.settings.FailureDomain, Leaving: e.leaving.Load(),
	})
}

// runAnnouncements announces this entry every announceInterval until ctx ends.
func (e *Entry) runAnnouncements(ctx context.Context) {
	for ctx.Err() == nil {
		e.announce()
		select {
		case <-e.clock.After(announceInterval):
		case <-ctx.Done():
		}
	}
}
