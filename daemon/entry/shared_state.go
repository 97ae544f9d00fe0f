package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/stream"
)

// sharingInterval is the time between two broadcasts of the state that entries share.
// Changes to crash evidence, and new failures, are also sent immediately.
const sharingInterval = time.Second

// healthRefreshInterval is the time between two refreshes of the failure correlator. A
// refresh recomputes the weights of past failures and drops the records of
// targets whose last failure is too old to count.
const healthRefreshInterval = time.Hour

// runHealthRefresh refreshes the failure correlator every healthRefreshInterval until
// ctx ends.
func (e *Entry) runHealthRefresh(ctx context.Context) {
	for ctx.Err() == nil {
		e.health.Refresh()
		select {
		case <-e.clock.After(healthRefreshInterval):
		case <-ctx.Done():
		}
	}
}

// runStateSharing broadcasts demand and crash evidence every sharingInterval until ctx
// ends.
func (e *Entry) runStateSharing(ctx context.Context) {
	for ctx.Err() == nil {
		e.broadcastDemand()
		if evidence := e.poison.Evidence(); len(evidence.Crashes) > 0 {
			e.broadcastEvidence()
		}
		select {
		case <-e.clock.After(sharingInterval):
		case <-ctx.Done():
		}
	}
}

// broadcastDemand sends the demand of organisations at this entry to the other entries,
// for their quotas.
func (e *Entry) broadcastDemand() {
	report := e.quotas.Report(nil)
	if len(report.Demands) > 0 {
		e.node.Peers.Broadcast(link.RoleEntry, stream.MessageDemand, &report)
	}
}

// broadcastEvidence sends the evidence about requests suspected of crashing engines to
// all entries and agents.
func (e *Entry) broadcastEvidence() {
	evidence := e.poison.Evidence()
	e.node.Peers.Broadcast(link.RoleEntry, stream.MessageEvidence, &evidence)
	e.node.Peers.Broadcast(link.RoleAgent, stream.MessageEvidence, &evidence)
}

// recordCrash records an agent's report that an engine incarnation ended.
func (e *Entry) recordCrash(report stream.CrashReport) {
	e.targets.RecordLoss(report.Target)
	age := time.Duration(report.AgeMillis) * time.Millisecond
	changed := e.poison.Crashed(poison.Crash{
		Target: report.Target, Incarnation: report.EngineIncarnation,
		Fingerprints: report.Fingerprints, OnTrial: report.OnTrial,
	}, age)
	if changed {
		e.broadcastEvidence()
	}
	e.recordFailures([]health.Failure{{
		Target: report.Target, Incarnation: xxhash.Sum64String(report.EngineIncarnation),
		AtMillis: e.clock.Now().Add(-age).UnixMilli(),
	}})
}

// mergeEvidence merges a peer's evidence and broadcasts the result if it changed
// anything.
func (e *Entry) mergeEvidence(evidence poison.Evidence) {
	if e.poison.Merge(evidence) {
		e.broadcastEvidence()
	}
}

// recordFailures records failures and broadcasts those that were not known before.
func (e *Entry) recordFailures(failures []health.Failure) {
	added := e.health.Record(failures...)
	if len(added) > 0 {
		e.node.Peers.Broadcast(link.RoleEntry, stream.MessageFailures, added)
	}
}
