// Package poison detects requests that crash every target that runs them.
//
// Agents report the fingerprints of the requests that were in flight when an engine
// ended. A fingerprint is suspected after a crash until a request with it completes
// on any target. Suspected requests run on trial: one at a time, on a target that
// all entries select deterministically. After two crashes (by default) that no other
// fingerprint explains, a fingerprint is refused for a time. When several targets
// crash within a short time, as in a power failure, only requests that were in flight
// in two or more of those crashes are suspected.
//
// Ledger stores the evidence. It does no input or output and time is passed in as an
// argument; its assessments depend only on the evidence, not on the order in which it
// arrived. Tracker is a Ledger that is safe for concurrent use.
package poison
