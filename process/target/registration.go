// Package target defines the registration of a target. It performs no input or
// output.
package target

import "time"

// Registration is what a target publishes about itself on the platform.
type Registration struct {
	// ID names one incarnation of the target.
	ID, Service, Address string
	FailureDomain        string
	// Capacity is how many requests the target runs concurrently.
	Capacity int
	// Leaving is set when the target takes no new work.
	Leaving bool
	// WarmupRemaining is how much longer the target is cold, as of the write of this
	// registration.
	WarmupRemaining time.Duration
	// StartedAt is when the target started, by its own clock. It distinguishes restarts
	// of a target under the same ID.
	StartedAt time.Time
}
