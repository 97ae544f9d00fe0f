// Package callers accepts the connections of callers, closes those that exceed the timeouts in force,
// and drains them in a shutdown without losing a request that has arrived.
//
// Lock order: Listener.mu, then the lock of a connection.
package callers
