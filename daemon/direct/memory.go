package direct

import "verbenaseam.example/verbenaseam/process/memory"

const (
	bytesPerMegabyte = 1e6
	// heldShare is the share of the host's memory that may be held for requests, runtimeShare
	// the share to which the runtime keeps by collecting more often. The rest is for garbage
	// that is not yet collected, the program itself (20 MB) and the kernel's socket buffers.
	heldShare    = 0.4
	runtimeShare = 0.6
)

// newAccount returns the account of held bytes on a host with the given memory in megabytes;
// nil if that is not known.
func newAccount(megabytes float64) *memory.Account {
	return memory.NewAccount(int64(heldShare * megabytes * bytesPerMegabyte))
}

// runtimeBytes returns the memory limit of the runtime.
func runtimeBytes(megabytes float64) int64 { return int64(runtimeShare * megabytes * bytesPerMegabyte) }
