package rebalance

import (
	"net/netip"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
)

const (
	// memberSilence is how long a member may be silent before no switch is begun.
	memberSilence = 600 * time.Millisecond
	// prepareLimit is how long the copying of a map may take before it is given
	// up, besides the time that the copies take.
	prepareLimit = 3 * time.Second
	// leadMost is how many steps ahead a switch is proposed at most, after proposals
	// that came too late. Its step must be begun before an order that got no answer
	// can be carried out, which is seconds later: it is refused then.
	leadMost = 10
	// retryPause is the time between an abort and the next proposal.
	retryPause = 100 * time.Millisecond
	// rankBits is the part of an epoch that names the planner's rank, so that two
	// planners never make the same epoch.
	rankBits = 12
	// searchSteps bounds the work of one decision.
	searchSteps = 400
)

// phase is how far the planner is.
type phase uint8

const (
	// idle means that no map is under way.
	idle phase = iota
	// preparing means that the ranks copy a map.
	preparing
	// proposed means that the switch was proposed.
	proposed
	// switching means that it was agreed and has not been seen at all ranks.
	switching
)

// member is what the planner knows of a rank.
type member struct {
	status Status
	host   netip.Addr
	heard  time.Time
	held   [][]int
}

// Planner decides for one group incarnation.
type Planner struct {
	policy  Policy
	experts config.Experts
	group   string
	// incarnation is the group's, rank the planner's and agent that of its agent.
	incarnation uint64
	rank, size  int
	agent       uint64

	members []*member
	demand  *demand
	// epoch is that of the maps it makes; highest is the highest number seen.
	epoch, version uint64
	highest        uint64
	// current is the map in use; nil while its contents are not known.
	current *Map
	next    *Map
	phase   phase
	since   time.Time
	lead    uint64
	// proposedFor is the latest step for which the next map was proposed.
	proposedFor uint64
	// retryAt is when a map may be proposed again after an abort.
	retryAt time.Time
	pace    pace
	// voteTime is how long the last vote took.
	voteTime time.Duration
	// searched is when a map was last looked for.
	searched time.Time
	// copies and skews are those of the map under way, for the log.
	plan placement.EvenPlan
}

// NewPlanner returns a planner for the group of which status tells.
//
// gap is the longest pause that a stream may have; 0 if none is known.
func NewPlanner(experts config.Experts, gap time.Duration, own Status, policy Policy) *Planner {
	return &Planner{
		pace:   pace{gap: gap},
		policy: policy, experts: experts, group: own.Group, incarnation: own.Incarnation,
		rank: own.Rank, size: own.Size, agent: own.Agent,
		members: make([]*member, own.Size), demand: newDemand(experts.Sets, experts.PerSet, policy),
		lead: policy.Lead,
	}
}

// Hear takes in a rank's status, which came from the host.
func (p *Planner) Hear(status Status, host netip.Addr, now time.Time) {
	if status.Group != p.group || status.Incarnation != p.incarnation || status.Rank < 0 || status.Rank >= p.size {
		return
	}
	old := p.members[status.Rank]
	if old != nil && old.status.Agent == status.Agent && status.Sent <= old.status.Sent {
		return
	}
	next := &member{status: status, host: host, heard: now, held: status.Held}
	if next.held == nil && old != nil && old.status.Running == status.Running {
		next.held = old.held
	}
	p.members[status.Rank] = next
	seen := expertmap.MapID{Epoch: status.Epoch}
	p.highest = max(p.highest, status.Running, status.Prepared, status.Armed, seen.Number())
}

// HearCounts takes in what a rank's requests chose.
func (p *Planner) HearCounts(counts Counts, now time.Time) {
	if counts.Group == p.group && counts.Incarnation == p.incarnation {
		p.demand.add(counts.First, counts.Levels, now)
	}
}

// complete tells whether all ranks were heard of lately.
func (p *Planner) complete(now time.Time) bool {
	for _, one := range p.members {
		if one == nil || now.Sub(one.heard) > memberSilence {
			return false
		}
	}
	return true
}

// all tells whether something holds for all ranks.
func (p *Planner) all(holds func(Status) bool) bool {
	for _, one := range p.members {
		if one == nil || !holds(one.status) {
			return false
		}
	}
	return true
}

// Directive returns what the agents are told now.
func (p *Planner) Directive() Directive {
	directive := Directive{
		Group: p.group, Incarnation: p.incarnation, Planner: p.rank, Agent: p.agent,
		Hosts: make([]byte, p.size*hostBytes), TellHeld: p.current == nil,
	}
	for rank, one := range p.members {
		if one != nil {
			directive.SetHost(rank, one.host)
		}
	}
	if p.phase == preparing {
		directive.Prepare = p.next.ID.Number()
	}
	return directive
}

// Next returns the map that the ranks are to copy, nil for none.
func (p *Planner) Next() *Map {
	if p.phase != preparing {
		return nil
	}
	return p.next
}

