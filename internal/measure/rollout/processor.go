package rollout

import (
	"context"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/table"
)

// processorBound is the share of a core that a node may spend, in percent.
const processorBound = 1.2

// measureProcessor gives the processor time a node spends on configuration at
// the target size: the protocol with its codec, and bringing each version into
// force over the large table. System calls of real sockets are not in it.
func measureProcessor(context.Context) (measure.Result, error) {
	size := spreadTargetSize[0]
	before := processorTime()
	if _, err := runSpread(size, true); err != nil {
		return measure.Result{}, err
	}
	nodeSeconds := float64(size.entries) * (warmUp + measuredTime).Seconds()
	protocol := 100 * (processorTime() - before).Seconds() / nodeSeconds
	advance, err := slowestAdvance()
	if err != nil {
		return measure.Result{}, err
	}
	force := 100 * advance.Seconds() / changeSpacing.Seconds()
	return measure.Result{Figures: []measure.Figure{
		{Name: "processor time a node, protocol and codec, 1,400 entries", Value: protocol, Unit: "% of a core"},
		{Name: "processor time to bring one version into force, dearest kind of change, 42,000 organisations", Value: advance.Seconds() * 1000, Unit: "ms"},
		{Name: "processor time a node, all of configuration, 1,400 entries", Value: protocol + force, Unit: "% of a core", Limit: measure.AtMost, Bound: processorBound},
	}}, nil
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// advanceRuns is how often a change of one kind is brought into force.
const advanceRuns = 100

// slowestAdvance returns the processor time, collection of garbage included, of
// the dearest kind of change over the large table.
func slowestAdvance() (time.Duration, error) {
	base := targetSize.build()
	snapshot, err := table.Compile(base)
	if err != nil {
		return 0, err
	}
	var slowest time.Duration
	for _, delta := range oneDeltaOfEachKind(base) {
		before := processorTime()
		for range advanceRuns {
			if _, err := snapshot.Advance(delta); err != nil {
				return 0, err
			}
		}
		slowest = max(slowest, (processorTime()-before)/advanceRuns)
	}
	return slowest, nil
}

func oneDeltaOfEachKind(t *table.Table) []table.Delta {
	route, target := t.Routes["route-1"], t.Targets["target-1"]
	organisation, domain := t.Organisations[organisationName(1)], t.Domains[domainName(1)]
	route.QuotaPerSecond, target.Leaving = 7, true
	organisation.Weight, domain.Out = 2, true
	return []table.Delta{
		{To: 1, Routes: table.Changes[table.Route]{Put: []table.Route{route}}},
		{To: 1, Targets: table.Changes[table.Target]{Put: []table.Target{target}}},
		{To: 1, Organisations: table.Changes[table.Organisation]{Put: []table.Organisation{organisation}}},
		{To: 1, Domains: table.Changes[table.FailureDomain]{Put: []table.FailureDomain{domain}}},
	}
}
