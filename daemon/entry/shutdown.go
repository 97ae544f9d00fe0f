package entry

import (
	"context"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/drain"
)

// shutDown shuts the entry down gracefully: it removes the entry from /v1/entries,
// continues to serve for as long as callers may use an earlier list of entries,
// finishes the requests in flight, and closes the servers. When abort ends or the time
// limit in the settings is reached, requests still in flight are aborted.
func (e *Entry) shutDown(abort context.Context) {
	plan := drain.Plan{
		Clock: e.clock, Limit: e.settings.Shutdown.Timeout, Logger: e.log.Logger,
		Steps: []drain.Step{
			{Name: "leave the list of entries", Run: func(context.Context) error {
				e.leaving.Store(true)
				e.announce()
				return nil
			}},
			drain.Wait("wait until callers have refreshed the list of entries", e.clock, e.settings.Shutdown.EntriesTTL),
			{Name: "finish requests in flight", Run: e.callerServer.Shutdown},
		},
	}
	if err := plan.Run(abort.Done()); err != nil {
		e.log.WithError(err).Warn("shutdown did not complete; aborting requests in flight")
		_ = e.callerServer.Close()
	}
	_ = e.operatorServer.Close()
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
