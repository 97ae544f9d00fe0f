package agent

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// catchUpLimit bounds the wait for a configuration that a peer has and this
// process has not.
const catchUpLimit = time.Second

// configuration is what the agent uses of the rollout of tables.
type configuration interface {
	// Current returns the snapshot in force, nil before the first.
	Current() *table.Snapshot
	// MayServe tells whether this process may start new work at all.
	MayServe() rollout.ServeDecision
	// WaitForVersion waits until a version at least as high is in force.
	WaitForVersion(ctx context.Context, version uint64) error
}

// permit decides whether new work may start under the tables: the agent's own
// rule, beside whatever the entry decided.
type permit struct {
	target        string
	configuration configuration
}

// check returns why no new work may start under the snapshot, or nil.
func (p *permit) check(snapshot *table.Snapshot) *failure.Error {
	if snapshot == nil {
		return failure.New(failure.NotReady, failure.NotRun, "the agent has no configuration yet").WithRetryAfter(catchUpLimit)
	}
	if verdict := p.configuration.MayServe(); !verdict.OK() {
		return failure.New(failure.NotReady, failure.NotRun, "the agent may not start work: "+string(verdict)).WithRetryAfter(catchUpLimit)
	}
	target, ok := snapshot.Target(p.target)
	if !ok {
		return failure.New(failure.Leaving, failure.NotRun, "the target is in no table")
	}
	if !target.Usable {
		return failure.New(failure.Leaving, failure.NotRun, "the target or its failure domain takes no new work")
	}
	return nil
}

// await waits until the snapshot in force is at least the version that the
// entry serves under, so that no work starts under an older configuration.
func (p *permit) await(ctx context.Context, version uint64) (*table.Snapshot, *failure.Error) {
	snapshot := p.configuration.Current()
	if snapshot != nil && snapshot.Version() >= version {
		return snapshot, nil
	}
	bounded, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	if err := p.configuration.WaitForVersion(bounded, version); err != nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "the agent's configuration is behind the entry's").WithRetryAfter(catchUpLimit)
	}
	return p.configuration.Current(), nil
}

// closedBy returns the reason to close the gate under the snapshot, if any.
func (p *permit) closedBy(snapshot *table.Snapshot) (admit.Reason, bool) {
	target, ok := snapshot.Target(p.target)
	if !ok || target.Leaving {
		return admit.ReasonLeaving, true
	}
	if target.Domain.Out {
		return admit.ReasonFailureDomainOut, true
	}
	return "", false
}
