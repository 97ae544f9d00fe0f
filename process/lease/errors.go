package lease

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrNotHeld means that this process does not currently hold the lease.
var ErrNotHeld = eris.New("lease is not held")

// ErrRowCopied means that the lease row may come from an older copy of the platform.
var ErrRowCopied = eris.New("lease row may come from an older copy of the platform")

// errOutOfRange means that a lease row has a number that no process writes.
var errOutOfRange = eris.New("number out of range")

// StaleEpochError means that an order carries a lower epoch than an earlier order or
// the lease row, so its sender no longer holds the lease.
type StaleEpochError struct {
	// Lease is the name of the lease.
	Lease string
	// Epoch is the epoch of the order, HighestSeen the highest epoch seen.
	Epoch, HighestSeen uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("lease %s: stale epoch %d, highest seen is %d", e.Lease, e.Epoch, e.HighestSeen)
}

// RowCodecError means that a lease row cannot be encoded or decoded.
type RowCodecError struct {
	// Key is the key of the row.
	Key string
	// Cause is the error of the CBOR codec.
	Cause error
}

// Error implements error.
func (e *RowCodecError) Error() string {
	return "cannot encode or decode lease row " + e.Key + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *RowCodecError) Unwrap() error { return e.Cause }
