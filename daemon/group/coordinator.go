package group

import (
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
)

const (
	// reportTTL is how long a rank's report is valid.
	reportTTL = time.Second
	// repeatInterval is the time after which an order that has had no effect is sent
	// again.
	repeatInterval = time.Second
	// proposalTimeout is how long the lease holder waits for the outcome of a proposal.
	// After that the change ends as undecided, and the agents decide the proposal without
	// the lease holder.
	proposalTimeout = 5 * time.Second
	// loadTimeout is how long the ranks may take to load a map. A change that takes
	// longer is aborted, so that it does not block changes of other groups.
	loadTimeout = 5 * time.Minute
	// messageDelay and engineCallDelay are the delays of a message and of the calls to the
	// engines that the choice of a switch's step allows for. With longer ones the switch
	// stalls a step.
	messageDelay    = 5 * time.Millisecond
	engineCallDelay = 150 * time.Millisecond
)

// Change is a switch of a group to another map.
type Change struct {
	Content *placement.Map
	// Moves and Bytes are the number of experts whose weights the ranks load for it, and
	// the size of these weights.
	Moves, Bytes int
}

// RankOrder is an order and the rank to send it to.
type RankOrder struct {
	Rank  int
	Order Order
}

// ChangeOutcome is the outcome of a change.
type ChangeOutcome struct {
	Change   Change
	Decision expertmap.Decision
	// Took is the time from the proposal to the end of the change; 0 if nothing was
	// proposed.
	Took time.Duration
}

// Output holds the actions that a Coordinator requests.
type Output struct {
	Orders []RankOrder
	// Outcome is set when the change in progress has ended.
	Outcome *ChangeOutcome
}

// rankState is what the lease holder knows of a rank.
type rankState struct {
	report     Report
	receivedAt time.Time
	// stepTime is the mean duration of a step between the last two reports.
	stepTime time.Duration
}

// changeInProgress is a change that has begun and not ended.
type changeInProgress struct {
	change     Change
	startedAt  time.Time
	to         expertmap.MapID
	proposal   *expertmap.Proposal
	proposedAt time.Time
	loadSentAt time.Time
}

// Coordinator performs the changes of one group's map for the lease holder. It does no
// I/O and is not safe for concurrent use. Its state may be lost at any time, because the
// agents can decide a proposal without it.
type Coordinator struct {
	pool  string
	ranks []rankState

	epoch      uint64
	numbers    *Numbers
	inProgress *changeInProgress
	// currentMap is the content of the map whose ID is currentID.
	currentMap     *placement.Map
	currentID      expertmap.MapID
	mapRequestedAt time.Time
}

// Numbers gives out the IDs of a group's proposals and maps under the epochs of the lease. It
// outlives the Coordinators of the group, of which an epoch may have several: ranks know a map
// that they have loaded by its ID alone, so that no ID may be given out twice.
type Numbers struct{ epoch, sequence, version uint64 }

// enter starts to give out the IDs of an epoch, unless it does so already.
func (n *Numbers) enter(epoch uint64) {
	if epoch != n.epoch {
		*n = Numbers{epoch: epoch}
	}
}

func (n *Numbers) nextMap() expertmap.MapID {
	n.version++
	return expertmap.MapID{Epoch: n.epoch, Version: n.version}
}

func (n *Numbers) nextProposal() expertmap.ProposalID {
	n.sequence++
	return expertmap.ProposalID{Epoch: n.epoch, Sequence: n.sequence}
}

// NewCoordinator returns a coordinator that has received no reports of its group. numbers are
// those of all coordinators of the group in this process.
func NewCoordinator(pool string, size int, numbers *Numbers) *Coordinator {
	return &Coordinator{pool: pool, ranks: make([]rankState, size), numbers: numbers}
}

// Size returns the number of ranks of the group.
func (c *Coordinator) Size() int { return len(c.ranks) }

// HandleReport processes a rank's report. It ignores reports whose rank or size does not match
// the group.
func (c *Coordinator) HandleReport(now time.Time, report Report) {
	if report.Rank < 0 || report.Rank >= len(c.ranks) || report.Size != len(c.ranks) {
		return
	}
	state := &c.ranks[report.Rank]
	steps := report.Step - state.report.Step
	if report.Group == state.report.Group && report.Step > state.report.Step {
		state.stepTime = now.Sub(state.receivedAt) / time.Duration(steps)
	}
	state.report, state.receivedAt = report, now
}

// SetMapContent sets the content of the map with the given ID, from the answer to an
// OrderReadMap.
func (c *Coordinator) SetMapContent(id expertmap.MapID, content *placement.Map) {
	c.currentID, c.currentMap = id, content
}

// Abandon discards the change in progress. It returns false if there was none.
func (c *Coordinator) Abandon() bool {
	found := c.inProgress != nil
	c.inProgress = nil
	return found
}

// CurrentMap returns the map in use, or nil while it is not known, differs between ranks or
// is about to change.
func (c *Coordinator) CurrentMap(now time.Time) *placement.Map {
	if !c.allAgree(now) || c.currentID != c.ranks[0].report.Current {
		return nil
	}
	return c.currentMap
}

// Begin starts a change from the map in use. It does nothing if a change is in progress
// or the map in use is not known.
func (c *Coordinator) Begin(now time.Time, change Change) {
	if c.inProgress != nil || c.CurrentMap(now) == nil {
		return
	}
	c.inProgress = &changeInProgress{change: change, startedAt: now, to: c.numbers.nextMap()}
}

