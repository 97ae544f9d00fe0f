// Package placement compares strategies for placing experts on ranks under drifting
// expert popularity: the load skew of the steps, the volume of moved weights, and the
// time that a decision takes. Loads are simulated from fixed seeds and are the same
// for all strategies.
package placement
