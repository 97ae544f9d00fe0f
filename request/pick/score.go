package pick

import (
	"math"
	"time"
)

const (
	// reportDecayTime is the age of a load report at which its work in flight counts
	// half. The decay is hyperbolic.
	reportDecayTime = 8 * time.Second
	// maxReportAge is the age of a load report above which its work in flight is not
	// used.
	maxReportAge = 30 * time.Second
	// noCreditPenalty is the additional wait expected at a target without credits,
	// because its gate may refuse.
	noCreditPenalty = 50 * time.Millisecond
	// defaultServiceTime is the duration of a request assumed before any has
	// ended.
	defaultServiceTime = time.Second
	// maxLocatorLookups is the maximum number of prefixes looked up in the locator.
	maxLocatorLookups = 3
	// randomCandidates is the number of random candidates of a large set.
	randomCandidates = 8
	// smallSetSize is the number of candidates up to which all are scored.
	smallSetSize = 16
	// scoreTolerance is the difference up to which two scores count as equal.
	scoreTolerance = 2 * time.Millisecond
	// crowdedFraction is the fraction of a target's limit in use above which the
	// target counts as crowded. crowdedWait is the additional wait, in nanoseconds,
	// expected when the limit is reached, because the target's gate may refuse and
	// because targets that warm up should receive their share of the load.
	crowdedFraction = 0.7
	crowdedWait     = float64(200 * time.Millisecond)
	// slownessDecayTime is the age at which a target's excess slowness counts half.
	// The decay is hyperbolic.
	slownessDecayTime = 5 * time.Second
	// slownessThreshold is the slowness up to which a target counts as no slower
	// than the pool.
	slownessThreshold = 1.5
)

// lowestScore selects the target with the lowest score, which is the expected
// time to the first token. It scores all candidates of a small set. In a large
// one it scores the preferred targets of the prompt's first prefix, a target that
// is expected to have its longest prefixes cached, and some random candidates.
// Between equal scores the target that was sent work longest ago wins, so that
// without other information the load is distributed in turn.
type lowestScore struct{}

func (lowestScore) pick(s *Set, q *Query) *TargetState {
	c := comparison{query: q, timePerCost: s.pool.timePerCost()}
	if len(s.states) <= smallSetSize {
		for _, state := range s.states {
			c.consider(state)
		}
		return c.best
	}
	for n := range uint64(randomCandidates) {
		c.consider(s.states[q.randomIndex(n, len(s.states))])
	}
	if len(q.PrefixHashes) == 0 {
		return c.best
	}
	for _, index := range s.preferred.forPrefix(q.PrefixHashes[0]) {
		c.consider(s.states[index])
	}
	c.considerCacheHolder(s.pool.locator)
	return c.best
}

// comparison tracks the candidate with the lowest score.
type comparison struct {
	query       *Query
	timePerCost float64
	best        *TargetState
	bestScore   float64
}

// considerCacheHolder scores the target that is expected to have the longest of
// the prefixes cached.
func (c *comparison) considerCacheHolder(l *prefixLocator) {
	prefix := c.query.PrefixHashes
	for i := range min(maxLocatorLookups, len(prefix)) {
		if state := l.find(prefix[len(prefix)-1-i]); state != nil {
			c.consider(state)
			return
		}
	}
}

// consider scores the candidate and keeps it if it is better than the best.
func (c *comparison) consider(s *TargetState) {
	if s == c.best || s.isPaused(c.query.Now) || c.query.avoids(s) {
		return
	}
	score := s.score(c.query, c.timePerCost)
	if c.best == nil || c.isBetter(s, score) {
		c.best, c.bestScore = s, score
	}
}

// isBetter reports whether the candidate is better than the best so far.
func (c *comparison) isBetter(s *TargetState, score float64) bool {
	difference := score - c.bestScore
	if math.Abs(difference) > float64(scoreTolerance) {
		return difference < 0
	}
	return s.lastSent.Load() < c.best.lastSent.Load()
}

// isPaused reports whether the target asked for no more work until after now.
func (s *TargetState) isPaused(now time.Duration) bool { return s.pausedUntil.Load() > int64(now) }

// score returns the expected time to the first token at the target, in
// nanoseconds. timePerCost is the prefill time of one unit of cost.
func (s *TargetState) score(q *Query, timePerCost float64) float64 {
	cost := q.Cost - q.BlockCost*float64(s.cache.depth(q.PrefixHashes))
	score := (s.expectedWait(q.Now, timePerCost) + timePerCost*max(cost, 0)) * s.slownessFactor(q.Now)
	if s.credits.Load() == 0 {
		score += float64(noCreditPenalty)
	}
	if pausedUntil := s.pausedUntil.Load(); pausedUntil > int64(q.Now) {
		score += float64(pausedUntil - int64(q.Now))
	}
	return score
}

// slownessFactor returns the factor by which the target is slower than the pool, or
// 1 up to slownessThreshold. It decays with time, so that a target that was slow,
// for example while it warmed up, is tried again.
func (s *TargetState) slownessFactor(now time.Duration) float64 {
	slowness := math.Float64frombits(s.slowness.Load())
	if slowness <= slownessThreshold {
		return 1
	}
	age := max(now-time.Duration(s.slownessUpdated.Load()), 0)
	return 1 + (slowness-1)*float64(slownessDecayTime)/float64(slownessDecayTime+age)
}

// expectedWait returns the time in nanoseconds before the target starts on new
// work: the prefill already waiting there, and the wait for a slot when it is
// full.
func (s *TargetState) expectedWait(now time.Duration, timePerCost float64) float64 {
	wait := max(float64(s.waitingCost.Load())/costScale*timePerCost, s.timeWithoutProgress(now))
	r := s.report.Load()
	if r == nil {
		return wait
	}
	wait += r.remainingWait(now, timePerCost)
	inFlight := float64(s.inFlight.Load()) + r.discountedInFlight(now)
	if r.limit <= 0 {
		return wait
	}
	if inFlight >= r.limit {
		return wait + crowdedWait + (inFlight-r.limit+1)/r.limit*float64(s.serviceTime())
	}
	if crowding := (inFlight/r.limit - crowdedFraction) / (1 - crowdedFraction); crowding > 0 {
		wait += crowding * crowding * crowdedWait
	}
	return wait
}

// timeWithoutProgress returns how long, in nanoseconds, first tokens have been
// pending without any arriving. A target without progress for some time will
// likely make none for as long again, so one that failed undetected receives
// little more work.
func (s *TargetState) timeWithoutProgress(now time.Duration) float64 {
	if s.pending.Load() <= 0 {
		return 0
	}
	return max(float64(int64(now)-s.lastProgress.Load()), 0)
}

// remainingWait returns the time in nanoseconds that the target still needs for the
// prefill work of other processes that waited there when the load was measured. The
// time since then is subtracted, because the target has worked on it.
func (r *report) remainingWait(now time.Duration, timePerCost float64) float64 {
	return max(r.otherWaiting*timePerCost-float64(now-r.at), 0)
}

// discountedInFlight returns the work in flight of other processes, discounted by
// the report's age.
func (r *report) discountedInFlight(now time.Duration) float64 {
	age := now - r.at
	if age > maxReportAge {
		return 0
	}
	return r.otherInFlight * float64(reportDecayTime) / float64(reportDecayTime+max(age, 0))
}

// serviceTime returns the smoothed duration of a request at the target.
func (s *TargetState) serviceTime() time.Duration {
	if took := s.meanServiceTime.Load(); took > 0 {
		return time.Duration(took)
	}
	return defaultServiceTime
}
