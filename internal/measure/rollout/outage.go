package rollout

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rollout"
)

const (
	// readSpikeBound is the maximum of the peak read rate as a multiple of the steady
	// rate.
	readSpikeBound = 2.0
	// recoveryTime is how long reads are observed after the platform has recovered.
	recoveryTime = 30 * time.Second
	// sampleInterval is the time between two samples of whether hosts may serve.
	sampleInterval = rollout.TickInterval
	// readRateWindow is the averaging window of the peak read rate in seconds.
	readRateWindow = 5
)

// outageKind is a failure mode of the platform.
type outageKind struct {
	name       string
	begin, end func(sim *simulation)
}

var outageKinds = []outageKind{
	{"platform down", func(sim *simulation) { sim.rows.SetDown(true) }, func(sim *simulation) { sim.rows.SetDown(false) }},
	{"platform slow", func(sim *simulation) { sim.platformLatency = slowPlatformLatency }, func(sim *simulation) { sim.platformLatency = normalPlatformLatency }},
}

type outageSize struct {
	entries, domains int
	duration         time.Duration
}

var outageSizes = []outageSize{
	{entries: 4, domains: 3, duration: 10 * time.Minute},
	{entries: 16, domains: 8, duration: 10 * time.Minute},
	{entries: 200, domains: 8, duration: time.Minute},
}

// measureOutage measures the share of time in which hosts may serve while the
// platform is down or slow, and the platform reads during and after the outage.
func measureOutage(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	for _, size := range outageSizes {
		for _, kind := range outageKinds {
			if ctx.Err() != nil {
				return result, ctx.Err()
			}
			figures, err := runOutage(size, kind)
			if err != nil {
				return result, err
			}
			result.Figures = append(result.Figures, figures...)
		}
	}
	return result, nil
}

func runOutage(size outageSize, kind outageKind) ([]measure.Figure, error) {
	sim := newSimulation(uint64(size.entries), size.entries, 0, size.domains)
	if _, err := sim.commitChange(sim.hosts[0]); err != nil {
		return nil, err
	}
	sim.startAll()
	sim.advance(warmUp)
	steadyFrom := len(sim.readsPerSecond)
	sim.advance(measuredTime)
	steady := meanRate(sim.readsPerSecond[steadyFrom:])
	kind.begin(sim)
	outageFrom := len(sim.readsPerSecond)
	serving := sim.servingShare(size.duration)
	outagePeak := peakRate(sim.readsPerSecond[outageFrom:])
	kind.end(sim)
	recoveryFrom := len(sim.readsPerSecond)
	version, err := sim.commitChange(sim.hosts[1])
	if err != nil {
		return nil, err
	}
	servingAfter := sim.servingShare(recoveryTime)
	covered := recoveryTime
	if sim.covered(version) {
		covered = sim.coveredAt[version].Sub(sim.acceptedAt[version])
	}
	recoveryPeak := peakRate(sim.readsPerSecond[recoveryFrom:])
	conditions := fmt.Sprintf(", %s for %s, %d entries", kind.name, size.duration, size.entries)
	return []measure.Figure{
		{Name: "share of time in which entries may serve" + conditions, Value: min(serving, servingAfter), Unit: "ratio", Limit: measure.AtLeast, Bound: 1},
		{Name: "peak reads during outage relative to steady reads" + conditions, Value: outagePeak / steady, Unit: "ratio", Limit: measure.AtMost, Bound: readSpikeBound},
		{Name: "peak reads after outage relative to steady reads" + conditions, Value: recoveryPeak / steady, Unit: "ratio", Limit: measure.AtMost, Bound: readSpikeBound},
		{Name: "time to full coverage of a change made as the outage ends" + conditions, Value: covered.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: coverageBound},
	}, nil
}

// servingShare runs the simulation and returns the share of samples in which a host
// may accept new work.
func (sim *simulation) servingShare(d time.Duration) float64 {
	samples, serving := 0, 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += sampleInterval {
		sim.advance(sampleInterval)
		for _, h := range sim.hosts {
			samples++
			if rollout.MayServe(h.node.ServeInput(sim.now)).OK() {
				serving++
			}
		}
	}
	return float64(serving) / float64(samples)
}

// meanRate returns the mean of per-second read counts.
func meanRate(seconds []int) float64 {
	total := 0
	for _, reads := range seconds {
		total += reads
	}
	return float64(total) / float64(len(seconds))
}

// peakRate returns the highest mean over any readRateWindow consecutive seconds.
func peakRate(seconds []int) float64 {
	peak := 0.0
	for from := 0; from+readRateWindow <= len(seconds); from++ {
		peak = max(peak, meanRate(seconds[from:from+readRateWindow]))
	}
	return peak
}
