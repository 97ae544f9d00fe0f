package expertmap

import (
	"errors"
	"time"
)

// ErrCommandUnconfirmed reports a command that was refused for a transient reason, or
// that may still take effect; the call is repeated.
var ErrCommandUnconfirmed = errors.New("engine command not confirmed")

// ErrSwitchNotArmed reports that an engine holds for a switch that is not armed. Such an
// engine is never released, since it would start the step on the old map.
var ErrSwitchNotArmed = errors.New("engine holds for a switch that is not armed")

// ErrStaleReport reports a report that is older than the one before: the engine has sent it once
// more, in place of the present one.
var ErrStaleReport = errors.New("engine report is older than the one before")

// EngineCommands is the command interface of an engine. A command may be lost, or take
// effect seconds after it was sent. An engine that counts its commands refuses one
// whose count differs from its own; not all engines count. Every engine refuses to copy a
// map unless its number is higher than that of every map it was told to copy before, and
// refuses to arm the switch to any map but the last of these.
type EngineCommands interface {
	// Report reads the engine's report. In its place a late copy of an earlier one may arrive;
	// in that of FreshReport, which costs more, none can.
	Report() (RankReport, error)
	FreshReport() (RankReport, error)
	// Arm arms the switch to a prepared map, given by its number, and Disarm cancels it.
	// Hold keeps the group from starting a step and Go lets it start. They return false
	// if the engine refuses; after an error the command may have taken effect, or may do
	// so later. For Hold a late copy of an earlier response may arrive instead.
	Arm(commandCount, incarnation, number, step uint64) (bool, error)
	Disarm(commandCount, incarnation, number uint64) (bool, error)
	Hold(commandCount, incarnation, step uint64) (bool, error)
	Go(commandCount, incarnation, step uint64) (bool, error)
	// Copy makes the rank prepare the experts that it already has as the map with this
	// number.
	Copy(commandCount, incarnation, number uint64) (bool, error)
}

// CommandEngine implements Engine for an engine controlled by commands. The engine of one
// rank, the holder, holds the whole group for a proposal (see HoldGroup); a promise is the
// switch armed meanwhile, so that the promises are stored in the engines. The holder
// releases the group once the switch is agreed, or once all other ranks have disarmed
// theirs. A command without a reply may still take effect, and is invalidated before the
// group is released. It is not safe for concurrent use.
type CommandEngine struct {
	commands EngineCommands
	// lastReport is the latest report, updated by the commands sent since; received is that
	// report as it was received.
	lastReport, received RankReport
	// attemptedProposal identifies the proposal whose switch this engine was last asked
	// to arm, armAttempts is the number of attempts to arm it.
	attemptedProposal ProposalID
	armAttempts       int
	// unconfirmedMap is the number of the newest map for which a command to arm or disarm
	// the switch may still take effect; 0 for none.
	unconfirmedMap uint64
	// unconfirmedGo is the highest step for which a Go command may still take effect.
	unconfirmedGo uint64
	// copied is the number of the newest map that the engine was told to copy by this agent,
	// copiedSum the checksum of its contents.
	copied, copiedSum uint64
}

const (
	// maxArmAttempts is the number of attempts to arm a switch before the proposal is
	// refused.
	maxArmAttempts = 12
	// fenceDistance is how many steps ahead the step lies that is held and released only
	// to invalidate commands of an earlier agent.
	fenceDistance = 1 << 24
	// maxSwitchDistance is the maximum number of steps that a switch may lie ahead.
	maxSwitchDistance = 16
	// unknownRank stands for a holder or proposer that is not known.
	unknownRank = -1
)

// NewCommandEngine returns a CommandEngine that controls an engine by the given commands.
func NewCommandEngine(commands EngineCommands) *CommandEngine {
	return &CommandEngine{commands: commands}
}

// RecordCopy records that the engine is told to copy a map with a checksum of its contents. It
// promises no switch to other contents under the number of the map.
func (e *CommandEngine) RecordCopy(number, sum uint64) { e.copied, e.copiedSum = number, sum }

// LastReport returns the latest report, updated by the commands sent since.
func (e *CommandEngine) LastReport() RankReport { return e.lastReport }

// Refresh reads the engine's report.
func (e *CommandEngine) Refresh() (RankReport, error) { return e.refresh(e.commands.Report) }

// refreshForPromise reads the report on which a promise, or the end of one, is to be based.
func (e *CommandEngine) refreshForPromise() (RankReport, error) {
	return e.refresh(e.commands.FreshReport)
}

