package engine

import "time"

// samplesPerLag is the number of samples taken within one lag.
const samplesPerLag = 64

// loadReport holds the fields of the status that lag.
type loadReport struct {
	running, waiting int
	kvUsed           int
	hitRatio         float64
	inFlight         []string
}

type loadSample struct {
	at     time.Time
	report loadReport
}

// loadHistory keeps the samples taken within the last lag. It is guarded by
// Engine.mu.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

// due reports whether a new sample should be taken.
func (l *loadHistory) due(now time.Time) bool {
	if l.lag == 0 {
		return false
	}
	if len(l.samples) == 0 {
		return true
	}
	return now.Sub(l.samples[len(l.samples)-1].at) >= l.lag/samplesPerLag
}

func (l *loadHistory) add(now time.Time, report loadReport) {
	l.samples = append(l.samples, loadSample{at: now, report: report})
	l.prune(now)
}

// prune drops the samples older than the newest sample that is at least one lag
// old.
func (l *loadHistory) prune(now time.Time) {
	cutoff := now.Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].at.After(cutoff) {
		l.samples = l.samples[1:]
	}
}

// delayed returns the load report of one lag ago, or an empty one if there is
// none that old.
func (l *loadHistory) delayed(now time.Time) loadReport {
	l.prune(now)
	if len(l.samples) == 0 || l.samples[0].at.After(now.Add(-l.lag)) {
		return loadReport{}
	}
	return l.samples[0].report
}
