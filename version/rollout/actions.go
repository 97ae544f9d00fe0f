package rollout

import "verbenaseam.example/verbenaseam/process/platform"

// Action is a side effect that a Node asks its runtime to perform.
type Action interface{ action() }

// Send sends a message to a peer.
type Send struct {
	Peer string
	Kind uint16
	Body any
}

// ReadLog reads the log entries after version After. The result is passed to
// Node.HandleRead.
type ReadLog struct{ After uint64 }

// LoadFullTable loads the full table from the log. The result is passed to
// Node.HandleFullTable.
type LoadFullTable struct{}

// InstallFullTable decodes and installs a full table received from a peer. The
// result is passed to Node.HandleFullTable.
type InstallFullTable struct {
	Version uint64
	Body    []byte
}

// Install applies entries to the newest table that the runtime holds.
type Install struct{ Entries []Entry }

// SendPart sends one part of the encoded full table to a peer.
type SendPart struct {
	Peer  string
	Fetch FetchPart
}

// ReadHosts reads the platform.LiveList. The result is passed to
// Node.HandleHosts.
type ReadHosts struct{}

// PublishHosts publishes a new host list.
type PublishHosts struct{ Hosts []platform.Host }

// BecomeReady notifies the runtime that the node has an initial version and the
// process may begin to serve.
type BecomeReady struct{}

func (Send) action()             {}
func (ReadLog) action()          {}
func (LoadFullTable) action()    {}
func (InstallFullTable) action() {}
func (Install) action()          {}
func (SendPart) action()         {}
func (ReadHosts) action()        {}
func (PublishHosts) action()     {}
func (BecomeReady) action()      {}
