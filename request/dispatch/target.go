package dispatch

import (
	"time"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/balance"
	"verbenaseam.example/verbenaseam/version/config"
)

// Target is what this process knows of one incarnation of a target. Its fields are
// guarded by Dispatcher.mu. A Target that was removed from the Dispatcher stays
// valid for the requests that still run on it.
type Target struct {
	registration target.Registration
	// incarnation distinguishes targets with the same ID; it never changes.
	incarnation string
	service     *config.Service
	// remote is set if the target is not in this process's failure domain.
	remote bool
	// running counts the requests of this process at the target; peerLoad holds the
	// counts that other processes report, by process.
	running  int
	peerLoad map[string]int
	// peerTotal is the sum of peerLoad.
	peerTotal int
	// tokens are those of this process's requests; peerTokens is by how much those of other
	// processes exceed their shares of the memory, by process. See tokens.go.
	tokens     int
	peerTokens map[string]int
	// coldUntil is when the target's warm-up ends.
	coldUntil time.Time
	// sends holds the times of this process's requests to the target within
	// sendWindow, if its service limits requests to cold targets.
	sends  []time.Time
	warmup warmupPart
	health health
	// saidLeaving is set while a notice in Dispatcher.leaving names this incarnation.
	saidLeaving bool
	// pause is the pause that the target has asked for; never nil.
	pause *pause
	// rateLimit is the limit that the target has named, also one that it has lifted; may be nil.
	rateLimit *rateLimit
	// limitKnown is set once the target has told this process whether it has a limit.
	limitKnown bool
	// fullUntil ends the pause after the target refused a request for lack of
	// capacity.
	fullUntil time.Time
	// lastProgress is when this process last received a response or part of a stream
	// from the target.
	lastProgress time.Time
	// freed is the number of slots that this process has freed and not used again, of which
	// the others do not know until freedUntil. claimOffset is derived from the ID; see
	// capacity.MayClaim.
	freed       int
	freedUntil  time.Time
	claimOffset uint64
	// gone is set once the target is removed or its address belongs to another, superseded
	// while another one that started later is registered at its address.
	gone, superseded bool
	// slowdown is the time that the target takes relative to its usual time, valid
	// until slowdownUntil.
	slowdown      float64
	slowdownUntil time.Time
	// responses are the response times that this process has observed. slowness is how much
	// longer they are than those of faster targets, as a share; reportedSlow is set while
	// PaceChanges has reported the target as slow.
	responses    balance.ResponseTimes
	slowness     float64
	reportedSlow bool
}

// ID returns the target's ID. A target that restarts may keep it; see Incarnation.
func (t *Target) ID() string { return t.registration.ID }

// Incarnation distinguishes the target from others with the same ID.
func (t *Target) Incarnation() string { return t.incarnation }

// Address returns the target's IP:port.
func (t *Target) Address() string { return t.registration.Address }

// Service returns the name of the service that the target belongs to.
func (t *Target) Service() string { return t.registration.Service }

// FailureDomain returns the name of the target's failure domain.
func (t *Target) FailureDomain() string { return t.registration.FailureDomain }

// load returns how many requests all known processes have at the target.
func (t *Target) load() int { return t.running + t.peerTotal }

// setPeerLoad sets the number of requests of another process.
func (t *Target) setPeerLoad(process string, count int) {
	t.peerTotal += count - t.peerLoad[process]
	if count > 0 {
		t.peerLoad[process] = count
	} else {
		delete(t.peerLoad, process)
	}
}

// fullness returns the target's load as a share of its slots.
func (t *Target) fullness() float64 {
	return float64(t.load()) / float64(max(t.registration.Capacity, 1))
}

// setRegistration updates the target from its latest registration; ownDomain is the failure
// domain of this process.
func (t *Target) setRegistration(registration target.Registration, ownDomain string, now time.Time) {
	t.registration = registration
	t.remote = registration.FailureDomain != ownDomain
	if registration.WarmupRemaining > 0 {
		t.coldUntil = now.Add(registration.WarmupRemaining)
	}
}

// usable reports whether the target may get new requests, now or after a pause: it is
// registered, is not leaving, and its failure domain is not among domainsOut.
func (t *Target) usable(domainsOut map[string]bool) bool {
	return !t.gone && !t.superseded && !t.registration.Leaving && !t.saidLeaving && (len(domainsOut) == 0 || !domainsOut[t.registration.FailureDomain])
}

// ConnectionLimit returns how many connections one of several processes may open to
// the target, or 0 for no limit.
func (t *Target) ConnectionLimit(processes int) int {
	if t.service == nil || t.service.MaxConnections <= 0 {
		return 0
	}
	return max(t.service.MaxConnections/processes, 1)
}
