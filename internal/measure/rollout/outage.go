package rollout

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rollout"
)

const (
	// spikeBound is the most that reads may rise above the steady rate.
	spikeBound = 2.0
	// settleTime is how long reads are watched after the platform is back.
	settleTime = 30 * time.Second
	// sampleTime is how often it is looked whether hosts may serve.
	sampleTime = rollout.TickInterval
	// spikeWindow is the number of seconds over which a rate is taken.
	spikeWindow = 5
)

// outageKind is one way for the platform to fail.
type outageKind struct {
	name         string
	begin, cease func(w *world)
}

var outageKinds = []outageKind{
	{"platform down", func(w *world) { w.rows.SetDown(true) }, func(w *world) { w.rows.SetDown(false) }},
	{"platform slow", func(w *world) { w.latency = platformSlow }, func(w *world) { w.latency = platformUsual }},
}

type outageSize struct {
	entries, domains int
	lasting          time.Duration
}

var outageSizes = []outageSize{
	{entries: 4, domains: 3, lasting: 10 * time.Minute},
	{entries: 16, domains: 8, lasting: 10 * time.Minute},
	{entries: 200, domains: 8, lasting: time.Minute},
}

// measureOutage gives the share of time that hosts could serve while the
// platform was down or slow, and the reads during it and after it.
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
	w := newWorld(uint64(size.entries), size.entries, 0, size.domains)
	if _, err := w.change(w.hosts[0]); err != nil {
		return nil, err
	}
	w.startAll()
	w.run(warmUp)
	steadyFrom := len(w.readsAt)
	w.run(measuredTime)
	steady := meanOf(w.readsAt[steadyFrom:])
	kind.begin(w)
	outageFrom := len(w.readsAt)
	serving := w.servingShare(size.lasting)
	outagePeak := peakOf(w.readsAt[outageFrom:])
	kind.cease(w)
	recoveryFrom := len(w.readsAt)
	version, err := w.change(w.hosts[1])
	if err != nil {
		return nil, err
	}
	servingAfter := w.servingShare(settleTime)
	covered := settleTime
	if w.covered(version) {
		covered = w.coveredAt[version].Sub(w.acceptedAt[version])
	}
	recoveryPeak := peakOf(w.readsAt[recoveryFrom:])
	under := fmt.Sprintf(", %s for %s, %d entries", kind.name, size.lasting, size.entries)
	return []measure.Figure{
		{Name: "time that entries may serve" + under, Value: min(serving, servingAfter), Unit: "ratio", Limit: measure.AtLeast, Bound: 1},
		{Name: "reads during it over steady reads" + under, Value: outagePeak / steady, Unit: "ratio", Limit: measure.AtMost, Bound: spikeBound},
		{Name: "reads after it over steady reads" + under, Value: recoveryPeak / steady, Unit: "ratio", Limit: measure.AtMost, Bound: spikeBound},
		{Name: "time to full coverage of a change made as it ends" + under, Value: covered.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: coverageBound},
	}, nil
}

// servingShare lets time pass and returns the share of samples at which a host
// could take new work.
func (w *world) servingShare(d time.Duration) float64 {
	samples, serving := 0, 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += sampleTime {
		w.run(sampleTime)
		for _, h := range w.hosts {
			samples++
			if rollout.MayServe(h.node.ServeInput(w.now)).OK() {
				serving++
			}
		}
	}
	return float64(serving) / float64(samples)
}

func meanOf(seconds []int) float64 {
	total := 0
	for _, reads := range seconds {
		total += reads
	}
	return float64(total) / float64(len(seconds))
}

// peakOf returns the highest mean over spikeWindow seconds.
func peakOf(seconds []int) float64 {
	peak := 0.0
	for from := 0; from+spikeWindow <= len(seconds); from++ {
		peak = max(peak, meanOf(seconds[from:from+spikeWindow]))
	}
	return peak
}
