package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Shape describes a group and its load.
type Shape struct {
	Ranks, Experts, Layers int
	// SpareShare is the number of slots beyond one per expert, as a fraction of the
	// number of experts.
	SpareShare float64
	// SpeedSpread is the spread of the ranks' relative speeds, which lie in
	// 1±SpeedSpread.
	SpeedSpread float64
	// ZipfFrom and ZipfTo are the bounds of the Zipf exponent of expert popularity, which
	// is drawn for each layer.
	ZipfFrom, ZipfTo float64
	// DriftStdDev is the standard deviation of each expert's log popularity around its
	// mean; DriftTimeConstant is the time constant of its reversion to the mean.
	DriftStdDev       float64
	DriftTimeConstant time.Duration
	// BurstInterval is the time between bursts; 0 means none. A burst is an additional
	// token source with its own popularity in every layer. For BurstDuration it adds
	// BurstShare times the regular tokens, after which the total is normalised.
	BurstInterval, BurstDuration time.Duration
	BurstShare                   float64
	// DayPeriod is the period of an oscillation between two popularity rankings; 0 means
	// none.
	DayPeriod time.Duration
	Seed      uint64
}

const (
	// assignmentsPerRank is the number of expert assignments of a rank in a step: 256
	// sequences with 8 experts each.
	assignmentsPerRank = 256 * 8
	// burstZipf is the Zipf exponent of the popularity in a burst.
	burstZipf = 1.0
)

// burst is an additional token source that ends at until.
type burst struct {
	shares [][]float64
	until  time.Duration
}

// Workload simulates the true popularity over time.
type Workload struct {
	Shape       Shape
	random      *rand.Rand
	now         time.Duration
	dayShares   [][]float64
	nightShares [][]float64
	drift       [][]float64
	bursts      []burst
}

// NewWorkload returns a workload at time 0.
func NewWorkload(shape Shape) *Workload {
	w := &Workload{Shape: shape, random: rand.New(rand.NewPCG(shape.Seed, 11))}
	for range shape.Layers {
		exponent := shape.ZipfFrom + w.random.Float64()*(shape.ZipfTo-shape.ZipfFrom)
		w.dayShares = append(w.dayShares, w.zipf(exponent))
		w.nightShares = append(w.nightShares, w.zipf(exponent))
		drift := make([]float64, shape.Experts)
		for expert := range drift {
			drift[expert] = w.random.NormFloat64() * shape.DriftStdDev
		}
		w.drift = append(w.drift, drift)
	}
	return w
}

// zipf returns Zipf-distributed shares in random order.
func (w *Workload) zipf(exponent float64) []float64 {
	shares := make([]float64, w.Shape.Experts)
	total := 0.0
	for at := range shares {
		shares[at] = math.Pow(float64(at+1), -exponent)
		total += shares[at]
	}
	for at := range shares {
		shares[at] /= total
	}
	w.random.Shuffle(len(shares), func(i, j int) { shares[i], shares[j] = shares[j], shares[i] })
	return shares
}

// Advance advances the simulated time.
func (w *Workload) Advance(by time.Duration) {
	w.now += by
	if w.Shape.DriftStdDev > 0 {
		decay := math.Exp(-by.Seconds() / w.Shape.DriftTimeConstant.Seconds())
		noise := w.Shape.DriftStdDev * math.Sqrt(1-decay*decay)
		for _, drift := range w.drift {
			for expert := range drift {
				drift[expert] = drift[expert]*decay + noise*w.random.NormFloat64()
			}
		}
	}
	if every := w.Shape.BurstInterval; every > 0 && w.now/every != (w.now-by)/every {
		next := burst{until: w.now + w.Shape.BurstDuration}
		for range w.Shape.Layers {
			next.shares = append(next.shares, w.zipf(burstZipf))
		}
		w.bursts = append(w.bursts, next)
	}
}

// Loads returns the expected number of tokens per step by layer and expert.
func (w *Workload) Loads() [][]float64 {
	night := 0.0
	if w.Shape.DayPeriod > 0 {
		night = (1 - math.Cos(2*math.Pi*w.now.Seconds()/w.Shape.DayPeriod.Seconds())) / 2
	}
	loads := make([][]float64, w.Shape.Layers)
	for layer := range loads {
		loads[layer] = make([]float64, w.Shape.Experts)
		for expert := range loads[layer] {
			share := (1-night)*w.dayShares[layer][expert] + night*w.nightShares[layer][expert]
			loads[layer][expert] = share * math.Exp(w.drift[layer][expert])
		}
	}
	tokens := float64(assignmentsPerRank * w.Shape.Ranks)
	for layer := range loads {
		normalise(loads[layer], tokens)
		for _, b := range w.bursts {
			if w.now >= b.until {
				continue
			}
			for expert, share := range b.shares[layer] {
				loads[layer][expert] += share * tokens * w.Shape.BurstShare
			}
		}
		normalise(loads[layer], tokens)
	}
	return loads
}

func normalise(loads []float64, total float64) {
	sum := 0.0
	for _, load := range loads {
		sum += load
	}
	for at := range loads {
		loads[at] *= total / sum
	}
}

// Sample returns a noisy observation of the tokens per step, averaged over the given
// number of steps. The noise is normal with the variance of a Poisson count.
func (w *Workload) Sample(loads [][]float64, steps float64) [][]float64 {
	sample := make([][]float64, len(loads))
	for layer := range loads {
		sample[layer] = make([]float64, len(loads[layer]))
		for expert, load := range loads[layer] {
			noise := w.random.NormFloat64() * math.Sqrt(load/steps)
			sample[layer][expert] = max(0, load+noise)
		}
	}
	return sample
}

// Speeds returns the ranks' speeds in tokens per second.
func (w *Workload) Speeds() []float64 {
	random := rand.New(rand.NewPCG(w.Shape.Seed, 12))
	speeds := make([]float64, w.Shape.Ranks)
	for rank := range speeds {
		speeds[rank] = 1e6 * (1 + w.Shape.SpeedSpread*(2*random.Float64()-1))
	}
	return speeds
}

// Memory returns the number of experts that each rank can hold over all layers.
func (w *Workload) Memory() []int {
	slots := int(float64(w.Shape.Experts*w.Shape.Layers) * (1 + w.Shape.SpareShare))
	memory := make([]int, w.Shape.Ranks)
	for at := range slots {
		memory[at%len(memory)]++
	}
	return memory
}
