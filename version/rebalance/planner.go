package rebalance

import (
	"fmt"
	"net/netip"
	"time"

	"verbenaseam.example/verbenaseam/process/release"
	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
)

const (
	// minStatusInterval is the time between two statuses of a rank, per ranksPerStatus
	// ranks of the group.
	minStatusInterval = 100 * time.Millisecond
	ranksPerStatus    = 64
	// memberTimeout is the maximum age of a rank's latest status in status intervals. No
	// map is planned and no switch is proposed while the status of any rank is older.
	memberTimeout = 6
	// prepareTimeout is the maximum duration of the preparing phase, which includes the
	// copies of the map and ends when the switch is proposed. A map that takes longer
	// is given up. It also bounds how long the outcome of a proposal may stay unknown.
	prepareTimeout = 3 * time.Second
	// maxLead is the maximum number of steps ahead for which a switch is proposed;
	// Planner.lead grows up to it when proposals are aborted. The maximum is
	// small because the engine may process an unanswered command seconds later, and
	// the proposed step must have started by then for the engine to refuse it.
	maxLead = 10
	// retryDelay is the time between an abort and the next proposal.
	retryDelay = 100 * time.Millisecond
	// maxSearchSteps bounds the work of the search for one map.
	maxSearchSteps = 400
)

// phase is the state of the planner.
type phase uint8

const (
	// idle means that no change of the map is in progress.
	idle phase = iota
	// preparing means that the ranks are copying a map.
	preparing
	// proposed means that the switch has been proposed and its outcome is not known.
	proposed
	// switching means that the switch was agreed, but not all ranks have reported
	// that they use the map.
	switching
)

// Planner decides on the expert maps of one incarnation of a group.
type Planner struct {
	policy  Policy
	experts config.Experts
	group   expertmap.GroupID
	// rank is that of the planner, agentIncarnation the incarnation of the planner's
	// agent.
	rank, size       int
	agentIncarnation uint64

	members []*member
	demand  *demand
	numbers mapNumbers
	// current is the map in use; nil while its contents are not known. currentSum is the
	// checksum of its contents, currentMade is set if this planner made it.
	current     *Map
	currentSum  uint64
	currentMade bool
	// next is the map that is to replace current; nil for none. nextSum is the checksum of
	// its contents.
	next       *Map
	nextSum    uint64
	phase      phase
	phaseStart time.Time
	// lead is the least number of steps ahead for which a switch is proposed. It
	// doubles after a proposal that was aborted too late and decreases by one after a
	// commit.
	lead uint64
	// proposedStep is the latest step for which the next map was proposed, latestStep the
	// last step that the planner's own rank has started.
	proposedStep, latestStep uint64
	// retryAt is the earliest time of another proposal after an abort.
	retryAt   time.Time
	stepTimer stepTimer
	// voteTime is how long the last vote took.
	voteTime time.Duration
	// lastSearch is the time of the last search for a better map.
	lastSearch time.Time
	// plan is the search result from which next was made; it is kept after the switch
	// because its copies and skews are logged.
	plan placement.EqualSharePlan
}

// NewPlanner returns a planner of a group. own is the status of the rank that the planner
// runs on. maxGap is the longest allowed time between two
// events of a stream; 0 if not known.
func NewPlanner(group expertmap.GroupID, experts config.Experts, maxGap time.Duration, own Status, policy Policy) *Planner {
	return &Planner{
		stepTimer: stepTimer{maxGap: maxGap},
		policy:    policy, experts: experts, group: group,
		rank: own.Rank, size: own.Size, agentIncarnation: own.AgentIncarnation, numbers: mapNumbers{rank: own.Rank},
		members: make([]*member, own.Size), demand: newDemand(experts.Sets, experts.PerSet, policy),
		lead: policy.MinLead,
	}
}

// StatusError reports a status whose rank or size does not fit the planner's group.
type StatusError struct {
	// Rank and Size are those of the status, GroupSize is the size of the group.
	Rank, Size, GroupSize int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status of rank %d of %d does not fit a group of %d ranks", e.Rank, e.Size, e.GroupSize)
}

