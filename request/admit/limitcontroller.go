package admit

import (
	"math"
	"time"
)

const (
	// minRoundSize is the smallest number of completed requests in a round.
	minRoundSize = 12
	// congestedRatio is the slowdown of first tokens, relative to the last good
	// round, above which a round counts as congested.
	congestedRatio = 1.4
	// shrinkHelpedRatio is the ratio of a round's mean to that of the preceding
	// congested round below which the smaller limit is considered to have helped.
	// Otherwise the slowdown is not attributed to congestion.
	shrinkHelpedRatio = 0.9
	// warmedRatio is the ratio of a round's mean to the mean of the first round up
	// to which the engine counts as visibly warmed.
	warmedRatio = 0.6
	// warmMeanFactor is the multiple of limitController.warmMean up to which a
	// round's mean shows that the engine is warm.
	warmMeanFactor = 2.0
	// maxColdRounds is the number of rounds at the cold limit after which the
	// limit may grow although the engine shows no warming at all.
	maxColdRounds = 8
	// minNearLimitShare is the share of a round's requests that must have been
	// admitted near the limit for the limit to grow.
	minNearLimitShare = 0.25
	// steadyRoundsToWarm is the number of good rounds without visible warming
	// after which an engine counts as fully warm.
	steadyRoundsToWarm = 12
	// warmingRatio is the ratio to limitController.lastWarmingMean below which a
	// round's mean counts as visible warming.
	warmingRatio = 0.9
	// maxFailedShare is the share of failed requests above which a round counts as
	// congested.
	maxFailedShare = 0.25
)

// sample is one completed request.
type sample struct {
	// latency is the first-token time per prompt token, or the whole duration for
	// a plain service.
	latency time.Duration
	// epoch is the controller's epoch at the request's admission.
	epoch int
	// nearLimit reports that the limit, not the demand, bounded the work in flight
	// at admission.
	nearLimit bool
	// ok reports that the engine finished the request.
	ok bool
}

// limitController adjusts a concurrency limit after each round of completed
// requests. Only requests admitted since the last change of the limit count, so
// the effect of each step is measured before the next one.
//
// The limit exceeds the cold limit only once first tokens have become faster than
// just after the reset, or as fast as is known of the warm engine, or after
// maxColdRounds rounds without such a change. It grows only while the work in
// flight is near the limit, or once the engine has stopped warming. The gate's lock
// guards the controller.
type limitController struct {
	bounds  limitBounds
	limiter limiter
	limit   int
	// epoch counts the changes of the limit.
	epoch int
	round round
	// referenceMean is the smoothed mean first-token time of the last good rounds;
	// 0 for none.
	referenceMean float64
	// initialMean is the mean of the first round since the reset; 0 for none.
	initialMean float64
	// rounds counts the rounds since the reset.
	rounds int
	// mayExceedCold reports that the limit may grow beyond the cold limit.
	mayExceedCold bool
	// visiblyWarmed reports that the engine has become faster.
	visiblyWarmed bool
	// warmMean is the lowest mean seen while warm; it is kept on reset.
	warmMean float64
	// steadyRounds counts the good rounds since the last one that showed visible
	// warming, and lastWarmingMean is the mean of that round. The limit of a fully
	// warm engine may grow to the maximum even if the demand was never that high,
	// because the maximum is defined as what a warm engine sustains.
	steadyRounds    int
	lastWarmingMean float64
	// congestedMean is the mean of the last round with congested first tokens since
	// the last good round; 0 for none.
	congestedMean float64
}

// round aggregates completed requests.
type round struct {
	count, nearLimit, failed int
	logSum                   float64
}

// mean returns the round's geometric mean latency; 0 when all requests failed.
func (r round) mean() float64 {
	succeeded := r.count - r.failed
	if succeeded <= 0 {
		return 0
	}
	return math.Exp(r.logSum / float64(succeeded))
}

// newLimitController returns a controller at the cold limit.
func newLimitController(kind LimiterKind, b limitBounds) *limitController {
	return &limitController{bounds: b, limiter: newLimiter(kind), limit: b.cold}
}

