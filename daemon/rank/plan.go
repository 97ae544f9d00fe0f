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
	// askEvery is the time between two reads of the store by an agent that lacks
	// something.
	askEvery = time.Second
	// storeTimeout bounds one read.
	storeTimeout = 3 * time.Second
)

// storeFacts is what an agent that plans reads from the store.
type storeFacts struct {
	experts *config.Experts
	// gap is the longest pause that a stream of the service may have.
	gap time.Duration
	// addresses are those at which the agents of the service's hosts take
	// datagrams.
	addresses []netip.AddrPort
	// targets are the targets' addresses by host.
	targets map[netip.Addr]string
}

// role takes planning over when no lower rank plans.
func (a *Agent) role(ctx context.Context, now time.Time) {
	report := a.engine.LastReport()
	if a.planner != nil || !report.Stepping {
		return
	}
	heard := a.since
	if a.directive != nil {
		heard = a.directiveHeard
	}
	wait := plannerSilence + 2*rounds(report.Size)*directiveEvery + time.Duration(report.Rank)*plannerStagger
	if report.Rank == 0 {
		wait = 0
	}
	if now.Sub(heard) < wait {
		return
	}
	if a.experts == nil || len(a.addresses) == 0 {
		a.ask(ctx, now)
		return
	}
	a.directive = nil
	a.planner = rebalance.NewPlanner(*a.experts, a.gap, a.statusOf(report), rebalance.DefaultPolicy())
	a.log.WithField("rank", report.Rank).Info("planning")
}

// ask reads the store beside the agent's work.
func (a *Agent) ask(ctx context.Context, now time.Time) {
	if now.Sub(a.asked) < askEvery {
		return
	}
	a.asked = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		found, err := a.read(ctx)
		if err != nil {
			a.log.WithError(err).Warn("store not read")
			return
		}
		select {
		case a.facts <- found:
		default:
		}
	}()
}

func (a *Agent) read(ctx context.Context) (storeFacts, error) {
	found := storeFacts{targets: map[netip.Addr]string{}}
	rows, _, err := a.store.Read(ctx, platform.TableOperator)
	if err != nil {
		return found, err
	}
	for _, row := range rows {
		if row.Key != platform.KeyConfiguration {
			continue
		}
		version, err := platform.DecodeConfiguration(row.Value)
		if err != nil {
			return found, err
		}
		if service := version.Services[a.settings.Service]; service != nil && service.Engine != nil {
			found.experts = service.Engine.Experts
		}
		found.gap = version.MinStreamGap(a.settings.Service)
	}
	rows, _, err = a.store.Read(ctx, platform.TableTargets)
	if err != nil {
		return found, err
	}
	for _, row := range rows {
		registration, err := platform.DecodeRegistration(row)
		if err != nil || registration.Service != a.settings.Service {
			continue
		}
		if address, ok := a.peerOf(registration.Address); ok {
			found.addresses = append(found.addresses, address)
			found.targets[address.Addr()] = registration.Address
		}
	}
	return found, nil
}

// peerOf returns where the agent beside a target takes datagrams: on the
// target's host, at the port that all agents use.
func (a *Agent) peerOf(target string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address.Addr(), a.port), true
}

func (a *Agent) learn(found storeFacts) {
	if found.experts != nil {
		a.experts, a.gap = found.experts, found.gap
	}
	if len(found.addresses) > 0 {
		a.addresses, a.targets = found.addresses, found.targets
	}
}

// plan does the planner's part.
func (a *Agent) plan(now time.Time) {
	if a.planner == nil {
		return
	}
	if !a.engine.LastReport().Stepping {
		a.planner = nil
		return
	}
	decision, proposal := a.planner.Step(a.engine.LastReport().Step, now)
	a.note(decision)
	if proposal != nil {
		a.propose(*proposal, now)
	}
	first := decision != nil && decision.Kind == rebalance.Prepare
	if first || now.Sub(a.directed) >= a.directiveInterval() {
		a.directed = now
		a.direct(now, first)
	}
	a.sendOutbox()
}

// propose has the group held and puts a proposal to the vote.
func (a *Agent) propose(proposal expertmap.Proposal, now time.Time) {
	proposal.Kept, proposal.Proposer = true, a.engine.LastReport().Rank
	kept, err := a.keep(&proposal)
	if err != nil {
		a.log.WithError(err).Debug("the group is not held")
	}
	if err != nil || !kept {
		a.note(a.planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Abort}, now))
		return
	}
	a.driver.Propose(now, proposal)
}

// keep has another rank's engine hold the group for the proposal, and names that
// rank in it.
func (a *Agent) keep(proposal *expertmap.Proposal) (bool, error) {
	report := a.engine.LastReport()
	directive := a.planner.Directive()
	for next := 1; next < report.Size; next++ {
		rank := (report.Rank + next) % report.Size
		host, known := directive.Host(rank)
		address := a.targets[host]
		if !known || host == a.host || address == "" {
			continue
		}
		proposal.Keeper = rank
		return expertmap.HoldGroup(orders{a.remote(address)}, *proposal)
	}
	return false, nil
}

