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

// shareInterval is the time between two tellings of what entries share, beside
// news, which go out at once.
const shareInterval = time.Second

// ageInterval is the time between two looks for failures that weigh nothing any
// more.
const ageInterval = time.Hour

// ageOften lets old failures lose weight until ctx ends.
func (e *Entry) ageOften(ctx context.Context) {
	for ctx.Err() == nil {
		e.health.Refresh()
		select {
		case <-e.clock.After(ageInterval):
		case <-ctx.Done():
		}
	}
}

// shareOften tells the other entries what they share until ctx ends.
func (e *Entry) shareOften(ctx context.Context) {
	for ctx.Err() == nil {
		e.shareDemand()
		if evidence := e.poison.Share(); len(evidence.Crashes) > 0 {
			e.shareEvidence()
		}
		select {
		case <-e.clock.After(shareInterval):
		case <-ctx.Done():
		}
	}
}

func (e *Entry) shareDemand() {
	report := e.quotas.Report(nil)
	if len(report.Demands) > 0 {
		e.node.Peers.Broadcast(link.RoleEntry, stream.MessageDemand, &report)
	}
}

// shareEvidence tells entries and agents which requests are suspected.
func (e *Entry) shareEvidence() {
	evidence := e.poison.Share()
	e.node.Peers.Broadcast(link.RoleEntry, stream.MessageEvidence, &evidence)
	e.node.Peers.Broadcast(link.RoleAgent, stream.MessageEvidence, &evidence)
}

// engineEnded takes in an agent's report of the end of an engine incarnation.
func (e *Entry) engineEnded(report stream.CrashReport) {
	e.targets.RecordLoss(report.Target)
	age := time.Duration(report.AgeMillis) * time.Millisecond
	news := e.poison.Crashed(poison.Crash{
		Target: report.Target, Incarnation: report.EngineIncarnation,
		Fingerprints: report.Fingerprints, OnTrial: report.OnTrial,
	}, age)
	if news {
		e.shareEvidence()
	}
	e.recordFailures([]health.Failure{{
		Target: report.Target, Incarnation: xxhash.Sum64String(report.EngineIncarnation),
		AtMillis: e.clock.Now().Add(-age).UnixMilli(),
	}})
}

// mergeEvidence takes in a peer's evidence and passes news on.
func (e *Entry) mergeEvidence(evidence poison.Evidence) {
	if e.poison.Merge(evidence) {
		e.shareEvidence()
	}
}

// recordFailures takes in failures and passes news on.
func (e *Entry) recordFailures(failures []health.Failure) {
	news := e.health.Record(failures...)
	if len(news) > 0 {
		e.node.Peers.Broadcast(link.RoleEntry, stream.MessageFailures, news)
	}
}
