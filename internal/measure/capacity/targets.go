package capacity

import (
	"context"
	"fmt"
	"runtime"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/gateway"
	"verbenaseam.example/verbenaseam/version/table"
)

// The size of the planned deployment, with one pool per model.
const (
	targetCount        = 10_000
	poolCount          = 11
	failureDomainCount = 8
	// queueLimit is the default limit on queued requests per pool.
	queueLimit = 2048
)

// tableWithoutRoutes returns a table with all targets and pools, but without routes
// and organisations.
func tableWithoutRoutes() *table.Table {
	t := table.New()
	for i := range failureDomainCount {
		name := fmt.Sprintf("domain-%d", i)
		t.Domains[name] = table.FailureDomain{Name: name, Region: "region"}
	}
	members := make([][]string, poolCount)
	for i := range targetCount {
		name := fmt.Sprintf("target-%d", i)
		agent := fmt.Sprintf("127.1.%d.%d:7000", i>>8, i&255)
		t.Targets[name] = table.Target{Name: name, Agent: agent, FailureDomain: fmt.Sprintf("domain-%d", i%failureDomainCount)}
		members[i%poolCount] = append(members[i%poolCount], name)
	}
	for i, names := range members {
		name := fmt.Sprintf("pool-%d", i)
		t.Pools[name] = table.Pool{
			Name: name, Kind: table.KindModel, Targets: names, ColdLimit: 4, Maximum: 64,
			Fencing: table.FencingChecked, Policy: "score",
		}
	}
	return t
}

// Repetitions of the measured operations.
const (
	viewUpdates   = 20
	reportUpdates = 20_000
)

// measureTargetView measures an entry's view of its targets at the full number of
// targets: its memory, and the CPU time to update it and to record a load report.
func measureTargetView(context.Context) (measure.Result, error) {
	snapshot, err := table.Compile(tableWithoutRoutes())
	if err != nil {
		return measure.Result{}, err
	}
	before := liveHeapBytes()
	view := gateway.NewTargets("entry-1", queueLimit, clockwork.NewRealClock())
	agents := view.Update(snapshot)
	memory := liveHeapBytes() - before

	start := cpuTime()
	for range viewUpdates {
		view.Update(snapshot)
	}
	update := microseconds(cpuTime()-start) / viewUpdates

	status := view.Status()
	start = cpuTime()
	for i := range reportUpdates {
		report := sampleReport
		report.Target = status[i%len(status)].Name
		view.RecordReport("agent-1", report)
	}
	report := microseconds(cpuTime()-start) / reportUpdates
	runtime.KeepAlive(snapshot)
	return measure.Result{Figures: []measure.Figure{
		{Name: "agents an entry links to, 10,000 targets in 11 pools", Value: float64(len(agents)), Unit: "links"},
		{Name: "heap of the view of the targets", Value: memory / bytesPerMiB, Unit: "MiB"},
		{Name: "heap of the view per linked target", Value: memory / bytesPerKiB / float64(len(agents)), Unit: "KiB"},
		{Name: "CPU time to update the view", Value: update / 1000, Unit: "ms"},
		{Name: "CPU time to record a load report in the view", Value: report, Unit: "µs"},
	}}, nil
}
