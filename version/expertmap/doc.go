// Package expertmap switches the expert map of a lock-step group so that no
// step ever runs on two maps.
//
// A switch is an atomic commit among the agents of the group's ranks. One agent
// coordinates: it polls the others, and the switch takes effect at its step once
// every agent has promised that its engine will not start that step on the old
// map. An agent promises only once its engine holds, and the hold outlives the
// agent, so that a promise can be read back after a restart. Any agent whose
// promise stays undecided polls the others itself, so that a dead coordinator
// blocks nobody.
//
// Where one engine can hold the whole group (Proposal.Kept), that of one rank, the
// keeper, does so by order of another rank's host, and its agent coordinates; the
// others promise without holds of their own. See keep.go, and OrderEngine for the
// engine behind it.
//
// Agent is a pure state machine: messages, engine answers and time go in;
// messages and actions come out. Driver connects an Agent to an Engine and a
// Transport.
package expertmap
