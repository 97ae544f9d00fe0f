package expertmap

import "time"

// Engine is the interface through which an agent controls the engine of its rank.
//
// Attach announces the agent's incarnation and returns the engine's retained state;
// calls by earlier incarnations have no effect from then on.
//
// Hold returns true once the engine guarantees not to start the proposal's step on the
// map that the proposal replaces. It returns false if that step, or a later one, has
// started, if another proposal is held, if a switch is pending, or if the group
// incarnation differs.
//
// All calls are idempotent, and their effects outlive the agent. After an error the
// effect is unknown, and the call is repeated.
type Engine interface {
	Attach(incarnation uint64) (EngineState, error)
	Hold(proposal Proposal) (held bool, err error)
	Release(id ProposalID) error
	Switch(proposal Proposal) error
}

// Resumer is implemented by engines that start no step without permission. Resume allows
// permissions to be given again after a restart of the agent.
type Resumer interface {
	Resume() error
}

// Transport sends messages to the agents of other ranks of the group. It may lose,
// duplicate and reorder messages, and must not block.
type Transport interface {
	Send(rank int, message Message)
}

// Observer is notified of decided proposals and of failed engine calls. Its methods must
// not block.
type Observer interface {
	ProposalEnded(ended Outcome)
	EngineFailed(action ActionKind, err error)
}

// Driver connects an agent to its engine and its peers. It starts no goroutine and is
// not safe for concurrent use: its owner calls it from one loop.
type Driver struct {
	agent     *Agent
	engine    Engine
	transport Transport
	observer  Observer
}

// NewDriver attaches to the engine and continues from the engine's retained state. It
// returns the engine's error if attaching fails.
func NewDriver(now time.Time, config Config, engine Engine, transport Transport, observer Observer) (*Driver, error) {
	engineState, err := engine.Attach(config.Incarnation)
	if err != nil {
		return nil, err
	}
	agent, out := NewAgent(now, config, engineState)
	driver := &Driver{agent: agent, engine: engine, transport: transport, observer: observer}
	driver.execute(now, out)
	return driver, nil
}

// Agent returns the agent, for status reports.
func (d *Driver) Agent() *Agent { return d.agent }

// Propose starts a proposal (see Agent.Propose).
func (d *Driver) Propose(now time.Time, proposal Proposal) {
	d.execute(now, d.agent.Propose(now, proposal))
}

// Receive handles a message from a peer.
func (d *Driver) Receive(now time.Time, message Message) {
	d.execute(now, d.agent.Receive(now, message))
}

// Tick drives retries and time-outs; it must be called several times within
// Config.PollInterval.
func (d *Driver) Tick(now time.Time) { d.execute(now, d.agent.Tick(now)) }

// Formed must be called when the engine reports a new group incarnation.
func (d *Driver) Formed(now time.Time, engineState EngineState) {
	d.execute(now, d.agent.Formed(now, engineState))
}

// execute carries out the actions before it sends the messages, so that no message
// announces an effect that the engine has not yet had.
func (d *Driver) execute(now time.Time, out Output) {
	for _, action := range out.Actions {
		d.executeAction(now, action)
	}
	for _, message := range out.Messages {
		d.transport.Send(message.To, message)
	}
	for _, ended := range out.Outcomes {
		d.observer.ProposalEnded(ended)
	}
}

func (d *Driver) executeAction(now time.Time, action Action) {
	id := action.Proposal.ID
	if action.Kind == ActionHold {
		held, err := d.engine.Hold(action.Proposal)
		if err != nil {
			d.observer.EngineFailed(action.Kind, err)
			return
		}
		d.execute(now, d.agent.Held(now, id, held))
		return
	}
	err := d.callEngine(action)
	if err != nil {
		d.observer.EngineFailed(action.Kind, err)
		return
	}
	d.agent.Applied(id)
}

func (d *Driver) callEngine(action Action) error {
	switch action.Kind {
	case ActionSwitch:
		return d.engine.Switch(action.Proposal)
	case ActionResume:
		if resumer, ok := d.engine.(Resumer); ok {
			return resumer.Resume()
		}
		return nil
	default:
		return d.engine.Release(action.Proposal.ID)
	}
}
