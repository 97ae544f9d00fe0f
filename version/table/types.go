// Package table holds the operators' tables: routes and pools joined by names,
// with the targets, failure domains and organisations they speak of. A Table is
// the editable form, a Snapshot the compiled, immutable one that serves.
package table

import "time"

// Class is the service class of a request; when load must be shed, the lowest
// class goes first.
type Class string

// Classes, from the first to be shed to the last.
const (
	ClassLow    Class = "low"
	ClassNormal Class = "normal"
	ClassHigh   Class = "high"
)

// Match says which requests a route takes; empty fields match anything.
type Match struct {
	// Host is the host that the request names, in lower case and without a port.
	Host string
	// Path is a path prefix, on whole segments; one that ends in a slash takes
	// only what is below it.
	Path string
	// Model is the model named in the request body.
	Model string
	// Organisation is the caller's organisation.
	Organisation string
	// Class is the class the caller asked for.
	Class Class
	// HeaderName and HeaderValue name a header and the value it must have.
	HeaderName  string
	HeaderValue string
}

// Route says where the requests of some callers go.
type Route struct {
	Name  string
	Match Match
	// Priority decides between overlapping routes; the higher wins.
	Priority int
	// Pool is the pool that serves the route.
	Pool string
	// FallbackPool serves when Pool cannot; empty for none.
	FallbackPool string
	// Timeout bounds a request when its caller names no shorter one.
	Timeout time.Duration
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Class is given to requests of this route that name none.
	Class Class
	// QuotaPerSecond bounds requests a second an organisation; 0 means none.
	QuotaPerSecond float64
	// Direct says how requests of the route are sent straight to targets, without
	// an agent between; nil for a route that goes through agents. It comes from a
	// platform's configuration, never from a tables' file.
	Direct *Direct
}

// Direct is how the requests of a route are sent straight to targets.
type Direct struct {
	// Split shares the requests out among pools by weight.
	Split []PoolShare
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Public tells that a request needs no key.
	Public bool
	// Streams tells that answers are streams of events, and Resumable that a
	// stream may go on at another target after the last event that arrived.
	Streams, Resumable bool
	// Urgency orders requests that wait; 0 goes first.
	Urgency int
	// Latency is the time to the answer, or to a stream's first event, within
	// which the request counts as served in time; Gap bounds a stream's pauses.
	Latency, Gap time.Duration
}

// PoolShare is a pool's part of a route's requests.
type PoolShare struct {
	Pool   string
	Weight float64
}

// PoolKind tells what stands behind a pool's targets.
type PoolKind string

// Pool kinds.
const (
	KindModel   PoolKind = "model"
	KindService PoolKind = "service"
)

// Fencing tells whether a pool's targets refuse orders with an old epoch.
type Fencing string

// Fencing modes.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Pool says which targets stand behind a name.
type Pool struct {
	Name    string
	Kind    PoolKind
	Targets []string
	// ColdLimit is the concurrency a just-started target can bear.
	ColdLimit int
	// Maximum is the concurrency no target of the pool exceeds.
	Maximum int
	Fencing Fencing
	// Policy is the picking policy: "score", "p2c", "least" or "round_robin".
	Policy string
	// LockStep tells that the targets are the ranks of one lock-step group, in
	// the order of Targets; the group bears the pool's name.
	LockStep bool
	// Rebalance tells that weights of experts may be moved between the ranks of
	// the group; operators take it back to pause that.
	Rebalance bool
}

// Target is one back end with the agent before it.
type Target struct {
	Name string
	// Agent is the IP:port of the target's agent.
	Agent         string
	FailureDomain string
	// Leaving tells that the target gets no new work.
	Leaving bool
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// Out tells that operators took the failure domain out.
	Out bool
}

// Organisation is a customer.
type Organisation struct {
	Name string
	// KeyHashes are the hex SHA-256 hashes of the organisation's keys.
	KeyHashes []string
	// Weight is the organisation's share under contention; 0 means 1.
	Weight float64
	// Urgency goes before that of a route for the organisation's requests; nil
	// for none. It comes from a platform's configuration only.
	Urgency *int
}

// Table is one version of everything operators edit.
type Table struct {
	// Version grows by one with each accepted change; 0 is the empty table.
	Version       uint64
	Routes        map[string]Route
	Pools         map[string]Pool
	Targets       map[string]Target
	Domains       map[string]Domain
	Organisations map[string]Organisation
}
