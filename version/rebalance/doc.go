// Package rebalance decides when a lock-step group gets another expert map: which
// agent plans, what is in demand, which map pays, and when all ranks have copied
// it so that the switch can be proposed.
//
// Any agent can plan; the one of the lowest live rank does. Two that plan at once
// do no harm, since package expertmap alone decides whether a switch happens.
//
// Planner is pure: messages and time go in, messages come out. It is not safe
// for concurrent use.
package rebalance
