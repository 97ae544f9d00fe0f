// Package rollout distributes every accepted version of the tables to every
// process.
//
// Log stores the accepted versions in the platform's table: one row per version,
// appended by compare-and-set, and a periodic checkpoint of the full table. Node
// is a pure state machine that decides when to read the log and which peers to pull
// from and push to. MayServe decides from the state of a Node whether the process
// may take new work. Service runs a Node over a transport between processes and
// publishes snapshots.
//
// A few entry hosts in each failure domain, the readers, poll the head of the log. A
// node that learns of a new version from the log or a push pushes it to a few random
// peers at once. In addition, the other nodes pull from a reader about once a
// second, or from a relay, which is an entry host that is not a reader, about every
// half second. This repairs missed pushes. The version of a node never decreases.
package rollout
