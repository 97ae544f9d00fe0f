package rebalance

import "math"

// levelsPerOctave is the resolution of the logarithmic scale on which counts are
// sent: 12 levels per octave, or about 6 % per level.
const levelsPerOctave = 12

// levelOfCount returns the level of a count on the logarithmic scale; 0 for none.
func levelOfCount(count uint64) byte {
	return byte(min(math.Round(levelsPerOctave*math.Log2(1+float64(count))), math.MaxUint8))
}

// countAtLevel returns the count that a level stands for.
func countAtLevel(level byte) float64 {
	return math.Exp2(float64(level)/levelsPerOctave) - 1
}