// InProgress reports whether a change is in progress.
func (c *Coordinator) InProgress() bool { return c.inProgress != nil }

// Step returns the actions that are due under the given epoch of the lease. A new epoch
// discards the change in progress.
func (c *Coordinator) Step(now time.Time, epoch uint64) Output {
	if epoch != c.epoch {
		c.epoch, c.inProgress = epoch, nil
		c.numbers.enter(epoch)
	}
	switch {
	case c.inProgress != nil && c.inProgress.proposal != nil:
		return c.checkOutcome(now)
	case c.inProgress != nil && now.Sub(c.inProgress.startedAt) > loadTimeout:
		return c.end(now, expertmap.Abort)
	case !c.allAgree(now):
		return Output{}
	case c.currentID != c.ranks[0].report.Current || c.currentMap == nil:
		return c.requestMap(now)
	case c.inProgress != nil:
		return c.load(now)
	default:
		return Output{}
	}
}

// allAgree reports whether the reports of all ranks are valid, give the same incarnation
// of the group and the same map, and no proposal is undecided.
func (c *Coordinator) allAgree(now time.Time) bool {
	first := c.ranks[0].report
	for _, state := range c.ranks {
		fresh := !state.receivedAt.IsZero() && now.Sub(state.receivedAt) <= reportTTL
		same := state.report.Group == first.Group && state.report.Current == first.Current
		if !fresh || !same || state.report.Undecided {
			return false
		}
	}
	return len(c.ranks) > 0
}

func (c *Coordinator) requestMap(now time.Time) Output {
	if now.Sub(c.mapRequestedAt) < repeatInterval {
		return Output{}
	}
	c.mapRequestedAt = now
	return Output{Orders: []RankOrder{{Rank: 0, Order: Order{
		Pool: c.pool, Kind: OrderReadMap, Epoch: c.epoch, Map: c.ranks[0].report.Current,
	}}}}
}

// load orders the ranks that have not loaded the map to do so. When all have, it
// proposes the switch.
func (c *Coordinator) load(now time.Time) Output {
	var out Output
	missing := 0
	due := now.Sub(c.inProgress.loadSentAt) >= repeatInterval
	for rank, state := range c.ranks {
		if slices.Contains(state.report.Loaded, c.inProgress.to) {
			continue
		}
		missing++
		if due {
			out.Orders = append(out.Orders, RankOrder{Rank: rank, Order: Order{
				Pool: c.pool, Kind: OrderLoadMap, Epoch: c.epoch, Map: c.inProgress.to, Content: c.inProgress.change.Content,
			}})
		}
	}
	if len(out.Orders) > 0 {
		c.inProgress.loadSentAt = now
	}
	if missing > 0 {
		return out
	}
	return c.propose(now)
}

func (c *Coordinator) propose(now time.Time) Output {
	proposal := &expertmap.Proposal{
		ID:    c.numbers.nextProposal(),
		Group: c.ranks[0].report.Group,
		From:  c.currentID, To: c.inProgress.to, Step: c.switchStep(now),
	}
	for _, state := range c.ranks {
		proposal.Agents = append(proposal.Agents, state.report.AgentIncarnation)
	}
	c.inProgress.proposal, c.inProgress.proposedAt = proposal, now
	// The proposing rank rotates, so that proposals do not depend on a single agent.
	rank := int(proposal.ID.Sequence % uint64(len(c.ranks)))
	return Output{Orders: []RankOrder{{Rank: rank, Order: Order{
		Pool: c.pool, Kind: OrderPropose, Epoch: c.epoch, Proposal: proposal,
	}}}}
}

func (c *Coordinator) switchStep(now time.Time) uint64 {
	var observed uint64
	var age, shortest time.Duration
	for _, state := range c.ranks {
		observed = max(observed, state.report.Step)
		age = max(age, now.Sub(state.receivedAt))
		if state.stepTime > 0 && (shortest == 0 || state.stepTime < shortest) {
			shortest = state.stepTime
		}
	}
	return expertmap.SwitchStep(observed, shortest, messageDelay, age+engineCallDelay)
}

// checkOutcome derives the outcome of the proposal from the reports.
func (c *Coordinator) checkOutcome(now time.Time) Output {
	proposal := c.inProgress.proposal
	switched, aborted := 0, false
	for _, state := range c.ranks {
		if state.report.Current == proposal.To {
			switched++
		}
		rankAborted := state.report.Ended == proposal.ID && state.report.Decision == expertmap.Abort
		aborted = aborted || rankAborted || state.report.Group != proposal.Group
	}
	switch {
	case switched == len(c.ranks):
		c.currentID, c.currentMap = proposal.To, c.inProgress.change.Content
		return c.end(now, expertmap.Commit)
	case aborted:
		return c.end(now, expertmap.Abort)
	case now.Sub(c.inProgress.proposedAt) > proposalTimeout:
		return c.end(now, expertmap.Undecided)
	default:
		return Output{}
	}
}

func (c *Coordinator) end(now time.Time, decision expertmap.Decision) Output {
	ended := &ChangeOutcome{Change: c.inProgress.change, Decision: decision}
	if c.inProgress.proposal != nil {
		ended.Took = now.Sub(c.inProgress.proposedAt)
	}
	c.inProgress = nil
	return Output{Outcome: ended}
}
