// Package memory accounts for the bytes that a process holds for requests and decides what to
// reject or end before they exceed its memory. It does no I/O; times are passed in.
//
// The load it is for: an entry with 136 MB, 1,000 streams whose callers read slowly and 200
// bodies of 4 MiB at once, while ordinary requests go on.
//
// Lock order: Account.mu is a leaf lock; functions that end holders are called without it.
package memory

import (
	"sync"
	"time"
)

// Part is a kind of bytes that a holder holds.
type Part int

// Parts.
const (
	// Body is the body of the request.
	Body Part = iota
	// Response is a response that was read whole and is being written to the caller.
	Response
	// Stream is what a stream needs: buffers and events that wait for the caller.
	Stream
	partCount
)

// Parts returns all parts.
func Parts() []Part { return []Part{Body, Response, Stream} }

// String returns the metrics label of the part.
func (p Part) String() string { return [...]string{"body", "response", "stream"}[p] }

const (
	// LargeBody is the size from which bodies are rejected first, in bytes. Prompts of 1,000
	// tokens have 5 KB.
	LargeBody = 64 << 10
	// nearShare is the share of the bound up to which large bodies are accepted. The rest is
	// for small ones, streams and responses of requests that run already.
	nearShare = 0.75
	// aloneShare is the share of the bound below which a single body may exceed nearShare, so
	// that it isn't rejected for ever.
	aloneShare = 0.25
	// similarShare is the least size of a holder that may be ended, relative to the largest
	// one of the same organisation.
	similarShare = 0.5
)

// Account is the held bytes of a process. A nil Account has no bound and counts nothing. It is
// safe for concurrent use.
type Account struct {
	bound int64

	mu sync.Mutex
	// holders are all that exist; the totals are sums over them.
	holders map[*Holder]struct{}
	totals  [partCount]int64
	// readings are apart from holders and totals.
	readings readings
}

// NewAccount returns an account with a bound in bytes, or nil for a bound of 0.
func NewAccount(bound int64) *Account {
	if bound <= 0 {
		return nil
	}
	return &Account{bound: bound, holders: map[*Holder]struct{}{}, readings: readings{open: map[*Reading]struct{}{}}}
}

// Holder is the bytes held for one request. A nil Holder does nothing.
type Holder struct {
	account *Account
	// The fields below are guarded by Account.mu.
	organisation, target string
	sizes                [partCount]int64
	// end ends the request to free its bytes; nil if it must not be ended. since is when it
	// was set, moved the bytes moved since then from or to the caller.
	end   func(Part)
	since time.Time
	moved int64
	ended bool
}

// Open adds a holder without bytes. The caller must call Close.
func (a *Account) Open(organisation string) *Holder {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, organisation: organisation}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Close removes the holder and its bytes.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.holders, h)
	for part, size := range h.sizes {
		a.totals[part] -= size
		h.sizes[part] = 0
	}
}

// SetTarget records the target that the request was sent to.
func (h *Holder) SetTarget(target string) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.target = target
}

// SetEnd sets how the request may be ended to free its bytes; nil if it must not be ended.
// end is called at most once, with the largest part, and must not block.
func (h *Holder) SetEnd(end func(Part), now time.Time) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.end, h.since, h.moved = end, now, 0
}

// Moved records bytes that moved from or to the caller.
func (h *Holder) Moved(n int) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.moved += int64(n)
}

// Admit adds size bytes of a request's body if the bound allows it, otherwise it returns false.
func (h *Holder) Admit(size int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	admitted := admits(a.bound, a.total(), h.sizes[Body], size)
	if admitted {
		a.add(h, Body, size)
	}
	excessive := a.excessiveReadings()
	a.mu.Unlock()
	for _, r := range excessive {
		r.end()
	}
	return admitted
}

// admits reports whether a body of which held bytes are held may grow by size bytes.
func admits(bound, total, held, size int64) bool {
	after := total + size
	if held+size < LargeBody {
		return after <= bound
	}
	alone := total-held <= int64(aloneShare*float64(bound))
	return after <= int64(nearShare*float64(bound)) || alone && after <= bound
}

// Servable reports whether a body of a size can be held at all.
func (h *Holder) Servable(size int64) bool { return h == nil || size <= h.account.bound }

// Set sets the size of a part. If the bound is exceeded, other requests or this one are ended.
func (h *Holder) Set(part Part, size int64, now time.Time) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	a.add(h, part, size-h.sizes[part])
	a.endExcess(now)
}

// endExcess ends what exceeds the bounds: responses being read that are larger than usual, then
// other requests. The caller holds mu, which it unlocks.
func (a *Account) endExcess(now time.Time) {
	excessive := a.excessiveReadings()
	var victims []victim
	if a.total() > a.holderBound() {
		victims = a.victims(now)
	}
	a.mu.Unlock()
	for _, r := range excessive {
		r.end()
	}
	for _, v := range victims {
		v.end(v.part)
	}
}

// add changes a part of a holder. The caller holds mu. A closed holder stays empty.
func (a *Account) add(h *Holder, part Part, change int64) {
	if _, open := a.holders[h]; !open {
		return
	}
	h.sizes[part] += change
	a.totals[part] += change
}

// total returns the bytes of all holders. The caller holds mu.
func (a *Account) total() int64 {
	sum := int64(0)
	for _, size := range a.totals {
		sum += size
	}
	return sum
}

// Held returns the bytes of a part that all holders hold.
func (a *Account) Held(part Part) int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.totals[part]
}

// Total returns the bytes that all holders hold.
func (a *Account) Total() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total()
}
