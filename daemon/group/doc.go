// Package group implements the rebalancing of lock-step groups by the lease holder. It
// defines the messages between the lease holder and the agents of a group: the ranks'
// reports, engine orders with the epoch of the lease, and the answers to them. Planner
// decides on expert maps, and Coordinator switches a group to them.
package group