// HandleStatus processes a status of a rank of the group, which arrived from the given
// host. It ignores outdated ones, and fails with StatusError.
func (p *Planner) HandleStatus(status Status, host netip.Addr, now time.Time) error {
	if status.Size != p.size || status.Rank < 0 || status.Rank >= p.size {
		return &StatusError{Rank: status.Rank, Size: status.Size, GroupSize: p.size}
	}
	old := p.members[status.Rank]
	if old != nil && old.status.AgentIncarnation == status.AgentIncarnation && status.Sequence <= old.status.Sequence {
		return nil
	}
	next := &member{status: status, host: host, receivedAt: now, held: status.Held}
	if next.held == nil && old != nil && old.status.Running == status.Running {
		next.held = old.held
	}
	if old != nil {
		next.needsFullMap = old.needsFullMap && !(p.next != nil && next.hasPrepared(p.next.ID.Number(), p.nextSum))
	}
	p.members[status.Rank] = next
	p.numbers.observe(max(status.Running, status.Prepared, status.Armed))
	p.numbers.observeEpoch(status.Epoch)
	return nil
}

// Claim returns the number that the engine of the planner's rank must accept before the planner
// makes further maps (see mapNumbers); 0 for none. prepared is the number that this engine
// reports as prepared.
func (p *Planner) Claim(prepared uint64) uint64 {
	if p.phase != idle {
		return 0
	}
	return p.numbers.claim(prepared)
}

// ClaimSent records that the engine has been, or is about to be, told to accept the claim.
func (p *Planner) ClaimSent() { p.numbers.claimSent() }

// ClaimRefused records that the engine does not accept the claim.
func (p *Planner) ClaimRefused() { p.numbers.refused() }

// Releases returns what the agents of the group state of their releases, as far as known.
func (p *Planner) Releases() []release.Info {
	var all []release.Info
	for _, m := range p.members {
		if m != nil {
			all = append(all, m.status.Release)
		}
	}
	return all
}

// HandleCounts processes the expert selections counted at a rank of the group.
func (p *Planner) HandleCounts(counts Counts, now time.Time) {
	p.demand.add(counts.Offset, counts.Levels, now)
}

// Group returns the planner's group.
func (p *Planner) Group() expertmap.GroupID { return p.group }

// StatusInterval returns the time between two statuses of a rank to its planner. It grows
// with the group, since the planner's link receives the statuses of all ranks.
func StatusInterval(size int) time.Duration {
	return minStatusInterval * time.Duration(max((size+ranksPerStatus-1)/ranksPerStatus, 1))
}

// allStatusesRecent reports whether the status of every rank is at most memberTimeout
// old.
func (p *Planner) allStatusesRecent(now time.Time) bool {
	timeout := memberTimeout * StatusInterval(p.size)
	for _, m := range p.members {
		if m == nil || now.Sub(m.receivedAt) > timeout {
			return false
		}
	}
	return true
}

// allRanks reports whether the statuses of all ranks are known and meet the
// condition.
func (p *Planner) allRanks(condition func(Status) bool) bool {
	for _, m := range p.members {
		if m == nil || !condition(m.status) {
			return false
		}
	}
	return true
}

// Directive returns the current instruction to the agents.
func (p *Planner) Directive() Directive {
	directive := Directive{
		Planner: p.rank, AgentIncarnation: p.agentIncarnation,
		Hosts: make([]byte, p.size*hostBytes), RequestHeld: p.current == nil,
	}
	for rank, m := range p.members {
		if m != nil {
			directive.SetHost(rank, m.host)
		}
	}
	if p.phase == preparing {
		directive.Prepare = p.next.ID.Number()
	}
	return directive
}

// MapToCopy returns the map that the ranks are to copy, or nil for none.
func (p *Planner) MapToCopy() *Map {
	if p.phase != preparing {
		return nil
	}
	return p.next
}

// Delta returns the map that the ranks are to copy as a delta from the map in use, in
// parts that each fit into a datagram; nil if there is no such map, or if the map itself
// takes fewer datagrams.
func (p *Planner) Delta() []Delta {
	if p.phase != preparing || p.current == nil || len(p.next.Experts) == 0 {
		return nil
	}
	delta := NewDelta(p.current, p.next, p.experts.PerSet)
	parts := delta.Split()
	if len(parts) > 1 && len(parts) >= len(p.next.Parts()) {
		return nil
	}
	return parts
}

// CanApplyDelta reports whether a rank's agent knows the contents of the map in use, to
// which the delta applies.
func (p *Planner) CanApplyDelta(rank int) bool {
	m := p.members[rank]
	return m != nil && p.current != nil && m.status.RunningKnown && !m.needsFullMap && !m.contradicts(p.current.ID.Number(), p.currentSum)
}

