package path

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
)

// Bounds that follow from the performance targets.
const (
	maxAddedP50Millis    = 0.5
	maxAddedP99Millis    = 2
	minRequestsPerSecond = 20000
)

const (
	latencyRate       = 2000
	latencyTime       = 5 * time.Second
	throughputWorkers = 128
	throughputTime    = 4 * time.Second
	warmUpTime        = 20 * time.Second
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "path-latency", Run: measureLatency},
		{Name: "path-throughput", Run: measureThroughput},
		{Name: "path-streams", Run: measureIdleStreams},
	}
}

// proxiedLookups returns a function that sends a lookup through one of the entries.
func (t *testbed) proxiedLookups() sendFunc {
	description := t.system.Description
	key := description.Callers["packers"]
	return func(ctx context.Context, number int64) error {
		entry := description.Entries[int(number)%len(description.Entries)]
		return t.get(ctx, entry+description.LookupPath+"?item=rose", key)
	}
}

// directLookups returns a function that sends a lookup directly to one of the service
// stand-ins.
func (t *testbed) directLookups() sendFunc {
	urls := t.system.ServiceURLs()
	path := t.system.Description.LookupPath
	return func(ctx context.Context, number int64) error {
		return t.get(ctx, urls[int(number)%len(urls)]+path+"?item=rose", "")
	}
}

// measureLatency measures the latency that entry and agent add to a lookup at a fixed
// rate.
func measureLatency(ctx context.Context) (measure.Result, error) {
	t, err := startTestbed(ctx, true)
	if err != nil {
		return measure.Result{}, err
	}
	defer t.stop()
	if _, err := runOpenLoop(ctx, latencyRate, warmUpTime, t.proxiedLookups()); err != nil {
		return measure.Result{}, err
	}
	direct, err := runOpenLoop(ctx, latencyRate, latencyTime, t.directLookups())
	if err != nil {
		return measure.Result{}, err
	}
	proxied, err := runOpenLoop(ctx, latencyRate, latencyTime, t.proxiedLookups())
	if err != nil {
		return measure.Result{}, err
	}
	addedMillis := func(quantile float64) float64 {
		return float64(proxied.ValueAtQuantile(quantile)-direct.ValueAtQuantile(quantile)) / 1000
	}
	ratio := float64(proxied.ValueAtQuantile(50)) / float64(direct.ValueAtQuantile(50))
	return measure.Result{Figures: []measure.Figure{
		{Name: "added latency p50 at 2,000 requests/s", Value: addedMillis(50), Unit: "ms", Limit: measure.AtMost, Bound: maxAddedP50Millis},
		{Name: "added latency p99 at 2,000 requests/s", Value: addedMillis(99), Unit: "ms", Limit: measure.AtMost, Bound: maxAddedP99Millis},
		{Name: "ratio of p50 through the system to direct p50", Value: ratio, Unit: "ratio"},
	}}, nil
}

// measureThroughput measures the maximum rate of lookups through entry and agent, and
// directly to the service stand-ins.
func measureThroughput(ctx context.Context) (measure.Result, error) {
	t, err := startTestbed(ctx, true)
	if err != nil {
		return measure.Result{}, err
	}
	defer t.stop()
	if _, err := runClosedLoop(ctx, throughputWorkers, warmUpTime, t.proxiedLookups()); err != nil {
		return measure.Result{}, err
	}
	direct, err := runClosedLoop(ctx, throughputWorkers, throughputTime, t.directLookups())
	if err != nil {
		return measure.Result{}, err
	}
	proxied, err := runClosedLoop(ctx, throughputWorkers, throughputTime, t.proxiedLookups())
	if err != nil {
		return measure.Result{}, err
	}
	return measure.Result{Figures: []measure.Figure{
		{Name: "small unary requests through entry and agent", Value: proxied, Unit: "1/s", Limit: measure.AtLeast, Bound: minRequestsPerSecond},
		{Name: "small unary requests directly to the service", Value: direct, Unit: "1/s"},
		{Name: "ratio of direct rate to rate through entry and agent", Value: direct / proxied, Unit: "ratio"},
	}}, nil
}
