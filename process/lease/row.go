package lease

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/process/platform"
)

const keyPrefix = "lease/"

const (
	// maxEpoch is the highest valid epoch, so that those after it do not overflow.
	maxEpoch = math.MaxInt64
	// maxTTLMillis is the longest valid TTL, in ms. A longer one would keep a lease from all processes.
	maxTTLMillis = int64(time.Hour / time.Millisecond)
)

// Row is the stored form of a lease. It is never deleted, so that its epoch never
// decreases.
type Row struct {
	// Holder identifies the holding process; empty after the lease was released.
	Holder string `cbor:"1,keyasint"`
	// Epoch increases each time the holder changes. Its upper bits are the era of the
	// platform in which it was given out, so that no epoch is given out twice.
	Epoch uint64 `cbor:"2,keyasint"`
	// TTLMillis is how long the row is valid after its last write, in ms.
	TTLMillis int64 `cbor:"3,keyasint"`
	// Nonce distinguishes the writes of one holder.
	Nonce uint64 `cbor:"4,keyasint"`
}

func (r Row) TTL() time.Duration { return time.Duration(r.TTLMillis) * time.Millisecond }

// Key returns the table key of the lease.
func Key(name string) string { return keyPrefix + name }

// decodeRow finds and decodes the lease's row among rows and returns it with its
// revision; that of an absent row is absent. It fails with RowCodecError, also then with the
// revision.
func decodeRow(name string, rows []platform.Row) (Row, platform.Revision, error) {
	for _, found := range rows {
		if found.Key != Key(name) {
			continue
		}
		var row Row
		err := cbor.Unmarshal(found.Value, &row)
		if err == nil && !row.valid() {
			err = errOutOfRange
		}
		if err != nil {
			return Row{}, found.Revision, &RowCodecError{Key: found.Key, Cause: err}
		}
		return row, found.Revision, nil
	}
	return Row{}, platform.Revision{}, nil
}

// valid reports whether the numbers of a row are in range.
func (r Row) valid() bool {
	return r.Epoch <= maxEpoch && r.TTLMillis >= 0 && r.TTLMillis <= maxTTLMillis
}

// encodeTxn builds the transaction that writes row if the stored row is at
// expectedRevision.
func encodeTxn(name string, row Row, expectedRevision platform.Revision) (platform.Txn, error) {
	value, err := cbor.Marshal(row)
	if err != nil {
		return platform.Txn{}, &RowCodecError{Key: Key(name), Cause: err}
	}
	return platform.Txn{
		Conditions: []platform.Condition{{Key: Key(name), Revision: expectedRevision}},
		Puts:       []platform.Put{{Key: Key(name), Value: value}},
	}, nil
}