// Prepared reports whether a rank has copied the next map; true if there is none.
func (p *Planner) Prepared(rank int) bool {
	m := p.members[rank]
	return p.next == nil || m != nil && m.hasPrepared(p.next.ID.Number(), p.nextSum)
}

// DecisionKind is the kind of a planner's decision.
type DecisionKind string

// Kinds of decisions. Their texts are logged; those of Agreed and Aborted are also values
// of the metric label "decision".
const (
	// Prepare means that the ranks are instructed to copy a map.
	Prepare DecisionKind = "prepare"
	// Propose means that the switch is proposed.
	Propose DecisionKind = "propose"
	// Agreed and Aborted are the outcomes of a proposal; the map of an aborted one
	// is proposed again.
	Agreed  DecisionKind = "switch agreed"
	Aborted DecisionKind = "aborted"
	// OutcomeUnknown means that the outcome of a proposal did not become known in time.
	OutcomeUnknown DecisionKind = "end not known"
	// InUse means that all ranks use the map.
	InUse DecisionKind = "in use"
	// GivenUp means that the map is abandoned because a rank refused to copy it, or
	// because the switch was not proposed within prepareTimeout.
	GivenUp DecisionKind = "given up"
	// MapMismatch means that the map in use does not fit the shape of the group.
	MapMismatch DecisionKind = "the map does not fit"
)

// Decision describes a decision of the planner for the log and the metrics.
type Decision struct {
	Kind DecisionKind
	Map  expertmap.MapID
	Plan placement.EqualSharePlan
	// Took is the duration of the previous phase.
	Took time.Duration
}

// Step advances the planner. It returns the decision taken, or nil, and the proposal
// to make, or nil. step is the last step that the planner's own rank has started.
func (p *Planner) Step(step uint64, now time.Time) (*Decision, *expertmap.Proposal) {
	p.stepTimer.record(step, now)
	p.latestStep = step
	switch p.phase {
	case idle:
		return p.planNext(now), nil
	case preparing:
		return p.awaitPrepared(step, now)
	case proposed:
		return p.awaitOutcome(now), nil
	default:
		return p.awaitSwitch(now), nil
	}
}

// enterPhase starts a phase and returns the duration of the previous one; 0 for the
// first.
func (p *Planner) enterPhase(next phase, now time.Time) time.Duration {
	took := time.Duration(0)
	if !p.phaseStart.IsZero() {
		took = now.Sub(p.phaseStart)
	}
	p.phase, p.phaseStart = next, now
	return took
}

// planNext searches for a map that reduces the skew by enough to justify the copies
// that it needs, at most once per time slice.
func (p *Planner) planNext(now time.Time) *Decision {
	if !p.allStatusesRecent(now) || !p.learnCurrent() {
		return nil
	}
	if now.Sub(p.lastSearch) < sliceDuration || !p.numbers.usable() {
		return nil
	}
	p.lastSearch = now
	loads, weights := p.demand.loads(now)
	if len(loads) == 0 {
		return nil
	}
	input := placement.EqualShareInput{
		Loads: loads, DemandWeights: weights, Slowdowns: p.slowdowns(), Ranks: p.size, Slots: p.experts.SlotsPerRank, MaxNewPerLayer: p.experts.MaxNewPerMap,
	}
	thresholdFactor := 1.0
	if p.stepTimer.gapShare() < p.policy.FastStepShare {
		thresholdFactor = p.policy.FastStepFactor
	}
	plan, err := placement.ImproveEqualShare(input, p.current.Experts, placement.EqualShareSettings{
		MinGainPerCopy: thresholdFactor * p.policy.copyCost(p.experts.Megabytes, p.size), MaxNewPerRank: p.policy.newPerRank(p.experts.CopyTime), MaxSteps: maxSearchSteps,
	})
	if err != nil {
		p.current = nil
		return &Decision{Kind: MapMismatch}
	}
	if plan.SkewBefore-plan.SkewAfter < thresholdFactor*p.policy.MinGain {
		return nil
	}
	p.plan = plan
	p.next = &Map{ID: p.numbers.next(), Experts: plan.Experts}
	p.next.sort()
	p.nextSum = p.next.Sum()
	p.proposedStep = 0
	took := p.enterPhase(preparing, now)
	return &Decision{Kind: Prepare, Map: p.next.ID, Plan: plan, Took: took}
}

func (p *Planner) slowdowns() []float64 {
	slowdowns := make([]float64, p.size)
	for rank, m := range p.members {
		slowdowns[rank] = m.status.Slowdown
	}
	return slowdowns
}
