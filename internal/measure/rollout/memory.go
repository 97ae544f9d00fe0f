package rollout

import (
	"context"
	"runtime"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/table"
)

// memoryBoundMiB is the memory that a node may use for its control data, in MiB.
const memoryBoundMiB = 128

const bytesPerMiB = 1 << 20

// measureMemory measures the heap that the tables take at the planned size: the active
// version alone, and with four older versions that requests still use.
func measureMemory(context.Context) (measure.Result, error) {
	before := liveHeapMiB()
	snapshot, err := table.Compile(plannedSize.build())
	if err != nil {
		return measure.Result{}, err
	}
	active := liveHeapMiB() - before
	snapshots := []*table.Snapshot{snapshot}
	for _, delta := range deltaPerKind(snapshot.Table()) {
		newest := snapshots[len(snapshots)-1]
		delta.From, delta.To = newest.Version(), newest.Version()+1
		next, err := newest.Advance(delta)
		if err != nil {
			return measure.Result{}, err
		}
		snapshots = append(snapshots, next)
	}
	withOlder := liveHeapMiB() - before
	runtime.KeepAlive(snapshots)
	return measure.Result{Figures: []measure.Figure{
		{Name: "heap of the active tables, 42,000 organisations, 10,000 routes, 10,000 targets", Value: active, Unit: "MiB", Limit: measure.AtMost, Bound: memoryBoundMiB},
		{Name: "heap of the tables with four older versions in use, one change of each kind apart", Value: withOlder, Unit: "MiB", Limit: measure.AtMost, Bound: memoryBoundMiB},
	}}, nil
}

// liveHeapMiB returns the size of the heap after garbage collection, in MiB.
func liveHeapMiB() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / bytesPerMiB
}
