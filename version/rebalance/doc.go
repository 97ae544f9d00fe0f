// Package rebalance decides when a lock-step group switches to another expert map.
// It tracks the demand for each expert, searches for a map that is worth its copies,
// and proposes the switch once all ranks have copied that map.
//
// Any agent can plan; the agent of the lowest live rank does. Two agents that plan
// at the same time do no harm, since package expertmap alone decides whether a
// switch takes place.
//
// Planner performs no I/O and reads no clock: messages and the time are its input,
// messages its output. It is not safe for concurrent use.
package rebalance