func (e *CommandEngine) refresh(read func() (RankReport, error)) (RankReport, error) {
	report, err := read()
	if err != nil {
		return e.lastReport, err
	}
	if report.olderThan(e.received) {
		return e.lastReport, ErrStaleReport
	}
	e.received = report
	if report.Group.supersedes(e.lastReport.Group) {
		// Commands name the incarnation, so those for an earlier one are void.
		e.unconfirmedMap, e.unconfirmedGo = 0, 0
	}
	e.lastReport = report
	return report, nil
}

// Attach implements Engine. It first invalidates commands of an earlier agent that have
// not arrived yet. A hold without an armed switch is no promise and is released.
func (e *CommandEngine) Attach(uint64) (EngineState, error) {
	report, err := e.refreshForPromise()
	if err != nil {
		return EngineState{}, err
	}
	if report.Prepared != 0 || report.Running != 0 {
		// An earlier agent may have sent commands that have not arrived yet.
		e.unconfirmedMap, e.unconfirmedGo = report.Prepared, report.Step+maxSwitchDistance
	}
	if report.Armed == 0 {
		if err := e.invalidate(report.Prepared); err != nil {
			return EngineState{}, err
		}
	}
	if report.Holding && report.Armed == 0 {
		if err := e.releaseHold(report.Held); err != nil {
			return EngineState{}, err
		}
	}
	if report.CommandCount > 0 && !e.lastReport.Holding {
		if err := e.fence(); err != nil {
			return EngineState{}, err
		}
	}
	if _, err := e.refreshForPromise(); err != nil {
		return EngineState{}, err
	}
	return e.State(), nil
}

// invalidate makes it impossible to arm the switch to a map for which a command may
// still take effect: the rank prepares its present experts as the map with the next
// number (see MapID.Invalidator), after which the engine refuses the map.
func (e *CommandEngine) invalidate(number uint64) error {
	r := e.lastReport
	if number == 0 || e.unconfirmedMap != number || MapIDFromNumber(number).IsInvalidator() {
		return nil
	}
	if r.Prepared != number || r.Running == number {
		e.unconfirmedMap = 0
		return nil
	}
	_, err := e.commands.Copy(r.CommandCount, r.Group.Incarnation, MapIDFromNumber(number).Invalidator().Number())
	// The next report tells whether the engine has carried out the copy.
	return errors.Join(ErrCommandUnconfirmed, err)
}

// fence makes the engine carry out a command, so that it refuses those sent before that
// have not arrived yet.
func (e *CommandEngine) fence() error {
	step := e.lastReport.Step + fenceDistance
	ok, err := e.commands.Hold(e.lastReport.CommandCount, e.lastReport.Group.Incarnation, step)
	if err != nil || !ok {
		return errors.Join(ErrCommandUnconfirmed, err)
	}
	e.lastReport.CommandCount++
	return e.sendGo(step)
}

// State returns the state derived from the latest report.
func (e *CommandEngine) State() EngineState {
	r := e.lastReport
	engineState := EngineState{
		Group: r.Group, Rank: r.Rank, Size: r.Size, Step: r.Step, Running: MapIDFromNumber(r.Running),
	}
	if r.Armed == 0 {
		return engineState
	}
	to := MapIDFromNumber(r.Armed)
	armed := &Proposal{ID: NewProposalID(to, r.ArmedStep), Group: r.Group, From: engineState.Running, To: to, Step: r.ArmedStep}
	armed.GroupHeld, armed.Holder, armed.Proposer = true, unknownRank, unknownRank
	if r.Holding && r.Held == r.ArmedStep {
		armed.Holder = r.Rank
	}
	engineState.Held = armed
	return engineState
}

// HoldGroup makes the engine of a proposal's holder hold the group. It is called from a
// host other than the holder's, so that either can release the group if the other fails.
// It returns false if the engine refuses; after an error the engine may hold, in which
// case its own agent releases the hold as a stray one (see ReleaseStrayHold).
func HoldGroup(holder EngineCommands, proposal Proposal) (bool, error) {
	report, err := holder.Report()
	if err != nil {
		return false, err
	}
	if report.Group != proposal.Group || report.Rank != proposal.Holder || report.Step >= proposal.Step || report.Holding {
		return false, nil
	}
	return holder.Hold(report.CommandCount, report.Group.Incarnation, proposal.Step)
}

