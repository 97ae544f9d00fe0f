package agent

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// configurationWaitTimeout bounds the wait for a configuration that a peer has
// and this process has not received yet. It is also the retry delay of the refusals
// that a configuration may lift.
const configurationWaitTimeout = time.Second

// configurationSource provides the tables in force and their rollout state.
type configurationSource interface {
	// Current returns the snapshot in force, or nil before the first.
	Current() *table.Snapshot
	// MayServe returns whether this process may start new work.
	MayServe() rollout.ServeDecision
	// WaitForVersion waits until a version at least as high is in force.
	WaitForVersion(ctx context.Context, version uint64) error
}

// configurationGuard decides whether the tables allow new work to start. The
// agent applies this check independently of the entry's decision.
type configurationGuard struct {
	target        string
	configuration configurationSource
}

// check returns a refusal if the snapshot does not allow new work, and nil otherwise.
func (g *configurationGuard) check(snapshot *table.Snapshot) *failure.Error {
	if snapshot == nil {
		return failure.New(failure.NotReady, failure.NotRun, "the agent has no configuration yet").WithRetryAfter(configurationWaitTimeout)
	}
	if decision := g.configuration.MayServe(); !decision.OK() {
		return failure.New(failure.NotReady, failure.NotRun, "the agent may not start work: "+string(decision)).WithRetryAfter(configurationWaitTimeout)
	}
	target, ok := snapshot.Target(g.target)
	if !ok {
		return failure.New(failure.Leaving, failure.NotRun, "the target is in no table")
	}
	if !target.Usable {
		return failure.New(failure.Leaving, failure.NotRun, "the target or its failure domain takes no new work")
	}
	return nil
}

// awaitVersion waits until the version in force is at least the one the entry
// uses, so that no work starts under an older configuration.
func (g *configurationGuard) awaitVersion(ctx context.Context, version uint64) (*table.Snapshot, *failure.Error) {
	snapshot := g.configuration.Current()
	if snapshot != nil && snapshot.Version() >= version {
		return snapshot, nil
	}
	bounded, cancel := context.WithTimeout(ctx, configurationWaitTimeout)
	defer cancel()
	if err := g.configuration.WaitForVersion(bounded, version); err != nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "the agent's configuration is behind the entry's").WithRetryAfter(configurationWaitTimeout)
	}
	return g.configuration.Current(), nil
}

// closeReason returns the reason for which the snapshot requires the gate to be
// closed, if any.
func (g *configurationGuard) closeReason(snapshot *table.Snapshot) (admit.Reason, bool) {
	target, ok := snapshot.Target(g.target)
	if !ok || target.Leaving {
		return admit.ReasonLeaving, true
	}
	if target.Domain.Out {
		return admit.ReasonFailureDomainOut, true
	}
	return "", false
}
