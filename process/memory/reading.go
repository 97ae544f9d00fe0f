package memory

import (
	"slices"
	"time"
)

const (
	// readingShare is the share of the bound that responses being read may take besides the bound, and
	// so in any case. They may also take what requests leave of the bound.
	readingShare = 0.25
	// usualReading is the least size, in bytes, that counts as usual for a response.
	usualReading = 64 << 10
)

// Reading is the bytes held of a response that is being read. It may have no end, so that its bytes
// are bounded apart from those of Holders: no request is rejected or ended for what it holds beyond
// its usual size. A nil Reading does nothing.
type Reading struct {
	account *Account
	// usual is up to which size, in bytes, the response is no larger than usual.
	usual int64
	end   func()
	// The fields below are guarded by Account.mu.
	size  int64
	ended bool
}

// readings is the responses that are being read. It is guarded by Account.mu.
type readings struct {
	open map[*Reading]struct{}
	// total is the sum of their sizes; excess is the part of it by which those that have not been
	// ended exceed their usual sizes, usual the rest of their sizes.
	total, usual, excess int64
}

// count adds the size of a response to the sums, or takes it off with sign -1.
func (s *readings) count(r *Reading, sign int64) {
	s.total += sign * r.size
	if r.ended {
		return
	}
	s.usual += sign * min(r.size, r.usual)
	s.excess += sign * max(r.size-r.usual, 0)
}

// BeginReading adds a response of which nothing has been read yet. usual is the size up to which such
// responses are usual, in bytes; 0 if it is not known, which counts as the share of all of them. end ends the response to free its bytes; it is
// called at most once and must not block. The caller must call Close.
func (a *Account) BeginReading(usual int64, end func()) *Reading {
	if a == nil {
		return nil
	}
	if usual == 0 {
		usual = a.readingShare()
	}
	r := &Reading{account: a, usual: max(usual, usualReading), end: end}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readings.open[r] = struct{}{}
	return r
}

// Set sets the size, in bytes. If responses that are being read hold too much, those that exceed
// their usual sizes most are ended, and only then other requests. Set reports whether the response
// may be read on.
func (r *Reading) Set(size int64, now time.Time) bool {
	if r == nil {
		return true
	}
	a := r.account
	a.mu.Lock()
	if _, open := a.readings.open[r]; open {
		a.readings.count(r, -1)
		r.size = size
		a.readings.count(r, 1)
	}
	ended := r.ended
	a.endExcess(now)
	return !ended
}

// Close removes the response and its bytes.
func (r *Reading) Close() {
	if r == nil {
		return
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.readings.open[r]; !open {
		return
	}
	delete(a.readings.open, r)
	a.readings.count(r, -1)
}

// Reading returns the bytes of all responses that are being read.
func (a *Account) Reading() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readings.total
}

// readingBound returns how many bytes responses that are being read may take now. The caller holds
// mu.
func (a *Account) readingBound() int64 {
	return a.readingShare() + max(a.bound-a.total(), 0)
}

func (a *Account) readingShare() int64 { return int64(readingShare * float64(a.bound)) }

// holderBound returns how many bytes holders may hold now: what responses of usual size that are
// being read leave. The caller holds mu.
func (a *Account) holderBound() int64 {
	return a.bound - max(a.readings.usual-a.readingShare(), 0)
}

// excessiveReadings returns the responses larger than usual to end so that those that are being read
// fall to their bound, and marks them. The caller holds mu.
func (a *Account) excessiveReadings() []*Reading {
	excess := a.readings.usual + a.readings.excess - a.readingBound()
	if excess <= 0 || a.readings.excess == 0 {
		return nil
	}
	var larger []*Reading
	for r := range a.readings.open {
		if !r.ended && r.size > r.usual {
			larger = append(larger, r)
		}
	}
	slices.SortFunc(larger, compareReadings)
	var chosen []*Reading
	for _, r := range larger {
		if excess <= 0 {
			break
		}
		excess -= r.size
		a.readings.count(r, -1)
		r.ended = true
		a.readings.count(r, 1)
		chosen = append(chosen, r)
	}
	return chosen
}

// compareReadings puts those first that are the largest multiples of their usual sizes.
func compareReadings(a, b *Reading) int {
	left, right := float64(a.size)*float64(b.usual), float64(b.size)*float64(a.usual)
	switch {
	case left > right:
		return -1
	case left < right:
		return 1
	default:
		return 0
	}
}
