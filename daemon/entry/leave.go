package entry

import (
	"context"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/drain"
)

// leave ends the entry without cutting an answer: it disappears from
// /v1/entries, serves on for as long as callers may keep an older answer,
// finishes what is in flight, and closes. cut, or the limit in the settings,
// ends the wait.
func (e *Entry) leave(cut context.Context) {
	plan := drain.Plan{
		Clock: e.clock, Limit: e.settings.Shutdown.Timeout, Logger: e.log.Logger,
		Steps: []drain.Step{
			{Name: "leave the list of entries", Run: func(context.Context) error {
				e.leaving.Store(true)
				e.announce()
				return nil
			}},
			drain.Wait("wait for callers to ask again", e.clock, e.settings.Shutdown.EntriesTTL),
			{Name: "finish requests in flight", Run: e.callers.Shutdown},
		},
	}
	if err := plan.Run(cut.Done()); err != nil {
		e.log.WithError(err).Warn("requests in flight are cut")
		_ = e.callers.Close()
	}
	_ = e.operator.Close()
}

// announce tells the other entries of this one.
func (e *Entry) announce() {
	e.node.Peers.Broadcast(link.RoleEntry, messageEntry, &entryNotice{
		Name: e.settings.Name, CallerAddress: e.settings.CallerAddress,
		FailureDomain: e.settings.FailureDomain, Leaving: e.leaving.Load(),
	})
}

// announceOften tells the other entries of this one until ctx ends.
func (e *Entry) announceOften(ctx context.Context) {
	for ctx.Err() == nil {
		e.announce()
		select {
		case <-e.clock.After(noticeInterval):
		case <-ctx.Done():
		}
	}
}
