package expertmap

import (
	"errors"
	"time"
)

// ErrOrderOpen means that an order was refused for what may pass, or may yet
// take effect; the call is repeated.
var ErrOrderOpen = errors.New("the engine has not taken the order")

// ErrNotArmed means that an engine holds for a switch that is not set. It is
// never let go, since it would begin the step on the old map.
var ErrNotArmed = errors.New("the engine holds for a switch that is not set")

// Orders is an engine that takes orders. An order may be lost, or be carried out
// seconds after it was given. An engine that counts its orders refuses one that
// names another number than it has counted; not all do. All refuse to copy a map
// whose number is not above those of all maps they were told to copy, and to arm
// any but the last of these.
type Orders interface {
	Report() (RankReport, error)
	// Arm sets the switch to a prepared map, Disarm takes it back, Hold keeps the
	// group from beginning a step, Go lets it in. They return false if the engine
	// refuses; after an error the order may have been taken, or may be later.
	Arm(orders, incarnation, version, step uint64) (bool, error)
	Disarm(orders, incarnation, version uint64) (bool, error)
	Hold(orders, incarnation, step uint64) (bool, error)
	Go(orders, incarnation, step uint64) (bool, error)
	// Copy has the rank copy, under this number, the experts that it has already.
	Copy(orders, incarnation, version uint64) (bool, error)
}

// OrderEngine makes an Engine of one that takes orders. The engine of one rank,
// the keeper, holds the whole group for a proposal (see Keep); a promise is the
// switch that is set meanwhile, so that the engines keep the promises. The keeper
// lets the group go once the switch is agreed, or all others have taken theirs
// back. An order that got no answer may still be carried out, and is made void
// before. It is not safe for concurrent use.
type OrderEngine struct {
	orders Orders
	// last is the latest report, with the orders given since counted in.
	last RankReport
	// tries counts the attempts to set the switch of the proposal trying.
	trying ProposalID
	tries  int
	// doubtful is the newest map for which an order to set the switch, or to take
	// it back, may still be carried out; 0 for none.
	doubtful uint64
	// openGo is the highest step for which an order to let the group go may still
	// be carried out.
	openGo uint64
}

const (
	// mostTries is how often a switch is tried to be set before it is refused.
	mostTries = 12
	// fenceAhead is how far ahead the step lies that is held and let go only to
	// make orders of an earlier agent void.
	fenceAhead = 1 << 24
	// mostAhead is how many steps ahead a switch may lie.
	mostAhead = 16
	// unknownRank stands for a keeper that an agent has not heard of.
	unknownRank = -1
)

// NewOrderEngine returns an OrderEngine.
func NewOrderEngine(orders Orders) *OrderEngine { return &OrderEngine{orders: orders} }

// Last returns the latest report.
func (e *OrderEngine) Last() RankReport { return e.last }

// Refresh reads the engine's report.
func (e *OrderEngine) Refresh() (RankReport, error) {
	report, err := e.orders.Report()
	if err != nil {
		return e.last, err
	}
	if report.Incarnation != e.last.Incarnation {
		// Orders name the incarnation, so those of an earlier one are void.
		e.doubtful, e.openGo = 0, 0
	}
	e.last = report
	return report, nil
}

// Attach implements Engine. Orders of an earlier agent that are still on their
// way are made void first; a hold without a switch is no promise and is dropped.
func (e *OrderEngine) Attach(uint64) (Facts, error) {
	report, err := e.Refresh()
	if err != nil {
		return Facts{}, err
	}
	if report.Prepared != 0 || report.Running != 0 {
		// An earlier agent may have given orders that are still on their way.
		e.doubtful, e.openGo = report.Prepared, report.Step+mostAhead
	}
	if report.ArmedVersion == 0 {
		if err := e.void(report.Prepared); err != nil {
			return Facts{}, err
		}
	}
	if report.Holding && report.ArmedVersion == 0 {
		if err := e.letGo(report.Held); err != nil {
			return Facts{}, err
		}
	}
	if report.Orders > 0 && !e.last.Holding {
		if err := e.fence(); err != nil {
			return Facts{}, err
		}
	}
	if _, err := e.Refresh(); err != nil {
		return Facts{}, err
	}
	return e.Facts(), nil
}

// void makes it impossible to set the switch to a map for which an order may
// still be carried out: the rank copies what it has already under the next number,
// after which the engine refuses the map.
func (e *OrderEngine) void(version uint64) error {
	r := e.last
	if version == 0 || e.doubtful != version || MapOf(version).IsVoid() {
		return nil
	}
	if r.Prepared != version || r.Running == version {
		e.doubtful = 0
		return nil
	}
	_, err := e.orders.Copy(r.Orders, r.Incarnation, MapOf(version).Void().Number())
	// The next report tells whether the engine has taken the order.
	return errors.Join(ErrOrderOpen, err)
}

// fence makes the engine take an order, so that those that were given before and
// not taken yet are refused.
func (e *OrderEngine) fence() error {
	step := e.last.Step + fenceAhead
	ok, err := e.orders.Hold(e.last.Orders, e.last.Incarnation, step)
	if err != nil || !ok {
		return errors.Join(ErrOrderOpen, err)
	}
	e.last.Orders++
	return e.goInto(step)
}

