// Package target knows the targets that register themselves on a platform: who
// is there, who is leaving, cold, taken out, failing or full, and what this
// process has in flight at each. It decides without input or output; time comes
// in as an argument.
package target

import "time"

// Registration is what a target tells of itself.
type Registration struct {
	// ID names one incarnation of the target.
	ID, Service, Address string
	FailureDomain        string
	// Capacity is how many requests it runs at once.
	Capacity int
	// Leaving tells that it gets no new work.
	Leaving bool
	// WarmupLeft is how much longer it was cold when it wrote this.
	WarmupLeft time.Duration
	// Born is when the target started, by its own clock; targets that start again
	// under their ID differ in it.
	Born time.Time
}
