// Package pick selects the target of a request among the candidates of a pool. A
// Set is an immutable snapshot of the candidates. A TargetState holds in atomics what
// this process knows of one target, and outlives the Sets that contain it.
// Picking takes no lock and does not allocate. Time and randomness are passed in
// as arguments.
package pick
