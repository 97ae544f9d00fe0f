package follow

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// relayCheckInterval is how long a process trusts that the others forward all changes.
	// After it the process asks the store once.
	relayCheckInterval = time.Minute
	// maxPendingBatches bounds the batches kept for a process that is busy with a call.
	maxPendingBatches = 64
	// maxBatchBytes is the size from which the rows of a batch are split, maxForwardedBytes
	// the size from which changes are not forwarded: the receivers read the store instead.
	maxBatchBytes     = 4 << 10
	maxForwardedBytes = 32 << 10
	// rowOverhead is the encoded size of a forwarded row without its key and value.
	rowOverhead = 16
	// disturbanceSpan is how long after an outage forwarded changes are marked as Disturbed:
	// rows that expired during the outage are deleted then.
	disturbanceSpan = 2 * time.Second
)

// Batch is changes of a table that one process forwards to others. It is encoded in
// datagrams; fields keep their numbers.
type Batch struct {
	Table string `cbor:"1,keyasint"`
	Era   uint64 `cbor:"2,keyasint,omitempty"`
	// Rows are all changes of the table after the version After, up to Until.
	After uint64         `cbor:"3,keyasint"`
	Until uint64         `cbor:"4,keyasint"`
	Rows  []ForwardedRow `cbor:"5,keyasint,omitempty"`
	// Disturbed says, instead of rows, that the store failed shortly before the changes.
	// Receivers read the store themselves and treat it as an outage.
	Disturbed bool `cbor:"6,keyasint,omitempty"`
}

// ForwardedRow is a changed row.
type ForwardedRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

func (r *ForwardedRow) size() int { return rowOverhead + len(r.Key) + len(r.Value) }

// errNothingForwarded is the reason for asking the store after relayCheckInterval.
var errNothingForwarded = errors.New("no changes forwarded for a long time")

// errOutageForwarded is the reason for reading the store after a Disturbed batch.
var errOutageForwarded = errors.New("a peer has read changes after an outage of the store")

// Relay lets a few processes follow a table and forward its changes to the others, which
// then make no calls to the store. Batches name the versions that they cover, so a receiver
// notices a lost one and asks the store. It is safe for concurrent use.
type Relay struct {
	RelayConfig
	arrived *broadcast

	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// at is the version up to which changes are known, as far as this relay has delivered
	// them; awaiting is set while the table's follower waits for changes after it.
	at       platform.Version
	awaiting bool
	// pending holds the latest batches, in order of arrival.
	pending []Batch
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	Table string
	// Receives reports whether other processes follow the table for this one.
	Receives func() bool
	// Settle waits, after the whole table was read, until it is known which processes follow
	// it, but not longer than changes may go unnoticed.
	Settle func(context.Context)
	// Forward sends changes to the processes that receive them; it may drop them.
	Forward func([]Batch)
}

// NewRelay returns a relay of a table without changes.
func NewRelay(cfg RelayConfig) *Relay { return &Relay{RelayConfig: cfg, arrived: newBroadcast()} }

// valid reports whether all rows are in the range of versions that the batch covers.
func (b *Batch) valid() bool {
	outside := func(row ForwardedRow) bool { return row.Version <= b.After || row.Version > b.Until }
	return b.After < b.Until && !slices.ContainsFunc(b.Rows, outside)
}

// Offer takes over a batch that a peer has forwarded.
func (r *Relay) Offer(batch Batch) {
	if batch.Table != r.Table || !batch.valid() {
		return
	}
	r.mu.Lock()
	r.pending = append(r.pending, batch)
	if surplus := len(r.pending) - maxPendingBatches; surplus > 0 {
		r.pending = slices.Delete(r.pending, 0, surplus)
	}
	r.mu.Unlock()
	r.arrived.send()
}

