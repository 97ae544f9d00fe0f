package rollout

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/version/table"
)

// Change is a new version of the tables proposed by an operator.
type Change struct {
	// ID identifies the change; a retry of the same change has the same ID.
	ID string
	// Operator is the name of the operator who proposes the change.
	Operator string
	// Base is the version that the change is based on.
	Base uint64
	// Next is the full table after the change; its Version is ignored.
	Next *table.Table
}

// Entry is one accepted version in the log.
type Entry struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Operator string `cbor:"3,keyasint"`
	// AcceptedUnix is the Unix time of acceptance in seconds, informational only.
	AcceptedUnix int64 `cbor:"4,keyasint"`
	// Delta is the encoded table.Delta from the previous version.
	Delta []byte `cbor:"5,keyasint,omitempty"`
	// Parts is the number of rows that hold the delta if it is too large for one
	// row, otherwise 0.
	Parts int `cbor:"6,keyasint,omitempty"`
}

// AcceptedAt returns the time of acceptance, which is informational only.
func (e Entry) AcceptedAt() time.Time { return time.Unix(e.AcceptedUnix, 0).UTC() }

// headRow is the value of the head row, which records the newest version.
type headRow struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
}

// changeRow is the value of a change's row. It records the version that the
// change produced, so that a retry is recognised.
type changeRow struct {
	Version uint64 `cbor:"1,keyasint"`
}

// checkpointRow is the value of the checkpoint row, which refers to the newest
// full table in the log.
type checkpointRow struct {
	Version uint64 `cbor:"1,keyasint"`
	// Parts is the number of rows that hold the table.
	Parts int `cbor:"2,keyasint"`
	// Previous is the version of the previous checkpoint.
	Previous uint64 `cbor:"3,keyasint"`
}

// maxParts bounds the number of rows that hold a delta or a table, and of the parts in which
// a peer sends a table.
const maxParts = 1024

// errWrongNumber means that a row of the log has a number that no process writes there.
var errWrongNumber = eris.New("number does not fit the row")

// valid reports whether the number of parts is in range.
func (e Entry) valid() bool { return e.Parts >= 0 && e.Parts <= maxParts }

// valid reports whether the number of parts is in range.
func (c checkpointRow) valid() bool { return c.Parts >= 0 && c.Parts <= maxParts }

// delta decodes the delta of an entry that was read whole. It fails with table.CodecError or
// VersionMismatchError.
func (e Entry) delta() (table.Delta, error) {
	delta, err := table.DecodeDelta(e.Delta)
	if err == nil && (delta.To != e.Version || delta.From != e.Version-1) {
		err = &VersionMismatchError{Want: e.Version, Have: delta.To}
	}
	return delta, err
}

// decodeRow decodes the value of a row. It fails with CorruptLogError.
func decodeRow(key string, value []byte, into any) error {
	err := cbor.Unmarshal(value, into)
	if row, ok := into.(interface{ valid() bool }); err == nil && ok && !row.valid() {
		err = errWrongNumber
	}
	if err != nil {
		return &CorruptLogError{Key: key, Cause: err}
	}
	return nil
}

func encodeRow(key string, row any) ([]byte, error) {
	value, err := cbor.Marshal(row)
	if err != nil {
		return nil, &CorruptLogError{Key: key, Cause: err}
	}
	return value, nil
}
