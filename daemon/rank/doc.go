// Package rank is the agent beside one rank of a lock-step group: it reads what
// the rank tells of its experts, and with the agents of the other ranks decides
// on expert maps and switches to them. No request passes through it.
package rank
