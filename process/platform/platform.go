// Package platform defines the platform services that entries and agents use: a
// transactional key-value table and a list of hosts. The adapter in the top-level
// folder platform/ implements them over the platform's store.
package platform

import "context"

// Revision is the version of a row. The platform may return from an older copy, after which
// it gives out numbers again, so revisions of different eras are never equal.
type Revision struct {
	// Era counts the times that the platform has returned from an older copy.
	Era uint64
	// Number increases with every write of an era; 0 means the row is absent.
	Number int64
}

// IsAbsent reports whether it is the revision of an absent row, in any era.
func (r Revision) IsAbsent() bool { return r.Number == 0 }

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision is absent if the row is.
	Revision Revision
}

// Condition requires a row to be at a revision; the zero revision requires its absence. A
// revision of an earlier era holds for no row.
type Condition struct {
	Key      string
	Revision Revision
}

// Holds reports whether the condition holds for the row, which may be absent.
func (c Condition) Holds(row Row) bool {
	if c.Revision.IsAbsent() {
		return row.Revision.IsAbsent()
	}
	return row.Revision == c.Revision
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
	Revision Revision
	// Conflicts holds the current rows of the conditions that failed; an absent
	// row has an absent revision.
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
	// Era returns the latest era that a response has shown, without a call.
	Era() uint64
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
