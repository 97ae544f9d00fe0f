package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	heartbeatInterval = time.Second
	heartbeatBytes    = 12
	// pairCount is the number of simulated (observer, target) pairs. A sample is enough
	// because pairs are independent with heartbeats between all hosts.
	pairCount = 4000
	// phiThreshold and phiWindow are the usual settings of the phi accrual detector.
	phiThreshold = 8.0
	phiWindow    = 100
	// heartbeatWarmUp is the time before a heartbeat detector's decisions are counted.
	heartbeatWarmUp = 100 * time.Second
	sampleInterval  = 100 * time.Millisecond
)

// detector decides from the heartbeat arrivals so far whether a target is unusable.
type detector func(arrivals []time.Duration, now time.Duration) bool

func fixedTimeout(limit time.Duration) detector {
	return func(arrivals []time.Duration, now time.Duration) bool {
		return len(arrivals) > 0 && now-arrivals[len(arrivals)-1] > limit
	}
}

// phiAccrual suspects a target when the time since its last heartbeat is too unlikely
// under a normal distribution fitted to the recent intervals.
func phiAccrual(arrivals []time.Duration, now time.Duration) bool {
	recent := arrivals[max(0, len(arrivals)-phiWindow):]
	if len(recent) < 3 {
		return false
	}
	count := float64(len(recent) - 1)
	mean := (recent[len(recent)-1] - recent[0]).Seconds() / count
	variance := 0.0
	for i := 1; i < len(recent); i++ {
		difference := (recent[i] - recent[i-1]).Seconds() - mean
		variance += difference * difference / count
	}
	deviation := max(0.1, math.Sqrt(variance))
	elapsed := (now - recent[len(recent)-1]).Seconds()
	tail := 0.5 * math.Erfc((elapsed-mean)/deviation/math.Sqrt2)
	return -math.Log10(max(tail, 1e-300)) > phiThreshold
}

// runHeartbeats simulates random pairs. Each target crashes at the end of the
// observation, so that false alarms are counted before the crash and the detection
// time after it.
func runHeartbeats(name string, suspects detector) outcome {
	random := rand.New(rand.NewPCG(7, 7))
	result := outcome{name: name}
	var detected []time.Duration
	samples, falselyUnusableSamples, falseAlarms := 0, 0, 0
	for range pairCount {
		pair := newPair(random)
		wasSuspected := false
		for now := heartbeatWarmUp; now < pair.crashAt; now += sampleInterval {
			suspected := suspects(pair.arrivalsBefore(now), now)
			samples++
			if suspected {
				falselyUnusableSamples++
			}
			if suspected && !wasSuspected {
				falseAlarms++
			}
			wasSuspected = suspected
		}
		took, found := pair.detectionTime(suspects)
		if !found {
			result.undetected++
			continue
		}
		detected = append(detected, took)
	}
	slices.Sort(detected)
	hours := float64(pairCount) * observationTime.Hours()
	result.detectionP50, result.detectionP99 = detected[len(detected)/2], detected[len(detected)*99/100]
	result.falseAlarmsPerHour = float64(falseAlarms) / hours * (hostCount - 1)
	result.falselyUnusableShare = float64(falselyUnusableSamples) / float64(samples)
	result.bytesPerSec = (hostCount - 1) * (heartbeatBytes + frameOverhead) / heartbeatInterval.Seconds()
	return result
}

// pair holds the arrivals of one host's heartbeats at another.
type pair struct {
	arrivals []time.Duration
	crashAt  time.Duration
}

func newPair(random *rand.Rand) pair {
	p := pair{crashAt: heartbeatWarmUp + observationTime}
	stalls := drawStalls(random, p.crashAt)
	for at := time.Duration(random.Int64N(int64(heartbeatInterval))); at < p.crashAt; at += heartbeatInterval {
		if random.Float64() < lossRate {
			continue
		}
		arrival := max(at, stallEnd(stalls, at))
		if arrival < p.crashAt {
			p.arrivals = append(p.arrivals, arrival)
		}
	}
	slices.Sort(p.arrivals)
	return p
}

func (p pair) arrivalsBefore(now time.Duration) []time.Duration {
	count, _ := slices.BinarySearch(p.arrivals, now)
	return p.arrivals[:count]
}

// detectionTime returns the time from the crash to its detection, and whether it was
// detected within a minute.
func (p pair) detectionTime(suspects detector) (time.Duration, bool) {
	for now := p.crashAt; now < p.crashAt+time.Minute; now += sampleInterval {
		if suspects(p.arrivals, now) {
			return now - p.crashAt, true
		}
	}
	return 0, false
}
