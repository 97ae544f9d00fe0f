package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat"

	"verbenaseam.example/verbenaseam/internal/measure"
)

// Bounds that follow from the performance targets.
const (
	changesPerDay      = 51_000
	readsBound         = 200.0  // table reads per second of all nodes together
	bytesBound         = 5000.0 // bytes per second and node
	smallCoverageBound = 3.0    // seconds, with at most 50 entries
	coverageBound      = 6.0    // seconds
)

const (
	warmUp        = 10 * time.Second
	measuredTime  = 30 * time.Second
	changeSpacing = 24 * time.Hour / changesPerDay
)

// propagationSize is a deployment size at which the propagation of versions is
// measured.
type propagationSize struct {
	entries, targets, domains int
	// brokenOnly omits the run without broken links.
	brokenOnly bool
}

var propagationSizes = []propagationSize{
	{entries: 4, domains: 3},
	{entries: 4, targets: 15, domains: 3},
	{entries: 50, domains: 3},
	{entries: 200, domains: 8},
	{entries: 100, targets: 300, domains: 8, brokenOnly: true},
}

var propagationPlannedSizes = []propagationSize{{entries: 1400, domains: 8, brokenOnly: true}}

func (s propagationSize) coverageBound() float64 {
	if s.entries <= 50 {
		return smallCoverageBound
	}
	return coverageBound
}

// measurePropagation measures platform reads, bytes sent per node and time to full
// coverage at each size, without broken links and with one third of them broken.
func measurePropagation(sizes []propagationSize) func(context.Context) (measure.Result, error) {
	return func(ctx context.Context) (measure.Result, error) {
		var result measure.Result
		for _, size := range sizes {
			for _, broken := range []bool{false, true} {
				if ctx.Err() != nil {
					return result, ctx.Err()
				}
				if !broken && size.brokenOnly {
					continue
				}
				run, err := runPropagation(size, broken)
				if err != nil {
					return result, err
				}
				result.Figures = append(result.Figures, run.figures()...)
			}
		}
		return result, nil
	}
}

// propagationRun holds the measurements of one run.
type propagationRun struct {
	size                              propagationSize
	broken                            bool
	versions, covered                 int
	maxCoverageTime, meanCoverageTime time.Duration
	maxReads                          int
	meanReads                         float64
	maxBytes                          float64
	meanBytes                         float64
}

func runPropagation(size propagationSize, broken bool) (propagationRun, error) {
	sim := newSimulation(uint64(size.entries), size.entries, size.targets, size.domains)
	if broken {
		sim.linkFault = breakThirdOfLinks
	}
	if _, err := sim.commitChange(sim.hosts[0]); err != nil {
		return propagationRun{}, err
	}
	sim.startAll()
	sim.advance(warmUp)
	bytesBefore := make([]int, len(sim.hosts))
	for i, h := range sim.hosts {
		bytesBefore[i] = h.bytesOut
	}
	firstSecond := len(sim.readsPerSecond)
	firstVersion := sim.table.Version + 1
	for elapsed := time.Duration(0); elapsed < measuredTime; elapsed += changeSpacing {
		if _, err := sim.commitChange(sim.hosts[sim.random.IntN(size.entries)]); err != nil {
			return propagationRun{}, err
		}
		sim.advance(changeSpacing)
	}
	run := propagationRun{size: size, broken: broken}
	run.countReads(sim.readsPerSecond[firstSecond:])
	run.countBytes(sim, bytesBefore)
	lastVersion := sim.table.Version
	for waited := time.Duration(0); waited < 2*coverageBound*time.Second && !sim.covered(lastVersion); waited += time.Second {
		sim.advance(time.Second)
	}
	run.countCoverage(sim, firstVersion, lastVersion)
	return run, nil
}

// breakThirdOfLinks permanently breaks one third of the links. On half of these,
// sending fails at once; on the others, messages are lost without notice.
func breakThirdOfLinks(a, b *host) (lost, failFast bool) {
	first, second := min(a.name, b.name), max(a.name, b.name)
	hash := xxhash.Sum64String(first + "\x00" + second)
	broken := hash%3 == 0
	return broken, broken && hash/3%2 == 0
}

func (r *propagationRun) countReads(seconds []int) {
	for _, reads := range seconds {
		r.maxReads = max(r.maxReads, reads)
		r.meanReads += float64(reads) / float64(len(seconds))
	}
}

func (r *propagationRun) countBytes(sim *simulation, before []int) {
	var perNode []float64
	for i, h := range sim.hosts {
		rate := float64(h.bytesOut-before[i]) / measuredTime.Seconds()
		r.maxBytes = max(r.maxBytes, rate)
		perNode = append(perNode, rate)
	}
	r.meanBytes = stat.Mean(perNode, nil)
}

func (r *propagationRun) countCoverage(sim *simulation, from, to uint64) {
	var total time.Duration
	for version := from; version <= to; version++ {
		r.versions++
		covered, found := sim.coveredAt[version]
		if !found {
			continue
		}
		r.covered++
		took := covered.Sub(sim.acceptedAt[version])
		total += took
		r.maxCoverageTime = max(r.maxCoverageTime, took)
	}
	if r.covered > 0 {
		r.meanCoverageTime = total / time.Duration(r.covered)
	}
}

func (r *propagationRun) figures() []measure.Figure {
	links := "no broken links"
	if r.broken {
		links = "one third of links broken"
	}
	conditions := fmt.Sprintf(", %d entries, %s", r.size.entries, links)
	if r.size.targets > 0 {
		conditions = fmt.Sprintf(", %d entries and %d agents, %s", r.size.entries, r.size.targets, links)
	}
	covered := float64(r.covered) / float64(r.versions)
	return []measure.Figure{
		{Name: "versions active on all hosts" + conditions, Value: covered, Unit: "ratio", Limit: measure.AtLeast, Bound: 1},
		{Name: "maximum time to full coverage" + conditions, Value: r.maxCoverageTime.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: r.size.coverageBound()},
		{Name: "mean time to full coverage" + conditions, Value: r.meanCoverageTime.Seconds(), Unit: "s"},
		{Name: "platform reads, busiest second" + conditions, Value: float64(r.maxReads), Unit: "reads/s", Limit: measure.AtMost, Bound: readsBound},
		{Name: "platform reads, mean" + conditions, Value: r.meanReads, Unit: "reads/s", Limit: measure.AtMost, Bound: readsBound},
		{Name: "bytes sent, busiest node" + conditions, Value: r.maxBytes, Unit: "B/s", Limit: measure.AtMost, Bound: bytesBound},
		{Name: "bytes sent, mean per node" + conditions, Value: r.meanBytes, Unit: "B/s", Limit: measure.AtMost, Bound: bytesBound},
	}
}
