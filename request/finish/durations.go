package finish

import (
	"math"
	"time"
)

const (
	// window is how long durations are counted together. Those of the window before count too.
	window = 30 * time.Second
	// buckets is the number of classes of durations, bucketsPerDoubling that of those between a
	// duration and twice it. The classes reach from 1 ms to 65 s.
	buckets            = 64
	bucketsPerDoubling = 4
)

// durations counts how long runs took within the last one to two windows. The zero value has none.
type durations struct {
	current, previous [buckets]uint32
	rotatedAt         time.Time
}

// bucket returns the class of a duration.
func bucket(d time.Duration) int {
	doublings := math.Log2(float64(max(d, time.Millisecond)) / float64(time.Millisecond))
	return min(int(bucketsPerDoubling*doublings), buckets-1)
}

func (d *durations) record(took time.Duration, now time.Time) {
	d.rotate(now)
	d.current[bucket(took)]++
}

// countLonger returns the number of runs, and how many are of the class of the given duration or a
// longer one.
func (d *durations) countLonger(than time.Duration, now time.Time) (total, longer int) {
	d.rotate(now)
	from := bucket(than)
	for at := range buckets {
		count := int(d.current[at] + d.previous[at])
		total += count
		if at >= from {
			longer += count
		}
	}
	return total, longer
}

// slowest returns a time that no run of the last one to two windows has reached, 0 without runs.
func (d *durations) slowest(now time.Time) time.Duration {
	d.rotate(now)
	for at := buckets - 1; at >= 0; at-- {
		if d.current[at]+d.previous[at] > 0 {
			return time.Duration(float64(time.Millisecond) * math.Exp2(float64(at+1)/bucketsPerDoubling))
		}
	}
	return 0
}

// rotate begins a new window once the current one has ended.
func (d *durations) rotate(now time.Time) {
	age := now.Sub(d.rotatedAt)
	if age < window {
		return
	}
	d.previous = d.current
	if age >= 2*window {
		d.previous = [buckets]uint32{}
	}
	d.current, d.rotatedAt = [buckets]uint32{}, now
}
