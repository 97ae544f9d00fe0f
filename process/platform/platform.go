// Package platform is what entries and agents use of a platform: a transactional
// table and a list of hosts. The adapter in the folder platform/ at the root
// implements it over the platform's store.
package platform

import "context"

// Row is one row of the table.
type Row struct {
	// Key is the row's name.
	Key string
	// Value is the row's content.
	Value []byte
	// Revision grows with every write of the row; 0 means the row is absent.
	Revision int64
}

// Condition requires a row to be at a revision; revision 0 requires absence.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one row.
type Put struct {
	Key   string
	Value []byte
}

// MostEntries bounds the conditions, puts and deletes of a Txn together.
const MostEntries = 100

// Txn writes all its rows if all its conditions hold, else none.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	// Committed tells whether the writes took effect.
	Committed bool
	// Revision is the revision of the written rows.
	Revision int64
	// Conflicts holds the present rows of the conditions that failed; an absent
	// row has revision 0.
	Conflicts []Row
}

// Table is the platform's transactional table. Every method fails with one of
// the error types of this package.
type Table interface {
	// Get reads rows by key in one read; absent rows are left out.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads up to limit rows with the prefix and a key greater than after,
	// in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction; it counts as one write.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// Host is one line of the live list.
type Host struct {
	// Name is unique among the live hosts.
	Name string
	// Role is "entry" or "target".
	Role string
	// Address is the IP:port of the host's verbenaseam process.
	Address string
	// FailureDomain is the host's failure domain.
	FailureDomain string
	// Leaving tells that the host is about to be taken away.
	Leaving bool
}

// LiveList is the platform's lagging list of hosts.
type LiveList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Service is everything the platform gives.
type Service interface {
	Table
	LiveList
}