// Covers reports whether all changes up to a version have been delivered or are about to be.
func (r *Relay) Covers(change platform.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.Era != r.at.Era {
		return false
	}
	return change.Number <= r.at.Number || r.awaiting && change.Number <= r.reach().Number
}

// receiving reports whether changes come from peers; never on a nil relay.
func (r *Relay) receiving() bool { return r != nil && r.Receives() }

// settle waits until it is known whether changes come from peers.
func (r *Relay) settle(ctx context.Context) {
	if r != nil {
		r.Settle(ctx)
	}
}

// await waits for forwarded changes after a version.
func (r *Relay) await(ctx context.Context, after platform.Version) ([]platform.Row, platform.Version, error) {
	r.mu.Lock()
	r.at, r.awaiting = after, true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.awaiting = false
	}()
	check := time.After(relayCheckInterval)
	for {
		arrived := r.arrived.next()
		rows, version, err := r.take()
		if err != nil || version.Number > after.Number {
			return rows, version, err
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-check:
			return nil, after, errNothingForwarded
		case <-arrived:
		}
	}
}

// take returns the pending changes that continue at r.at without a gap, and advances it.
func (r *Relay) take() ([]platform.Row, platform.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = slices.DeleteFunc(r.pending, func(b Batch) bool {
		return b.Era < r.at.Era || b.Era == r.at.Era && b.Until <= r.at.Number
	})
	var rows []platform.Row
	for next := r.next(r.at); next != nil; next = r.next(r.at) {
		if next.Disturbed {
			if len(rows) > 0 {
				break
			}
			return nil, r.at, errOutageForwarded
		}
		for _, row := range next.Rows {
			if row.Version > r.at.Number {
				rows = append(rows, platform.Row{Table: r.Table, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
			}
		}
		r.at.Number = next.Until
	}
	return rows, r.at, nil
}

// next returns a pending batch that continues at a version without a gap; nil for none. The
// caller holds mu.
func (r *Relay) next(at platform.Version) *Batch {
	for i := range r.pending {
		if b := &r.pending[i]; b.Era == at.Era && b.After <= at.Number && b.Until > at.Number {
			return b
		}
	}
	return nil
}

// reach returns the version up to which the pending batches continue without a gap. The
// caller holds mu.
func (r *Relay) reach() platform.Version {
	at := r.at
	for next := r.next(at); next != nil; next = r.next(at) {
		at.Number = next.Until
	}
	return at
}

// publish forwards rows that are all changes of the table after a version, up to another of
// the same era. It must be called before a Position shows the changes to peers, so that these
// receive the rows before they hear of them.
func (r *Relay) publish(rows []platform.Row, after uint64, until platform.Version, disturbed bool) {
	if r == nil {
		return
	}
	if disturbed {
		r.Forward([]Batch{{Table: r.Table, Era: until.Era, Until: until.Number, Disturbed: true}})
		return
	}
	if batches := splitChanges(r.Table, rows, after, until); len(batches) > 0 {
		r.Forward(batches)
	}
}

// splitChanges returns batches of about maxBatchBytes, none if the rows exceed
// maxForwardedBytes. Rows of one version stay together.
func splitChanges(table string, rows []platform.Row, after uint64, until platform.Version) []Batch {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b platform.Row) int { return cmp.Compare(a.Version, b.Version) })
	var batches []Batch
	current := Batch{Table: table, Era: until.Era, After: after}
	size, total := 0, 0
	for i, row := range sorted {
		forwarded := ForwardedRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}
		if size > 0 && size+forwarded.size() > maxBatchBytes && row.Version > sorted[i-1].Version {
			current.Until = sorted[i-1].Version
			batches = append(batches, current)
			current, size = Batch{Table: table, Era: until.Era, After: current.Until}, 0
		}
		current.Rows = append(current.Rows, forwarded)
		size += forwarded.size()
		total += forwarded.size()
		if total > maxForwardedBytes {
			return nil
		}
	}
	current.Until = until.Number
	return append(batches, current)
}
