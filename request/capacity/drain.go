package capacity

import (
	"math"
	"time"
)

const (
	// MaxDrainTime bounds the expected drain time. A queue that grows does not drain; bursts
	// end after 3 to 14 s, and a caller that waits longer has too little time left.
	MaxDrainTime = 2 * time.Second
	// minDrainRate is the number of slots per second that must become free to expect any
	// drain time; with fewer, targets do not work or serve next to nothing.
	minDrainRate = 0.5
)

// DrainTime returns how long it takes until the waiting requests, and those of the same or
// more urgency that arrive meanwhile, have started, and false if that cannot be told. arriving
// and freed are per second.
func DrainTime(waiting int, arriving, freed float64) (time.Duration, bool) {
	if freed < minDrainRate {
		return 0, false
	}
	seconds := math.Inf(1)
	if freed > arriving {
		seconds = float64(waiting+1) / (freed - arriving)
	}
	return time.Duration(min(seconds, MaxDrainTime.Seconds()) * float64(time.Second)), true
}
