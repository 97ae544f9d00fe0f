package rollout

import (
	"context"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/table"
)

// cpuBoundPercent is the CPU time that a node may spend on configuration, in percent
// of one core.
const cpuBoundPercent = 1.2

// measureCPU measures the CPU time that a node spends on configuration at the planned
// size: the protocol with its codec, and the activation of each version over a
// table of that size. It excludes the system calls of real sockets.
func measureCPU(context.Context) (measure.Result, error) {
	size := propagationPlannedSizes[0]
	before := processCPUTime()
	if _, err := runPropagation(size, true); err != nil {
		return measure.Result{}, err
	}
	nodeSeconds := float64(size.entries) * (warmUp + measuredTime).Seconds()
	protocol := 100 * (processCPUTime() - before).Seconds() / nodeSeconds
	activation, err := maxActivationTime()
	if err != nil {
		return measure.Result{}, err
	}
	activationPercent := 100 * activation.Seconds() / changeSpacing.Seconds()
	return measure.Result{Figures: []measure.Figure{
		{Name: "CPU time per node, protocol and codec, 1,400 entries", Value: protocol, Unit: "% of a core"},
		{Name: "CPU time to activate one version, most expensive kind of change, 42,000 organisations", Value: activation.Seconds() * 1000, Unit: "ms"},
		{Name: "CPU time per node, configuration in total, 1,400 entries", Value: protocol + activationPercent, Unit: "% of a core", Limit: measure.AtMost, Bound: cpuBoundPercent},
	}}, nil
}

// processCPUTime returns the user and system CPU time of this process so far.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// activationRuns is the number of activations over which the CPU time is averaged.
const activationRuns = 100

// maxActivationTime returns the mean CPU time, garbage collection included, of activating
// the most expensive kind of change over a table of the planned size.
func maxActivationTime() (time.Duration, error) {
	base := plannedSize.build()
	snapshot, err := table.Compile(base)
	if err != nil {
		return 0, err
	}
	var highest time.Duration
	for _, delta := range deltaPerKind(base) {
		before := processCPUTime()
		for range activationRuns {
			if _, err := snapshot.Advance(delta); err != nil {
				return 0, err
			}
		}
		highest = max(highest, (processCPUTime()-before)/activationRuns)
	}
	return highest, nil
}

// deltaPerKind returns one change of a route, a target, an organisation and a failure
// domain each.
func deltaPerKind(t *table.Table) []table.Delta {
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
