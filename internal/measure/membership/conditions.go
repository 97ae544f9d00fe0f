package membership

import (
	"math/rand/v2"
	"time"
)

// Conditions that all detectors face.
const (
	hosts         = 1400
	lossRate      = 0.3
	stallEvery    = time.Minute // mean time between stalls of one host
	stallLength   = 2 * time.Second
	settle        = 20 * time.Second
	observed      = 60 * time.Second
	dying         = 14
	frameOverhead = 70 // bytes of TCP/IP and WebSocket headers a message
	bytesBound    = 5000.0
)

// outcome is what one detector did.
type outcome struct {
	name string
	// half and all are the times until half and 99% of the others knew of a death,
	// averaged over the deaths; undetected counts pairs that never did.
	half, all  time.Duration
	undetected int
	// alarmsPerHour are false alarms that one host raises in an hour; wrong is the
	// share of live hosts that a host wrongly held unusable at a time.
	alarmsPerHour float64
	wrong         float64
	bytesPerSec   float64
}

// stalls draws when a host stalls; the times are counted from the beginning.
func stalls(random *rand.Rand, until time.Duration) []time.Duration {
	var begins []time.Duration
	at := time.Duration(random.Int64N(int64(stallEvery)))
	for at < until {
		begins = append(begins, at)
		at += stallLength + time.Duration(random.ExpFloat64()*float64(stallEvery))
	}
	return begins
}

// stalledUntil returns the end of the stall that holds at a time, 0 for none.
func stalledUntil(begins []time.Duration, at time.Duration) time.Duration {
	for _, begin := range begins {
		if at >= begin && at < begin+stallLength {
			return begin + stallLength
		}
	}
	return 0
}