// remote returns the client of another host's target.
func (a *Agent) remote(address string) *platform.Rank {
	if a.remotes[address] == nil {
		a.remotes[address] = platform.NewRank(address)
	}
	return a.remotes[address]
}

// directiveInterval leaves ranks time to copy a map before it is sent to them
// whole.
func (a *Agent) directiveInterval() time.Duration {
	interval := rounds(a.engine.LastReport().Size) * directiveEvery
	if a.planner.Next() != nil {
		interval = max(interval, wholeAfter)
	}
	return interval
}

// wholeAfter is the time after which a map is sent whole to ranks that have not
// copied it.
const wholeAfter = 300 * time.Millisecond

// outgoing is a directive that the planner has yet to send to an agent.
type outgoing struct {
	to netip.AddrPort
	// first tells that the map in it has not been sent to the agent yet.
	first bool
}

const (
	// agentsAtOnce is how many agents are sent to in one tick: more at once would
	// be lost where the link is narrow. wholesAtOnce is the same for whole maps.
	agentsAtOnce = 16
	wholesAtOnce = 3
)

// direct puts a directive to all agents on its way.
func (a *Agent) direct(now time.Time, first bool) {
	a.outbox = a.outbox[:0]
	for _, address := range a.addresses {
		if address.Addr() != a.host {
			a.outbox = append(a.outbox, outgoing{address, first})
		}
	}
	directive := a.planner.Directive()
	if directive.KnownHosts() < a.engine.LastReport().Size {
		a.askMissing(now)
	}
}

// sendOutbox sends some of what waits. The map goes only to those that have not
// copied it: as a change of the one in use at first, and whole to those that it
// did not help.
func (a *Agent) sendOutbox() {
	if len(a.outbox) == 0 {
		return
	}
	directive := a.planner.Directive()
	prepared := map[netip.Addr]bool{}
	for rank := range a.engine.LastReport().Size {
		if host, known := directive.Host(rank); known {
			prepared[host] = a.planner.Prepared(rank)
		}
	}
	round := a.round(directive)
	sent, wholes := 0, 0
	for sent < min(agentsAtOnce, len(a.outbox)) && wholes < wholesAtOnce {
		one := a.outbox[sent]
		sent++
		switch {
		case prepared[one.to.Addr()] || len(round.whole) == 0:
			a.write(one.to, round.directive)
		case one.first && len(round.change) > 0:
			a.writeAll(one.to, round.change)
		default:
			wholes++
			a.write(one.to, round.directive)
			a.writeAll(one.to, round.whole)
		}
	}
	a.outbox = append(a.outbox[:0], a.outbox[sent:]...)
}

// round is what goes to agents that need the same, encoded once.
type round struct {
	// directive goes to those that need no map, and before whole, the map under way.
	directive []byte
	whole     [][]byte
	// change is the directive with the map as a change of the one in use; empty if
	// it does not fit.
	change [][]byte
}

func (a *Agent) round(directive rebalance.Directive) round {
	made := round{directive: a.encode(rebalance.Envelope{Directive: &directive})}
	next := a.planner.Next()
	if next == nil {
		return made
	}
	for _, part := range next.Parts() {
		made.whole = append(made.whole, a.encode(rebalance.Envelope{Part: &part}))
	}
	delta, small := a.planner.Delta()
	switch {
	case small && delta.FitsWithDirective(&directive):
		made.change = [][]byte{a.encode(rebalance.Envelope{Directive: &directive, Delta: &delta})}
	case small:
		made.change = [][]byte{made.directive, a.encode(rebalance.Envelope{Delta: &delta})}
	}
	return made
}

func (a *Agent) writeAll(to netip.AddrPort, messages [][]byte) {
	for _, message := range messages {
		a.write(to, message)
	}
}

// askMissing reads the targets anew while members are missing.
func (a *Agent) askMissing(now time.Time) {
	if now.Sub(a.since) > askEvery {
		a.ask(context.Background(), now)
	}
}

// note writes a decision of the planner down.
func (a *Agent) note(decision *rebalance.Decision) {
	if decision == nil {
		return
	}
	a.log.WithFields(logrus.Fields{
		"map": decision.Map.Number(), "copies": decision.Plan.Copies, "most": decision.Plan.PeakCopiesPerRank,
		"before": decision.Plan.SkewBefore, "after": decision.Plan.SkewAfter, "took_ms": decision.Took.Milliseconds(),
	}).Info("map: " + string(decision.Kind))
	a.count(decision)
}

// count adds a decision to the metrics.
func (a *Agent) count(decision *rebalance.Decision) {
	group := a.engine.LastReport().Group
	switch decision.Kind {
	case rebalance.Prepare:
		a.metrics.ObserveSkew(group, placement.Skew{Step: decision.Plan.SkewBefore, Barrier: decision.Plan.SkewBefore})
		a.metrics.AddMoves(group, decision.Plan.Copies, int(float64(decision.Plan.Copies)*a.experts.Megabytes*bytesPerMegabyte))
	case rebalance.Agreed, rebalance.Aborted:
		a.metrics.ObserveSwitch(group, string(decision.Kind), decision.Took)
	}
}

const bytesPerMegabyte = 1e6
