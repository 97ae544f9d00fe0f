package order

import (
	"context"

	"verbenaseam.example/verbenaseam/process/platform"
)

// SweepResult is the result of one page of a sweep.
type SweepResult struct {
	// NextAfter is the row key after which the next page starts; empty after the
	// last page.
	NextAfter string
	// Read and Deleted are the numbers of rows read and deleted.
	Read, Deleted int
}

// Sweep reads up to limit records after a row key and deletes the expired ones in
// one transaction. Any entry may run it. On a conflict, no row of the page is
// deleted and the rows are left to a later sweep.
func (c *Coordinator) Sweep(ctx context.Context, after string, limit int) (SweepResult, error) {
	rows, err := c.config.Table.Scan(ctx, RowPrefix, after, limit)
	if err != nil {
		return SweepResult{}, err
	}
	swept := SweepResult{Read: len(rows)}
	if len(rows) == limit {
		swept.NextAfter = rows[len(rows)-1].Key
	}
	txn := c.expirationTxn(rows)
	if len(txn.Deletes) == 0 {
		return swept, nil
	}
	result, err := c.config.Table.Commit(ctx, txn)
	if err != nil {
		return swept, err
	}
	if result.Committed {
		swept.Deleted = len(txn.Deletes)
	}
	return swept, nil
}

// expirationTxn returns the transaction that deletes the expired records.
func (c *Coordinator) expirationTxn(rows []platform.Row) platform.Txn {
	now := c.clock.Now()
	var txn platform.Txn
	for _, row := range rows {
		record, err := Decode(row.Value)
		if err != nil || !record.Expired(now) {
			continue
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Revision: row.Revision})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	return txn
}
