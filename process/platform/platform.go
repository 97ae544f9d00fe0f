// Package platform defines the platform services that entries and agents use: a
// transactional key-value table and a list of hosts. The adapter in the top-level
// folder platform/ implements them over the platform's store.
package platform

import "context"

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision increases with every write of the row; 0 means the row is absent.
	Revision int64
}

// Condition requires a row to be at a revision; revision 0 requires its absence.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one row.
type Put struct {
	Key   string
	Value []byte
}

// MaxTxnOperations is the maximum number of conditions, puts and deletes of a Txn in
// total.
const MaxTxnOperations = 100

// Txn is an atomic transaction: if all its conditions hold, all its puts and deletes
// take effect, otherwise none does.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Committed is set if the puts and deletes took effect.
	Committed bool
	// Revision is the revision of the written rows.
	Revision int64
	// Conflicts holds the current rows of the conditions that failed; an absent
	// row has revision 0.
	Conflicts []Row
}

// Table is the platform's transactional table. Every method fails with one of
// the error types of this package.
type Table interface {
	// Get returns the rows with the given keys in one read; absent rows are
	// omitted.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater than
	// after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction; it counts as one write.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// Host is one host of the live list.
type Host struct {
	// Name is unique among the live hosts.
	Name string
	// Role is "entry" or "target".
	Role string
	// Address is the IP:port of the host's verbenaseam process.
	Address       string
	FailureDomain string
	// Leaving is set when the host is about to be removed.
	Leaving bool
}

// LiveList is the platform's list of hosts; it lags behind the actual state.
type LiveList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Service combines all platform services.
type Service interface {
	Table
	LiveList
}
