// Package rank implements the agent that runs on the host of one rank of a lock-step
// group. It reads the rank's reports and expert counts, and agrees with the agents of
// the other ranks on expert maps and on the steps at which the group switches to
// them. Requests do not pass through it.
package rank
