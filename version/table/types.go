// Package table holds the routing configuration that operators edit: routes,
// pools, targets, failure domains and organisations, which refer to one another by
// name. A Table is the editable form, a Snapshot the compiled, immutable form that
// requests are routed with.
package table

import "time"

// Class is the service class of a request. When load must be shed, requests of the
// lowest class are shed first.
type Class string

// Service classes, from the first to be shed to the last.
const (
	ClassLow    Class = "low"
	ClassNormal Class = "normal"
	ClassHigh   Class = "high"
)

// Match is the set of conditions that a request must meet to take a route. Empty
// fields match anything.
type Match struct {
	// Host is the requested host, in lower case and without a port.
	Host string
	// Path is a path prefix that matches on whole segments. A prefix with a
	// trailing slash matches only paths below it; Validate rejects such prefixes,
	// but a platform's configuration may contain them.
	Path string
	// Model is the model named in the request body.
	Model string
	// Organisation is the caller's organisation.
	Organisation string
	// Class is the class that the caller asked for.
	Class Class
	// HeaderName is the name of a header that the request must have, HeaderValue
	// the value of that header.
	HeaderName  string
	HeaderValue string
}

// Route maps matching requests to a pool and sets how they are handled.
type Route struct {
	Name  string
	Match Match
	// Priority decides between overlapping routes; the highest wins.
	Priority int
	// Pool is the name of the pool that serves the route.
	Pool string
	// FallbackPool is the name of the pool that serves the route when Pool cannot;
	// empty for none.
	FallbackPool string
	// Timeout bounds a request unless the caller asks for a shorter timeout.
	Timeout time.Duration
	// Idempotent reports whether a request may be executed more than once.
	Idempotent bool
	// Class is the class of requests that name none.
	Class Class
	// QuotaPerSecond is the limit of requests per second for each organisation; 0
	// means no limit.
	QuotaPerSecond float64
	// Direct sets how requests are sent to targets without an agent in between; nil
	// for a route that goes through agents. It is set by a platform's
	// configuration, never by a tables file.
	Direct *Direct
}

// Direct sets how the requests of a route are sent to targets without an agent in
// between.
type Direct struct {
	// Split distributes the requests among pools by weight.
	Split []PoolShare
	// MaxAttempts is the maximum number of targets that one request may be sent to.
	MaxAttempts int
	// Public reports whether requests are accepted without an API key.
	Public bool
	// Streams reports whether responses are event streams. Resumable reports whether
	// another target can continue a stream after the last event received.
	Streams, Resumable bool
	// Urgency orders queued requests; 0 is served first.
	Urgency int
	// Latency is the latency objective: a request counts as served in time if the
	// response, or the first event of a stream, arrives within it. Gap is the bound
	// on the time between two events of a stream.
	Latency, Gap time.Duration
}

// PoolShare is the weight of a pool in the distribution of a route's requests.
type PoolShare struct {
	Pool   string
	Weight float64
}

// PoolKind is the kind of back end behind a pool's targets.
type PoolKind string

// Pool kinds.
const (
	KindModel   PoolKind = "model"
	KindService PoolKind = "service"
)

// Fencing states whether the targets of a pool reject orders with an old epoch.
type Fencing string

// Fencing modes.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Pool is a named set of targets with its concurrency limits and selection policy.
type Pool struct {
	Name    string
	Kind    PoolKind
	Targets []string
	// ColdLimit is the concurrency that a newly started target can handle.
	ColdLimit int
	// Maximum is the upper bound on the concurrency of each target.
	Maximum int
	Fencing Fencing
	// Policy is the target selection policy: "score", "p2c", "least" or "round_robin".
	Policy string
	// LockStep reports whether the targets are the ranks of one lock-step group, in
	// the order of Targets. The group has the name of the pool.
	LockStep bool
	// Rebalance reports whether expert weights may be moved between the ranks of the
	// group. Operators clear it to pause rebalancing.
	Rebalance bool
}

// Target is a back end together with the agent that fronts it.
type Target struct {
	Name string
	// Agent is the IP:port of the target's agent.
	Agent         string
	FailureDomain string
	// Leaving reports whether the target is being drained; it gets no new work.
	Leaving bool
}

// FailureDomain is a set of hosts that can fail together.
type FailureDomain struct {
	Name   string
	Region string
	// Out reports whether operators have taken the failure domain out of service.
	Out bool
}

// Organisation is a customer, identified by its API keys.
type Organisation struct {
	Name string
	// KeyHashes holds the hex SHA-256 hashes of the organisation's API keys.
	KeyHashes []string
	// Weight is the organisation's relative share under contention; 0 means 1.
	Weight float64
	// Urgency overrides the urgency of the route for the organisation's requests;
	// nil keeps that of the route. It is set only by a platform's configuration.
	Urgency *int
}

// Table is one version of the configuration that operators edit.
type Table struct {
	// Version increases by one with each accepted change; 0 is the empty table.
	Version       uint64
	Routes        map[string]Route
	Pools         map[string]Pool
	Targets       map[string]Target
	Domains       map[string]FailureDomain
	Organisations map[string]Organisation
}
