// Package dispatch decides which target runs a request and when. It tracks what
// this process knows of every target, queues requests while no target has capacity
// for them, and rejects those that could not be served in time.
//
// It does no input or output; time is passed in as an argument. A Dispatcher is
// safe for concurrent use.
//
// Lock order: Dispatcher.mu is a leaf.
package dispatch
