package membership

import (
	"math/rand/v2"
	"time"
)

// Conditions of the simulations. probingWarmUp and crashedCount apply to probing only.
const (
	hostCount         = 1400
	lossRate          = 0.3
	meanStallInterval = time.Minute // per host, from the end of one stall to the next
	stallLength       = 2 * time.Second
	probingWarmUp     = 20 * time.Second
	observationTime   = 60 * time.Second
	crashedCount      = 14
	frameOverhead     = 70     // bytes of TCP/IP and WebSocket headers per message
	bytesBound        = 5000.0 // bytes per second and host
)

// outcome holds the measurements of one detector.
type outcome struct {
	name string
	// detectionP50 and detectionP99 are the times until half and 99% of the other
	// hosts had detected a crash, averaged over the crashes; with heartbeats they are
	// percentiles over the sampled pairs. undetected is the number of pairs in which the
	// observer did not detect the crash.
	detectionP50, detectionP99 time.Duration
	undetected                 int
	// falseAlarmsPerHour is the number of false alarms per host and hour. falselyUnusableShare
	// is the mean share of live hosts that a host considers unusable.
	falseAlarmsPerHour   float64
	falselyUnusableShare float64
	bytesPerSec          float64
}

// drawStalls draws the start times of a host's stalls, relative to the start of the run.
func drawStalls(random *rand.Rand, until time.Duration) []time.Duration {
	var starts []time.Duration
	at := time.Duration(random.Int64N(int64(meanStallInterval)))
	for at < until {
		starts = append(starts, at)
		at += stallLength + time.Duration(random.ExpFloat64()*float64(meanStallInterval))
	}
	return starts
}

// stallEnd returns the end of the stall in progress at a time, or 0 if there is none.
func stallEnd(starts []time.Duration, at time.Duration) time.Duration {
	for _, start := range starts {
		if at >= start && at < start+stallLength {
			return start + stallLength
		}
	}
	return 0
}
