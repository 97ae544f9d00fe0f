package dispatch

import (
	"time"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/version/config"
)

// Target is what this process knows of one incarnation of a target. Its fields
// are guarded by the Dispatcher's lock; a Target that has been taken out of the
// Dispatcher stays valid for the requests that are under way on it.
type Target struct {
	registration target.Registration
	// incarnation tells apart targets with the same ID; it never changes.
	incarnation string
	service     *config.Service
	// running is this process's requests at the target, others what the other
	// processes say they have there.
	running int
	others  map[string]int
	// coldUntil is when the target is warm, sends the times of the last second's
	// requests to it while it was cold.
	coldUntil time.Time
	sends     []time.Time
	health    health
	// full is until when the target refuses for want of room.
	full time.Time
	// progress is when this process last saw it answer or go on with a stream.
	progress time.Time
	gone     bool
	// pace is how much longer than usual it takes, believed until paceUntil.
	pace      float64
	paceUntil time.Time
}

// ID names the incarnation.
func (t *Target) ID() string { return t.registration.ID }

// Incarnation tells the target from others that had its ID.
func (t *Target) Incarnation() string { return t.incarnation }

// Address is the target's IP:port.
func (t *Target) Address() string { return t.registration.Address }

// Service names the service that the target belongs to.
func (t *Target) Service() string { return t.registration.Service }

// FailureDomain names the target's failure domain.
func (t *Target) FailureDomain() string { return t.registration.FailureDomain }

// load is the requests that all known processes have at the target.
func (t *Target) load() int {
	total := t.running
	for _, count := range t.others {
		total += count
	}
	return total
}

// setRegistration takes over what the target tells of itself.
func (t *Target) setRegistration(registration target.Registration, now time.Time) {
	t.registration = registration
	if registration.WarmupLeft > 0 {
		t.coldUntil = now.Add(registration.WarmupLeft)
	}
}

// usable tells whether the target may get new work at all.
func (t *Target) usable(out map[string]bool) bool {
	return !t.gone && !t.registration.Leaving && !out[t.registration.FailureDomain]
}

// ConnectionLimit is how many connections one of several processes may open to
// the target; 0 for no limit.
func (t *Target) ConnectionLimit(processes int) int {
	if t.service == nil || t.service.MaxConnections <= 0 {
		return 0
	}
	return max(t.service.MaxConnections/processes, 1)
}
