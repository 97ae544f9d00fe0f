package rollout

import "time"

// MaxUnconfirmedAge is how long a process that does not reach a majority of the
// failure domains accepts new work without confirmation that its version is the
// newest. It is also how long after its request a response counts as proof that a
// failure domain is reachable.
const MaxUnconfirmedAge = 3 * time.Second

// ServeInput is a node's knowledge of its version and its connectivity, from which
// MayServe decides whether it may accept new work.
type ServeInput struct {
	// Ready means that the node has an initial version.
	Ready bool
	// Behind means that a higher version has been known to exist for longer than
	// the node should need to fetch it.
	Behind bool
	// ConfirmedAge is the time since the node's version was last confirmed to be the
	// newest.
	ConfirmedAge time.Duration
	// FailureDomain is the node's failure domain.
	FailureDomain string
	// Reached lists the other failure domains that responded to a request sent within
	// the last MaxUnconfirmedAge.
	Reached []string
	// InService lists the failure domains that are not taken out of service, as far
	// as known.
	InService []string
}

// ServeDecision states whether a process may accept new work, and why.
type ServeDecision string

// Serve decisions. Those named Serve allow new work, those named Refuse do not.
const (
	// ServeCurrent means that the version is confirmed to be the newest.
	ServeCurrent ServeDecision = "current"
	// ServePlatformOutage means that the version could not be confirmed although a
	// majority of the failure domains is reachable, so the platform must be down.
	ServePlatformOutage ServeDecision = "platform-outage"
	// RefuseStarting means that the node has no version yet.
	RefuseStarting ServeDecision = "starting"
	// RefuseBehind means that a higher version has been known for longer than the
	// node should need to fetch it.
	RefuseBehind ServeDecision = "behind"
	// RefusePartitioned means that the process may be partitioned and miss new
	// versions.
	RefusePartitioned ServeDecision = "cut-off"
)

// OK reports whether the decision allows new work.
func (d ServeDecision) OK() bool { return d == ServeCurrent || d == ServePlatformOutage }

// MayServe decides whether a process may accept new work.
func MayServe(input ServeInput) ServeDecision {
	switch {
	case !input.Ready:
		return RefuseStarting
	case input.Behind:
		return RefuseBehind
	case input.ConfirmedAge <= MaxUnconfirmedAge:
		return ServeCurrent
	case reachesMajority(input):
		return ServePlatformOutage
	default:
		return RefusePartitioned
	}
}

// reachesMajority reports whether the node's own failure domain and those that it
// reaches are more than half of those in service. It is true if none is known.
func reachesMajority(input ServeInput) bool {
	reached := map[string]bool{input.FailureDomain: true}
	for _, domain := range input.Reached {
		reached[domain] = true
	}
	total, reachedCount := 0, 0
	for _, domain := range input.InService {
		total++
		if reached[domain] {
			reachedCount++
		}
	}
	return 2*reachedCount > total || total == 0
}
