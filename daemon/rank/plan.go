package rank

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

const (
	// storeReadInterval is the shortest time between two reads of the store by an agent
	// that is to plan, or plans, and lacks the experts' configuration or the address of
	// another agent.
	storeReadInterval = time.Second
	// storeTimeout limits the time of one read of the store.
	storeTimeout = 3 * time.Second
)

// storeData is the data that a planner reads from the store.
type storeData struct {
	experts *config.Experts
	// streamGap is the longest allowed time between two events of a stream of the
	// service; 0 if none is configured.
	streamGap time.Duration
	// agentAddresses holds the UDP addresses of the agents on the service's hosts.
	agentAddresses []netip.AddrPort
	// targetAddresses holds the addresses of the targets by host.
	targetAddresses map[netip.Addr]string
}

// startPlanningIfNeeded makes this agent the planner if no directive has arrived for the
// waiting time of its rank. Rank 0 does not wait.
func (a *Agent) startPlanningIfNeeded(ctx context.Context, now time.Time) {
	report := a.engine.LastReport()
	if a.planner != nil || !report.Stepping || report.Group != a.identity.group {
		return
	}
	lastHeard := a.formedAt
	if a.directive != nil {
		lastHeard = a.directiveReceivedAt
	}
	wait := plannerTimeout + 2*roundCount(report.Size)*minDirectiveInterval + time.Duration(report.Rank)*plannerStagger
	if report.Rank == 0 {
		wait = 0
	}
	if now.Sub(lastHeard) < wait {
		return
	}
	if a.experts == nil || len(a.agentAddresses) == 0 {
		a.startStoreRead(ctx, now)
		return
	}
	a.directive = nil
	a.planner = rebalance.NewPlanner(report.Group, *a.experts, a.streamGap, a.statusOf(report), rebalance.DefaultPolicy())
	a.log.WithFields(logrus.Fields{"group": report.Group.String(), "rank": report.Rank}).Info("planning")
}

// startStoreRead starts a read of the store in a goroutine of its own, at most once per
// storeReadInterval.
func (a *Agent) startStoreRead(ctx context.Context, now time.Time) {
	if now.Sub(a.storeReadAt) < storeReadInterval {
		return
	}
	a.storeReadAt = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		data, err := a.readStore(ctx)
		if err != nil {
			a.log.WithError(err).Warn("reading the store failed")
			return
		}
		select {
		case a.storeReads <- data:
		default:
		}
	}()
}

func (a *Agent) readStore(ctx context.Context) (storeData, error) {
	data := storeData{targetAddresses: map[netip.Addr]string{}}
	rows, _, err := a.store.Read(ctx, platform.TableOperator)
	if err != nil {
		return data, err
	}
	for _, row := range rows {
		if row.Key != platform.KeyConfiguration {
			continue
		}
		version, err := platform.DecodeConfiguration(row.Value)
		if err != nil {
			return data, err
		}
		if service := version.Services[a.settings.Service]; service != nil && service.Engine != nil {
			data.experts = service.Engine.Experts
		}
		data.streamGap = version.MinStreamGap(a.settings.Service)
	}
	rows, _, err = a.store.Read(ctx, platform.TableTargets)
	if err != nil {
		return data, err
	}
	for _, row := range rows {
		registration, err := platform.DecodeRegistration(row)
		if err != nil || registration.Service != a.settings.Service {
			continue
		}
		if address, ok := a.agentAddress(registration.Address); ok {
			data.agentAddresses = append(data.agentAddresses, address)
			data.targetAddresses[address.Addr()] = registration.Address
		}
	}
	return data, nil
}

// agentAddress returns the UDP address of the agent of a target: the target's host and
// the port that all agents use.
func (a *Agent) agentAddress(target string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address.Addr(), a.port), true
}

func (a *Agent) applyStoreData(data storeData) {
	if data.experts != nil {
		a.experts, a.streamGap = data.experts, data.streamGap
	}
	if len(data.agentAddresses) > 0 {
		a.agentAddresses, a.targetAddresses = data.agentAddresses, data.targetAddresses
	}
}

