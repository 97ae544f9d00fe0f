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

// The target size: a pool a model.
const (
	targets = 10_000
	pools   = 11
	domains = 8
	// queued is the default bound on the requests that wait for a pool.
	queued = 2048
)

// targetTable returns a table of the target size without routes.
func targetTable() *table.Table {
	t := table.New()
	for i := range domains {
		name := fmt.Sprintf("domain-%d", i)
		t.Domains[name] = table.FailureDomain{Name: name, Region: "region"}
	}
	members := make([][]string, pools)
	for i := range targets {
		name := fmt.Sprintf("target-%d", i)
		agent := fmt.Sprintf("127.1.%d.%d:7000", i>>8, i&255)
		t.Targets[name] = table.Target{Name: name, Agent: agent, FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
		members[i%pools] = append(members[i%pools], name)
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

// runs is how often a step is repeated.
const (
	updateRuns = 20
	reportRuns = 20_000
)

// targetView measures an entry's view of its targets at the target size: its
// memory, bringing it up to date, and taking in a load report.
func targetView(context.Context) (measure.Result, error) {
	snapshot, err := table.Compile(targetTable())
	if err != nil {
		return measure.Result{}, err
	}
	before := heapInUse()
	view := gateway.NewTargets("entry-1", queued, clockwork.NewRealClock())
	agents := view.Update(snapshot)
	memory := heapInUse() - before

	started := processorTime()
	for range updateRuns {
		view.Update(snapshot)
	}
	update := micros(processorTime()-started) / updateRuns

	seen := view.Status()
	started = processorTime()
	for i := range reportRuns {
		report := aReport
		report.Target = seen[i%len(seen)].Name
		view.RecordReport("agent-1", report)
	}
	report := micros(processorTime()-started) / reportRuns
	runtime.KeepAlive(snapshot)
	return measure.Result{Figures: []measure.Figure{
		{Name: "agents an entry links to, 10,000 targets in 11 pools", Value: float64(len(agents)), Unit: "links"},
		{Name: "heap of the view of these targets", Value: memory / bytesPerMiB, Unit: "MB"},
		{Name: "heap of the view, a linked target", Value: memory / bytesPerKiB / float64(len(agents)), Unit: "KiB"},
		{Name: "processor time to bring the view up to date", Value: update / 1000, Unit: "ms"},
		{Name: "processor time to take a load report into the view", Value: report, Unit: "µs"},
	}}, nil
}
