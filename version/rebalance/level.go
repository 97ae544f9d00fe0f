package rebalance

import "math"

// levelsAnOctave is how finely counts are told: to 6 in 100.
const levelsAnOctave = 12

// levelOf returns the level of a count; 0 for none.
func levelOf(count uint64) byte {
	return byte(min(math.Round(levelsAnOctave*math.Log2(1+float64(count))), math.MaxUint8))
}

// countOf returns the count at a level.
func countOf(level byte) float64 {
	return math.Exp2(float64(level)/levelsAnOctave) - 1
}
