// Package order runs non-idempotent requests at most once.
//
// An order is one such request, identified by its organisation and idempotency
// key. An entry inserts a record for (organisation, key) into the platform's
// table before it dispatches the order to one agent incarnation. The agent's
// ExecutionTracker runs the key at most once in that incarnation. It can also
// guarantee that an attempt that has not started never will (a tombstone). A new
// attempt requires that guarantee; if the incarnation is gone, the outcome is
// unknown and the order never runs again.
//
// Coordinator is the entry's side and ExecutionTracker the agent's side. Recorder
// batches the record writes of many orders into few transactions. Apply is the
// pure function that implements the record's state transitions.
package order
