// Package target defines the registration of a target. It does no I/O.
package target

import "time"

// Registration is what a target publishes about itself on the platform.
type Registration struct {
	// ID identifies the target; a restarted target may keep it. Service is the name of
	// its service and Address its IP:port.
	ID, Service, Address string
	FailureDomain        string
	// Capacity is the maximum number of requests that the target runs concurrently.
	Capacity int
	// Leaving is set when the target takes no new work.
	Leaving bool
	// WarmupRemaining is how much longer the target is cold, counted from when this
	// registration was written.
	WarmupRemaining time.Duration
	// StartedAt is when the target started, by its own clock. It distinguishes restarts
	// of a target under the same ID.
	StartedAt time.Time
}
