package group

import (
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
)

// Message kinds.
const (
	// MessageExpertMap carries an expertmap.Message between agents of a group.
	MessageExpertMap uint16 = 200
	// MessageReport carries a Report from an agent to the entries that have recently
	// asked for its load.
	MessageReport uint16 = 250
	// MessageOrder carries an Order from the lease holder to an agent.
	MessageOrder uint16 = 251
	// MessageAnswer carries an Answer from an agent to the sender of the order.
	MessageAnswer uint16 = 252
)

// LeaseName is the name of the lease whose holder may send engine orders.
const LeaseName = "groups"

// Report is an agent's report on its rank.
type Report struct {
	Pool   string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
	// Rank is the engine's rank in the group, Size the number of ranks.
	Rank int `cbor:"3,keyasint"`
	Size int `cbor:"4,keyasint"`
	// AgentIncarnation is the incarnation that the agent uses in calls to its engine.
	AgentIncarnation uint64 `cbor:"5,keyasint"`
	// Group identifies the incarnation of the group.
	Group expertmap.GroupID `cbor:"6,keyasint"`
	// Step is the last step that the engine started.
	Step uint64 `cbor:"7,keyasint"`
	// Running is the map in use. Current is the map that a decided switch will bring
	// into use, or Running if there is none.
	Running expertmap.MapID `cbor:"8,keyasint"`
	Current expertmap.MapID `cbor:"9,keyasint"`
	// Undecided is set while a proposal that the agent has promised is undecided.
	Undecided bool `cbor:"10,keyasint"`
	// Loaded holds the maps that the rank has loaded and can switch to.
	Loaded []expertmap.MapID `cbor:"11,keyasint,omitempty"`
	// Ended is the last proposal whose outcome the agent knows, Decision that outcome.
	Ended    expertmap.ProposalID `cbor:"12,keyasint"`
	Decision expertmap.Decision   `cbor:"13,keyasint"`
}

// Load is an agent's report on the load of its rank's experts.
type Load struct {
	Pool   string           `cbor:"1,keyasint"`
	Target string           `cbor:"2,keyasint"`
	Report placement.Report `cbor:"3,keyasint"`
	// Slots is the number of experts that fit into the rank's memory, by layer.
	Slots []int `cbor:"4,keyasint"`
	// ExpertBytes is the size of the weights of one expert in one layer.
	ExpertBytes int `cbor:"5,keyasint"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
const (
	// OrderReadLoad asks for the load of the rank's experts, and makes the agent send
	// reports for a limited time. It does not change the engine.
	OrderReadLoad OrderKind = "read_load"
	// OrderReadMap asks for the content of Order.Map. It does not change the engine.
	OrderReadMap OrderKind = "read_map"
	// OrderLoadMap loads the map Order.Map, whose content is Order.Content.
	OrderLoadMap OrderKind = "load_map"
	// OrderPropose makes the agent coordinate the vote on Order.Proposal.
	OrderPropose OrderKind = "propose"
	// The remaining kinds pass Order.Value to the engine.
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order is an order to the engine of one rank.
type Order struct {
	// ID identifies the order in its answer. It is unique during the lifetime of the
	// sending process.
	ID   uint64    `cbor:"1,keyasint"`
	Pool string    `cbor:"2,keyasint"`
	Kind OrderKind `cbor:"3,keyasint"`
	// Epoch is the epoch of the lease LeaseName.
	Epoch    uint64              `cbor:"4,keyasint"`
	Value    string              `cbor:"5,keyasint,omitempty"`
	Map      expertmap.MapID     `cbor:"6,keyasint,omitzero"`
	Proposal *expertmap.Proposal `cbor:"7,keyasint,omitempty"`
	Content  *placement.Map      `cbor:"8,keyasint,omitempty"`
}

// Result is the outcome of an order.
type Result string

// Results.
const (
	// ResultDone means that the order took effect. For OrderPropose it means only that
	// the agent has accepted the proposal.
	ResultDone Result = "done"
	// ResultRefused means that the order had no effect and never will.
	ResultRefused Result = "refused"
	// ResultUnknown means that the order may have taken effect.
	ResultUnknown Result = "unknown"
)

// Answer is the answer to an order.
type Answer struct {
	ID     uint64 `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	// StaleEpoch is set if the order carried an old epoch, which means that its sender has
	// lost the lease.
	StaleEpoch bool `cbor:"3,keyasint,omitempty"`
	// Reason is the human-readable reason why the order was not executed.
	Reason string `cbor:"4,keyasint,omitempty"`
	// Content is the content of the map requested by OrderReadMap.
	Content *placement.Map `cbor:"5,keyasint,omitempty"`
	// Load is the load requested by OrderReadLoad.
	Load *Load `cbor:"6,keyasint,omitempty"`
}
