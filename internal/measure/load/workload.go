package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// newRandom returns a seeded random source.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed^0x5851f42d4c957f2d)) }

// workload describes a stream of requests.
type workload struct {
	// prefixes is the number of shared prompt prefixes, which are drawn from a Zipf
	// distribution with the exponent zipfExponent. 0 means that prompts share no
	// prefix.
	prefixes     int
	zipfExponent float64
	// prefixBlocks is the length of a shared prefix in blocks of blockTokens tokens.
	prefixBlocks, blockTokens int
	// promptTokens and outputTokens are the medians of the unshared part of the prompt
	// and of the answer. Both have a lognormal distribution with the parameter sigma.
	promptTokens, outputTokens float64
	sigma                      float64
}

// generator draws the requests of a workload.
type generator struct {
	workload       workload
	random         *rand.Rand
	zipfCumulative []float64
}

func newGenerator(w workload, seed uint64) *generator {
	g := &generator{workload: w, random: newRandom(seed)}
	sum := 0.0
	for i := range w.prefixes {
		sum += math.Pow(float64(i+1), -w.zipfExponent)
		g.zipfCumulative = append(g.zipfCumulative, sum)
	}
	return g
}

// next draws a request. The caller sets its callbacks.
func (g *generator) next() *engineRequest {
	r := &engineRequest{
		promptTokens: g.drawLength(g.workload.promptTokens),
		outputTokens: g.drawLength(g.workload.outputTokens),
	}
	if g.workload.prefixes == 0 {
		return r
	}
	at := g.random.Float64() * g.zipfCumulative[len(g.zipfCumulative)-1]
	index := sort.SearchFloat64s(g.zipfCumulative, at)
	r.promptTokens += g.workload.prefixBlocks * g.workload.blockTokens
	r.prefix = make([]uint64, g.workload.prefixBlocks)
	for block := range r.prefix {
		r.prefix[block] = hashPair(uint64(index), uint64(block))
	}
	return r
}

// drawLength draws a length from the lognormal distribution with the given median.
func (g *generator) drawLength(median float64) int {
	return int(median*math.Exp(g.workload.sigma*g.random.NormFloat64())) + 1
}

// drawInterarrivalTime draws the time to the next arrival. rate is the mean number of
// arrivals per second.
func (g *generator) drawInterarrivalTime(rate float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// hashPair returns a hash of two numbers, which is never 0. It serves as the hash of
// a prompt's block and as a seed.
func hashPair(a, b uint64) uint64 {
	x := (a*131+b+1)*0x9e3779b97f4a7c15 + 0x1234567
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29 | 1
}

// sortRequests sorts requests into an order that is the same in each run.
func sortRequests(requests []*engineRequest) {
	sort.Slice(requests, func(i, j int) bool {
		a, b := requests[i], requests[j]
		if a.promptTokens != b.promptTokens {
			return a.promptTokens < b.promptTokens
		}
		return a.outputTokens < b.outputTokens
	})
}

// percentile returns the value below which the given share of the values lies. It
// sorts values in place.
func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
