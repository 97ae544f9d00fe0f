package rollout

import (
	"context"
	"runtime"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/table"
)

// memoryBoundMB is the memory that a node may use for its control data, in MB.
const memoryBoundMB = 128

const bytesPerMB = 1 << 20

// measureMemory measures the heap that the tables take at the target size: the active
// version alone, and with four older versions that requests still use.
func measureMemory(context.Context) (measure.Result, error) {
	before := heapInUse()
	snapshot, err := table.Compile(targetSize.build())
	if err != nil {
		return measure.Result{}, err
	}
	active := heapInUse() - before
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
	withOlder := heapInUse() - before
	runtime.KeepAlive(snapshots)
	return measure.Result{Figures: []measure.Figure{
		{Name: "heap of the active tables, 42,000 organisations, 10,000 routes, 10,000 targets", Value: active, Unit: "MB", Limit: measure.AtMost, Bound: memoryBoundMB},
		{Name: "heap of the tables with four older versions in use, one change of each kind apart", Value: withOlder, Unit: "MB", Limit: measure.AtMost, Bound: memoryBoundMB},
	}}, nil
}

// heapInUse returns the live heap in MB.
func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / bytesPerMB
}
