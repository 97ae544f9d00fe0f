// Package expertmap measures the cost of switching expert maps in a lock-step group:
// stalled steps, messages, and how long a fault stalls the group. It runs the protocol
// code of package version/expertmap on a simulated clock, network and lock-step
// engine, with fixed seeds.
package expertmap
