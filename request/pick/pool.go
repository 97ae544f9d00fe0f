package pick

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// locatorSlots is the number of prefixes that the locator tracks.
	locatorSlots = 1 << 15
	// initialRate is the prefill rate, in units of cost per second, assumed before
	// any first token.
	initialRate = 8000
	// rateWeight is the smoothing weight of a new sample in the rate.
	rateWeight = 1.0 / 64
)

// poolState is the state shared by all targets of one pool.
type poolState struct {
	locator *prefixLocator
	// rate is the pool's prefill rate in units of cost per second, as float bits.
	rate atomic.Uint64
	// turn counts the picks of the round-robin policy.
	turn atomic.Uint64
}

func newPoolState() *poolState {
	p := &poolState{locator: newPrefixLocator(locatorSlots)}
	p.rate.Store(math.Float64bits(initialRate))
	return p
}

// timePerCost returns the prefill time of one unit of cost, in nanoseconds.
func (p *poolState) timePerCost() float64 {
	return float64(time.Second) / math.Float64frombits(p.rate.Load())
}

// observeFirstToken adjusts the rate by the ratio of the expected to the actual
// first-token time of one request.
func (p *poolState) observeFirstToken(actual, expected time.Duration) {
	if actual <= 0 || expected <= 0 {
		return
	}
	ratio := min(max(float64(expected)/float64(actual), 0.5), 2)
	rate := math.Float64frombits(p.rate.Load())
	p.rate.Store(math.Float64bits(rate * math.Pow(ratio, rateWeight)))
}
