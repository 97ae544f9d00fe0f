package admit

// LimiterKind names an algorithm that adjusts a gate's concurrency limit.
type LimiterKind string

// Limiters.
const (
	// LimiterAIMD increases the limit by one after a round without congestion and
	// multiplies it by a constant factor after a congested one.
	LimiterAIMD LimiterKind = "aimd"
	// LimiterGradient increases the limit by a fraction after a round without
	// congestion and divides it by the slowdown of the first tokens, within bounds,
	// after a congested one.
	LimiterGradient LimiterKind = "gradient"
)

// limiter computes the limit that follows a round. Both methods are pure.
type limiter interface {
	// grow returns the next limit after a round without congestion.
	grow(limit int) int
	// shrink returns the next limit after a congested round. ratio, above 1, is
	// how much slower the round's first tokens were than before.
	shrink(limit int, ratio float64) int
}

// newLimiter returns the limiter of the kind; the default is LimiterGradient.
func newLimiter(kind LimiterKind) limiter {
	if kind == LimiterAIMD {
		return aimd{}
	}
	return gradient{}
}

// aimdDecrease is the factor of a multiplicative decrease. It is also the largest factor
// by which gradient shrinks the limit.
const aimdDecrease = 0.8

// aimd implements additive increase, multiplicative decrease.
type aimd struct{}

func (aimd) grow(limit int) int { return limit + 1 }

func (aimd) shrink(limit int, _ float64) int { return int(float64(limit) * aimdDecrease) }

const (
	// gradientIncrease is the fraction by which the limit grows: an engine that
	// has not slowed down at a limit is assumed to sustain a quarter more.
	gradientIncrease = 0.25
	// gradientMinFactor is the smallest factor that one round may apply to the
	// limit.
	gradientMinFactor = 0.5
)

// gradient grows the limit by a fraction and shrinks it in inverse proportion to the
// slowdown of the first tokens, by a factor from gradientMinFactor to aimdDecrease.
type gradient struct{}

func (gradient) grow(limit int) int { return limit + max(int(float64(limit)*gradientIncrease), 1) }

func (gradient) shrink(limit int, ratio float64) int {
	return int(float64(limit) * min(max(1/ratio, gradientMinFactor), aimdDecrease))
}

// limitBounds is the range of a concurrency limit.
type limitBounds struct {
	cold    int
	maximum int
}

// newLimitBounds corrects inconsistent values so that 1 <= cold <= maximum.
func newLimitBounds(cold, maximum int) limitBounds {
	cold = max(cold, 1)
	return limitBounds{cold: cold, maximum: max(maximum, cold)}
}

// clamp returns value limited to the bounds.
func (b limitBounds) clamp(value int) int { return min(max(value, b.cold), b.maximum) }
