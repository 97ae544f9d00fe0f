package command

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap grow to five times the live heap before a collection: the
// daemons' live heap is small and requests produce much garbage.
const gcPercent = 400

// TuneGC sets the garbage collection target for a daemon, unless GOGC is set.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// LimitMemory sets the number of bytes that the runtime keeps to by collecting more often,
// unless GOMEMLIMIT is set.
func LimitMemory(bytes int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(bytes)
	}
}