// runPlanner runs the planner, if this agent plans, and sends its proposals and
// directives. It ends planning when the group no longer steps.
func (a *Agent) runPlanner(now time.Time) {
	if a.planner == nil {
		return
	}
	if report := a.engine.LastReport(); !report.Stepping || report.Group != a.planner.Group() {
		a.planner = nil
		return
	}
	decision, proposal := a.planner.Step(a.engine.LastReport().Step, now)
	a.logDecision(decision)
	if proposal != nil {
		a.propose(*proposal, now)
	}
	newMap := decision != nil && decision.Kind == rebalance.Prepare
	if newMap {
		a.assembly.Remember(a.planner.MapToCopy())
	}
	if newMap || now.Sub(a.directiveSentAt) >= a.directiveInterval() {
		a.directiveSentAt = now
		a.queueDirectives(now, newMap)
	}
	a.sendOutbox()
}

// propose holds the group at the proposal's step and starts the vote on the proposal. If
// the group cannot be held, it reports the proposal to the planner as aborted.
func (a *Agent) propose(proposal expertmap.Proposal, now time.Time) {
	proposal.GroupHeld, proposal.Proposer = true, a.engine.LastReport().Rank
	held, err := a.holdGroup(&proposal)
	if err != nil {
		a.log.WithError(err).Debug("holding the group failed")
	}
	if err != nil || !held {
		a.logDecision(a.planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Abort}, now))
		return
	}
	a.driver.Propose(now, proposal)
}

// holdGroup makes the engine of another rank hold the group for the proposal and sets
// that rank as the proposal's holder. It reports whether the group is held.
func (a *Agent) holdGroup(proposal *expertmap.Proposal) (bool, error) {
	report := a.engine.LastReport()
	directive := a.planner.Directive()
	for next := 1; next < report.Size; next++ {
		rank := (report.Rank + next) % report.Size
		host, known := directive.Host(rank)
		address := a.targetAddresses[host]
		if !known || host == a.host || address == "" {
			continue
		}
		proposal.Holder = rank
		return expertmap.HoldGroup(engineCommands{a.remoteTarget(address)}, *proposal)
	}
	return false, nil
}

// remoteTarget returns the client of the target at an address, creating it on first
// use.
func (a *Agent) remoteTarget(address string) *platform.RankClient {
	if a.remoteTargets[address] == nil {
		a.remoteTargets[address] = platform.NewRankClient(address, platform.RemoteCommandTimeout)
	}
	return a.remoteTargets[address]
}

// readTargetsAgain reads the store again for ranks whose hosts are not known, once the
// group has existed for storeReadInterval.
func (a *Agent) readTargetsAgain(now time.Time) {
	if now.Sub(a.formedAt) > storeReadInterval {
		a.startStoreRead(context.Background(), now)
	}
}

// logDecision logs a decision of the planner and updates the metrics.
func (a *Agent) logDecision(decision *rebalance.Decision) {
	if decision == nil {
		return
	}
	a.log.WithFields(logrus.Fields{
		"group": a.planner.Group().String(), "map": decision.Map.Number(), "copies": decision.Plan.Copies, "most": decision.Plan.PeakCopiesPerRank,
		"before": decision.Plan.SkewBefore, "after": decision.Plan.SkewAfter, "took_ms": decision.Took.Milliseconds(),
	}).Info("map: " + string(decision.Kind))
	a.recordDecisionMetrics(decision)
}

func (a *Agent) recordDecisionMetrics(decision *rebalance.Decision) {
	group := a.planner.Group().Name
	switch decision.Kind {
	case rebalance.Prepare:
		a.metrics.ObserveSkew(group, placement.Skew{Step: decision.Plan.SkewBefore, Barrier: decision.Plan.SkewBefore})
		a.metrics.AddMoves(group, decision.Plan.Copies, int(float64(decision.Plan.Copies)*a.experts.Megabytes*bytesPerMegabyte))
	case rebalance.Agreed, rebalance.Aborted:
		a.metrics.ObserveSwitch(group, string(decision.Kind), decision.Took)
	}
}

const bytesPerMegabyte = 1e6
