// Package dispatch decides which target runs a request and when. It tracks what
// this process knows of every target and queues requests while no target has
// capacity for them. Its callers reject those that have waited too long.
//
// It does no input or output; time is passed in as an argument. A Dispatcher is
// safe for concurrent use.
//
// Lock order: Dispatcher.mu is a leaf.
package dispatch
