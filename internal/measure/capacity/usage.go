package capacity

import (
	"runtime"
	"syscall"
	"time"
)

const (
	bytesPerMiB = 1 << 20
	bytesPerKiB = 1 << 10
)

// cpuTime returns the user and system CPU time used by this process, or 0 if it is
// unavailable.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeapBytes returns the size of the heap after garbage collection.
func liveHeapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
