// Package rollout distributes every accepted version of the tables to every
// process.
//
// Log stores the accepted versions in the platform's table: one row per version,
// appended by compare-and-set, and a periodic checkpoint of the full table. Node
// is a pure state machine that decides when to read the log, which peers to pull
// from and push to, and whether the process may take new work. Service runs a
// Node over a transport between processes and publishes snapshots.
//
// A few readers in each failure domain poll the head of the log. A node that
// learns of a new version pushes it to a few random peers at once. In addition,
// every node pulls from a reader about once a second, which repairs missed pushes.
// The version of a node never decreases.
package rollout