// Hold implements Engine by arming the switch. It refuses proposals without a holder, and
// on the holder unless the engine already holds the group.
func (e *CommandEngine) Hold(proposal Proposal) (bool, error) {
	if e.attemptedProposal != proposal.ID {
		e.attemptedProposal, e.armAttempts = proposal.ID, 0
	}
	e.armAttempts++
	r, err := e.Refresh()
	if err == nil && (proposal.heldBy(r.Rank) || r.isArmedFor(proposal)) {
		r, err = e.refreshForPromise()
	}
	if err != nil {
		return false, err
	}
	if !proposal.GroupHeld || proposal.heldBy(r.Rank) && (!r.Holding || r.Held != proposal.Step) {
		return false, e.Release(proposal.ID)
	}
	if r.isArmedFor(proposal) {
		return true, nil
	}
	if !e.canPromise(proposal) || e.armAttempts > maxArmAttempts {
		return false, e.Release(proposal.ID)
	}
	ok, err := e.commands.Arm(r.CommandCount, r.Group.Incarnation, proposal.To.Number(), proposal.Step)
	if err != nil {
		e.unconfirmedMap = max(e.unconfirmedMap, proposal.To.Number())
	}
	if err != nil || !ok {
		return false, errors.Join(ErrCommandUnconfirmed, err)
	}
	return true, nil
}

// canPromise reports whether the engine can promise the proposal.
func (e *CommandEngine) canPromise(proposal Proposal) bool {
	r := e.lastReport
	if r.Group != proposal.Group || proposal.Step <= r.Step || proposal.Step > r.Step+maxSwitchDistance {
		return false
	}
	if proposal.Step <= e.unconfirmedGo {
		return false
	}
	if r.Armed != 0 && (r.Armed != proposal.To.Number() || r.ArmedStep != proposal.Step) {
		return false
	}
	return r.Running == proposal.From.Number() && r.Prepared == proposal.To.Number() && e.hasContents(proposal)
}

// hasContents reports whether the prepared map has the contents that the proposal states. An
// agent that did not tell its engine to copy the map cannot know.
func (e *CommandEngine) hasContents(proposal Proposal) bool {
	return proposal.ToSum == 0 || e.copied == proposal.To.Number() && e.copiedSum == proposal.ToSum
}

// Release implements Engine.
func (e *CommandEngine) Release(id ProposalID) error {
	to, step := id.MapAndStep()
	r, err := e.refreshForPromise()
	if err != nil {
		return err
	}
	if r.Armed == to.Number() && r.ArmedStep == step {
		ok, err := e.commands.Disarm(r.CommandCount, r.Group.Incarnation, r.Armed)
		if err != nil {
			e.unconfirmedMap = max(e.unconfirmedMap, r.Armed)
		}
		if err != nil || !ok {
			return errors.Join(ErrCommandUnconfirmed, err)
		}
		e.lastReport.CommandCount++
		e.lastReport.Armed, e.lastReport.ArmedStep = 0, 0
	}
	if e.lastReport.Armed != 0 {
		return nil
	}
	if err := e.invalidate(to.Number()); err != nil {
		return err
	}
	if !r.Holding || r.Held != step {
		return nil
	}
	return e.releaseHold(step)
}

// Switch implements Engine. The switch is already armed, so that only the hold needs to
// be released.
func (e *CommandEngine) Switch(proposal Proposal) error {
	if !e.lastReport.Holding {
		// Most ranks hold nothing.
		if r, err := e.Refresh(); err != nil || !r.Holding {
			return err
		}
	}
	r, err := e.refreshForPromise()
	if err != nil {
		return err
	}
	if r.Group != proposal.Group || !r.Holding || r.Held != proposal.Step {
		return nil
	}
	if !r.isArmedFor(proposal) {
		return ErrSwitchNotArmed
	}
	return e.releaseHold(proposal.Step)
}

// releaseHold lets the group start a step. If the command fails it may still take effect
// later, and no switch at or before that step is promised from then on.
func (e *CommandEngine) releaseHold(step uint64) error {
	err := e.sendGo(step)
	if err != nil {
		e.unconfirmedGo = max(e.unconfirmedGo, step)
	}
	return err
}

func (e *CommandEngine) sendGo(step uint64) error {
	ok, err := e.commands.Go(e.lastReport.CommandCount, e.lastReport.Group.Incarnation, step)
	if err != nil || !ok {
		return errors.Join(ErrCommandUnconfirmed, err)
	}
	e.lastReport.CommandCount++
	e.lastReport.Holding = false
	return nil
}

// strayHoldTimeout is how long a hold that belongs to no proposal is left in place: a
// hold command whose sender has given up may take effect seconds later.
const strayHoldTimeout = 200 * time.Millisecond

// ReleaseStrayHold releases a hold that belongs to no proposal; the agent must be idle.
// since is when the hold was first seen, the zero time if it was not there before.
// current is the map in use, or the next one once its switch is decided.
func (e *CommandEngine) ReleaseStrayHold(now, since time.Time, current MapID) error {
	if !e.lastReport.Holding || since.IsZero() || now.Sub(since) < strayHoldTimeout {
		return nil
	}
	if armed := e.lastReport.Armed; armed != 0 && MapIDFromNumber(armed) != current {
		return nil
	}
	return e.releaseHold(e.lastReport.Held)
}
