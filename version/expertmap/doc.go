// Package expertmap switches the expert map of a lock-step group so that no step ever
// runs on two maps.
//
// A switch is an atomic commit among the agents of the group's ranks. One agent
// coordinates: it polls the others, and the switch takes effect at its step once every
// agent has promised that its engine will not start that step on the old map. An agent
// promises only once its engine holds, and the hold outlives the agent, so that the
// promise can be read back from the engine after a restart. An agent whose promise stays
// undecided polls the others itself, so that a failed coordinator blocks nobody.
//
// Where one engine can hold the whole group (Proposal.GroupHeld), the engine of one rank, the
// holder (Proposal.Holder), does so on a command from the host of another rank, and the
// holder's agent coordinates; the other agents promise without holds of their own. See
// group_hold.go, and CommandEngine for the engine behind it.
//
// Agent is a pure state machine: its inputs are messages, engine replies and the time,
// its outputs messages and actions. Driver connects an Agent to an Engine and a
// Transport.
package expertmap