// Delta returns the map that the ranks are to copy as a change of the one in use,
// false if there is none that fits a datagram.
func (p *Planner) Delta() (Delta, bool) {
	if p.phase != preparing || p.current == nil || len(p.next.Experts) == 0 {
		return Delta{}, false
	}
	delta := DeltaOf(p.current, p.next, p.experts.PerSet)
	return delta, partHead+delta.size() <= datagramSize
}

// Prepared tells whether a rank has copied the map under way.
func (p *Planner) Prepared(rank int) bool {
	one := p.members[rank]
	return p.next == nil || one != nil && one.status.Prepared == p.next.ID.Number()
}

// What names a decision of the planner.
type What string

// Decisions.
const (
	// Prepare means that the ranks are told to copy a map.
	Prepare What = "prepare"
	// Propose means that the switch is proposed.
	Propose What = "propose"
	// Agreed and Aborted are the ends of a proposal; an aborted one is made again.
	Agreed  What = "switch agreed"
	Aborted What = "aborted"
	// EndUnknown means that the end of a proposal was not heard of in time.
	EndUnknown What = "end not known"
	// InUse means that all ranks use the map.
	InUse What = "in use"
	// GivenUp means that the ranks did not copy a map.
	GivenUp What = "given up"
	// Unfit means that the map in use does not fit the group.
	Unfit What = "the map does not fit"
)

// Decision tells what the planner did, for the log and the metrics.
type Decision struct {
	What What
	Map  expertmap.MapID
	Plan placement.EvenPlan
	// Took is how long the phase before took.
	Took time.Duration
}

// Step decides what comes next. It returns a decision, or nil, and the proposal
// to make, or nil; step is the last step that the planner's own rank has begun.
func (p *Planner) Step(step uint64, now time.Time) (*Decision, *expertmap.Proposal) {
	p.pace.note(step, now)
	switch p.phase {
	case idle:
		return p.begin(now), nil
	case preparing:
		return p.awaitPrepared(step, now)
	case proposed:
		return p.awaitEnd(now), nil
	default:
		return p.awaitSwitch(now), nil
	}
}

// enter begins a phase and returns how long the one before took, 0 for the first.
func (p *Planner) enter(next phase, now time.Time) time.Duration {
	took := time.Duration(0)
	if !p.since.IsZero() {
		took = now.Sub(p.since)
	}
	p.phase, p.since = next, now
	return took
}

// begin looks for a map that pays.
func (p *Planner) begin(now time.Time) *Decision {
	if !p.complete(now) || !p.learnCurrent() {
		return nil
	}
	if now.Sub(p.searched) < sliceTime {
		return nil
	}
	p.searched = now
	loads, weights := p.demand.loads(now)
	if len(loads) == 0 {
		return nil
	}
	input := placement.EvenInput{
		Loads: loads, Weights: weights, Paces: p.paces(), Ranks: p.size, Slots: p.experts.Slots, NewPerLayer: p.experts.Spare,
	}
	factor := 1.0
	if p.pace.share() < p.policy.Calm {
		factor = p.policy.CalmFactor
	}
	plan, err := placement.ImproveEven(input, p.current.Experts, placement.EvenSettings{
		CopyCost: factor * p.policy.copyCost(p.experts.Megabytes, p.size), NewPerRank: p.policy.NewPerRank, MaxSteps: searchSteps,
	})
	if err != nil {
		p.current = nil
		return &Decision{What: Unfit}
	}
	if plan.Before-plan.After < factor*p.policy.LeastGain {
		return nil
	}
	p.plan = plan
	p.next = &Map{ID: p.nextID(), Experts: plan.Experts}
	p.proposedFor = 0
	p.next.sort()
	took := p.enter(preparing, now)
	return &Decision{What: Prepare, Map: p.next.ID, Plan: plan, Took: took}
}

func (p *Planner) paces() []float64 {
	paces := make([]float64, p.size)
	for rank, one := range p.members {
		paces[rank] = one.status.Pace
	}
	return paces
}

// nextID names a map that no other planner names.
func (p *Planner) nextID() expertmap.MapID {
	if highest := expertmap.MapOf(p.highest); highest.Epoch > p.epoch || p.epoch == 0 {
		p.epoch = (highest.Epoch>>rankBits+1)<<rankBits | uint64(p.rank)
		p.version = 0
	}
	p.version = expertmap.NextVersion(p.version)
	return expertmap.MapID{Epoch: p.epoch, Version: p.version}
}

// learnCurrent finds the contents of the map in use; it returns false while they
// are not known, or the ranks do not agree.
func (p *Planner) learnCurrent() bool {
	running := p.members[p.rank].status.Running
	if !p.all(func(s Status) bool { return s.Running == running && s.Armed == 0 }) {
		return false
	}
	if p.current != nil && p.current.ID.Number() == running {
		return true
	}
	p.current = nil
	experts := make([][][]int, p.experts.Sets)
	for layer := range experts {
		experts[layer] = make([][]int, p.size)
		for rank, one := range p.members {
			if len(one.held) != p.experts.Sets {
				return false
			}
			experts[layer][rank] = slices.Clone(one.held[layer])
		}
	}
	p.current = &Map{ID: expertmap.MapOf(running), Experts: experts}
	p.current.sort()
	return true
}
