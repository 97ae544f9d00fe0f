package admit

import "time"

const (
	// baselineMinSamples is the number of samples needed before a baseline is
	// used.
	baselineMinSamples = 8
	// baselineRiseWeight and baselineDropWeight are the smoothing weights of a
	// sample above and below the baseline. The baseline drops quickly and rises
	// slowly, so that a temporary slowdown does not become the norm.
	baselineRiseWeight = 1.0 / 64
	baselineDropWeight = 1.0 / 16
	// slowFactor is the multiple of the baseline above which a first token or a
	// health probe counts as slow.
	slowFactor = 3.0
)

// baseline is an asymmetric moving average of the duration of one kind of event.
type baseline struct {
	value   float64
	samples int
}

// observe adds one duration to the average.
func (b *baseline) observe(d time.Duration) {
	b.samples++
	value := float64(d)
	switch {
	case b.samples == 1:
		b.value = value
	case value < b.value:
		b.value += baselineDropWeight * (value - b.value)
	default:
		b.value += baselineRiseWeight * (value - b.value)
	}
}

// duration returns the baseline, or 0 while there are too few samples.
func (b *baseline) duration() time.Duration {
	if b.samples < baselineMinSamples {
		return 0
	}
	return time.Duration(b.value)
}

// isSlow reports whether d exceeds the baseline by slowFactor.
func (b *baseline) isSlow(d time.Duration) bool {
	normal := b.duration()
	return normal > 0 && float64(d) > slowFactor*float64(normal)
}

const (
	// cacheMinSamples is the number of completed requests needed before hit ratios
	// are evaluated.
	cacheMinSamples = 32
	// cacheLongTermWeight and cacheRecentWeight are the smoothing weights of a sample
	// in the long-term and in the recent cache hit ratio.
	cacheLongTermWeight = 1.0 / 128
	cacheRecentWeight   = 1.0 / 8
	// cacheMinLongTermRatio is the long-term hit ratio at or below which no loss of
	// the cache is reported.
	cacheMinLongTermRatio = 0.2
	// cacheLostFraction is the fraction of the long-term hit ratio below which the
	// recent one means that the cache was lost.
	cacheLostFraction = 0.25
)

// cacheLossDetector detects the loss of an engine's prefix cache. It compares the
// recent cache hit ratio, which is the share of cached prompt tokens, with the
// long-term one.
type cacheLossDetector struct {
	longTerm, recent float64
	samples          int
}

// observe adds one completed request and reports whether the cache appears to be
// lost.
func (c *cacheLossDetector) observe(promptTokens, cachedTokens int) bool {
	if promptTokens <= 0 {
		return false
	}
	ratio := float64(cachedTokens) / float64(promptTokens)
	c.samples++
	if c.samples == 1 {
		c.longTerm, c.recent = ratio, ratio
	}
	c.longTerm += cacheLongTermWeight * (ratio - c.longTerm)
	c.recent += cacheRecentWeight * (ratio - c.recent)
	return c.samples > cacheMinSamples && c.longTerm > cacheMinLongTermRatio && c.recent < cacheLostFraction*c.longTerm
}