// setBounds replaces the bounds and moves the limit into them.
func (c *limitController) setBounds(b limitBounds) {
	c.bounds = b
	c.setLimit(c.limit)
}

// reset returns to the cold limit and discards the state of the warm-up.
func (c *limitController) reset() {
	*c = limitController{
		bounds:   c.bounds,
		limiter:  c.limiter,
		limit:    c.bounds.cold,
		epoch:    c.epoch + 1,
		warmMean: c.warmMean,
	}
}

// setLimit starts a new round, and a new epoch if the limit changes.
func (c *limitController) setLimit(limit int) {
	limit = c.bounds.clamp(limit)
	c.round = round{}
	if limit != c.limit {
		c.limit = limit
		c.epoch++
	}
}

// observe adds one completed request to the round.
func (c *limitController) observe(s sample) {
	if s.epoch != c.epoch {
		return
	}
	c.round.count++
	if s.nearLimit {
		c.round.nearLimit++
	}
	if s.ok {
		c.round.logSum += math.Log(float64(max(s.latency, 1)))
	} else {
		c.round.failed++
	}
	if c.round.count >= max(c.limit, minRoundSize) {
		c.endRound()
	}
}

// endRound evaluates the round and adjusts the limit.
func (c *limitController) endRound() {
	r := c.round
	mean := r.mean()
	c.updateWarmth(mean)
	switch {
	case float64(r.failed) > maxFailedShare*float64(r.count):
		c.setLimit(c.limiter.shrink(c.limit, congestedRatio))
	case c.isCongested(mean):
		c.congestedMean = mean
		c.setLimit(c.limiter.shrink(c.limit, mean/c.referenceMean))
	default:
		c.endGoodRound(r, mean)
	}
}

// updateWarmth determines whether the limit may exceed the cold limit and whether
// the engine has visibly warmed.
func (c *limitController) updateWarmth(mean float64) {
	c.rounds++
	if c.initialMean == 0 {
		c.initialMean = mean
	}
	if mean <= warmedRatio*c.initialMean || mean <= warmMeanFactor*c.warmMean {
		c.mayExceedCold, c.visiblyWarmed = true, true
	}
	if c.rounds >= maxColdRounds {
		c.mayExceedCold = true
	}
}

// isCongested reports whether first tokens became slower than in the last good
// rounds. If a smaller limit did not help, the slowdown has another cause and is
// accepted as the new reference.
func (c *limitController) isCongested(mean float64) bool {
	if c.referenceMean == 0 || mean <= congestedRatio*c.referenceMean {
		return false
	}
	if c.congestedMean > 0 && mean >= shrinkHelpedRatio*c.congestedMean {
		return false
	}
	return c.limit > c.bounds.cold
}

// endGoodRound handles a round without congestion: it updates the references and
// grows the limit where that is allowed.
func (c *limitController) endGoodRound(r round, mean float64) {
	c.congestedMean = 0
	c.referenceMean = smoothMean(c.referenceMean, mean)
	if c.visiblyWarmed && (c.warmMean == 0 || mean < c.warmMean) {
		c.warmMean = mean
	}
	c.updateSteadyRounds(mean)
	mayGrow := float64(r.nearLimit) >= minNearLimitShare*float64(r.count) || c.steadyRounds >= steadyRoundsToWarm
	switch {
	case !c.mayExceedCold || !mayGrow:
		c.setLimit(c.limit)
	case !c.visiblyWarmed:
		c.setLimit(c.limit + 1)
	default:
		c.setLimit(c.limiter.grow(c.limit))
	}
}

// updateSteadyRounds counts a good round in which the engine did not visibly warm.
func (c *limitController) updateSteadyRounds(mean float64) {
	if c.lastWarmingMean == 0 || mean < warmingRatio*c.lastWarmingMean {
		c.lastWarmingMean, c.steadyRounds = mean, 0
		return
	}
	c.steadyRounds++
}

// smoothMean returns the geometric mean of the old and the new value, so that a
// single unusually fast round does not set the reference.
func smoothMean(old, mean float64) float64 {
	if old == 0 || mean == 0 {
		return mean
	}
	return math.Sqrt(old * mean)
}
