// Package dispatch decides which target takes a request and when: it keeps what
// this process knows of every target, holds requests back while no target can
// serve them in time, and refuses those that would wait in vain.
//
// It does no input or output; time comes in as an argument. A Dispatcher may be
// used by many goroutines.
//
// Lock order: Dispatcher.mu is a leaf.
package dispatch