// Facts returns what the latest report says.
func (e *OrderEngine) Facts() Facts {
	r := e.last
	facts := Facts{
		Group: r.Incarnation, Rank: r.Rank, Size: r.Size, Step: r.Step, Running: MapOf(r.Running),
	}
	if r.ArmedVersion == 0 {
		return facts
	}
	to := MapOf(r.ArmedVersion)
	set := &Proposal{ID: ProposalOf(to, r.ArmedStep), Group: r.Incarnation, From: facts.Running, To: to, Step: r.ArmedStep}
	set.Kept, set.Keeper, set.Proposer = true, unknownRank, unknownRank
	if r.Holding && r.Held == r.ArmedStep {
		set.Keeper = r.Rank
	}
	facts.Held = set
	return facts
}

// Keep makes the engine of a proposal's keeper hold the group. Another host than
// the keeper's gives the order, so that the loss of either leaves the other one to
// let the group go. It returns false if the engine refuses; after an error the
// engine may hold, which its own agent drops as a stray hold.
func Keep(keeper Orders, proposal Proposal) (bool, error) {
	report, err := keeper.Report()
	if err != nil {
		return false, err
	}
	if report.Incarnation != proposal.Group || report.Rank != proposal.Keeper || report.Step >= proposal.Step || report.Holding {
		return false, nil
	}
	return keeper.Hold(report.Orders, report.Incarnation, proposal.Step)
}

// Hold implements Engine.
func (e *OrderEngine) Hold(proposal Proposal) (bool, error) {
	if e.trying != proposal.ID {
		e.trying, e.tries = proposal.ID, 0
	}
	e.tries++
	r, err := e.Refresh()
	if err != nil {
		return false, err
	}
	if !proposal.Kept || proposal.keptBy(r.Rank) && (!r.Holding || r.Held != proposal.Step) {
		return false, e.Release(proposal.ID)
	}
	if r.ArmedVersion == proposal.To.Number() && r.ArmedStep == proposal.Step {
		return true, nil
	}
	if !e.mayHold(proposal) || e.tries > mostTries {
		return false, e.Release(proposal.ID)
	}
	ok, err := e.orders.Arm(r.Orders, r.Incarnation, proposal.To.Number(), proposal.Step)
	if err != nil {
		e.doubtful = max(e.doubtful, proposal.To.Number())
	}
	if err != nil || !ok {
		return false, errors.Join(ErrOrderOpen, err)
	}
	return true, nil
}

// mayHold tells whether the engine can promise the proposal.
func (e *OrderEngine) mayHold(proposal Proposal) bool {
	r := e.last
	if r.Incarnation != proposal.Group || proposal.Step <= r.Step || proposal.Step > r.Step+mostAhead {
		return false
	}
	if proposal.Step <= e.openGo {
		return false
	}
	if r.ArmedVersion != 0 && (r.ArmedVersion != proposal.To.Number() || r.ArmedStep != proposal.Step) {
		return false
	}
	return r.Running == proposal.From.Number() && r.Prepared == proposal.To.Number()
}

// Release implements Engine.
func (e *OrderEngine) Release(id ProposalID) error {
	to, step := id.Target()
	r, err := e.Refresh()
	if err != nil {
		return err
	}
	if r.ArmedVersion == to.Number() && r.ArmedStep == step {
		ok, err := e.orders.Disarm(r.Orders, r.Incarnation, r.ArmedVersion)
		if err != nil {
			e.doubtful = max(e.doubtful, r.ArmedVersion)
		}
		if err != nil || !ok {
			return errors.Join(ErrOrderOpen, err)
		}
		e.last.Orders++
		e.last.ArmedVersion, e.last.ArmedStep = 0, 0
	}
	if e.last.ArmedVersion != 0 {
		return nil
	}
	if err := e.void(to.Number()); err != nil {
		return err
	}
	if !r.Holding || r.Held != step {
		return nil
	}
	return e.letGo(step)
}

// Switch implements Engine: the switch is set, and only the hold is dropped.
func (e *OrderEngine) Switch(proposal Proposal) error {
	r, err := e.Refresh()
	if err != nil {
		return err
	}
	if r.Incarnation != proposal.Group || !r.Holding || r.Held != proposal.Step {
		return nil
	}
	if r.ArmedVersion != proposal.To.Number() || r.ArmedStep != proposal.Step {
		return ErrNotArmed
	}
	return e.letGo(proposal.Step)
}

// letGo lets the group into a step, which is not held for again if the order may
// still be carried out later.
func (e *OrderEngine) letGo(step uint64) error {
	err := e.goInto(step)
	if err != nil {
		e.openGo = max(e.openGo, step)
	}
	return err
}

func (e *OrderEngine) goInto(step uint64) error {
	ok, err := e.orders.Go(e.last.Orders, e.last.Incarnation, step)
	if err != nil || !ok {
		return errors.Join(ErrOrderOpen, err)
	}
	e.last.Orders++
	e.last.Holding = false
	return nil
}

// straySpan is how long a hold may stand that belongs to no proposal: a hold that
// was given up on may be carried out seconds later.
const straySpan = 200 * time.Millisecond

// Stray drops a hold that belongs to no proposal; its agent is idle. since is when
// it was first seen, the zero time if it was not there before. current is the map in
// use or agreed to be used next.
func (e *OrderEngine) Stray(now, since time.Time, current MapID) error {
	if !e.last.Holding || since.IsZero() || now.Sub(since) < straySpan {
		return nil
	}
	if armed := e.last.ArmedVersion; armed != 0 && MapOf(armed) != current {
		return nil
	}
	return e.letGo(e.last.Held)
}
