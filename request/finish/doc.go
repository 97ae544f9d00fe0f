// Package finish tells which requests a process has passed on and not finished, and decides
// whether one more can be finished before the process ends. It does no input or output; the clock
// is passed in.
//
// The load it is for: a process that is stopped while callers keep sending it quick and slow
// requests, over kept and new connections, until it is gone.
//
// Lock order: Guard.mu is a leaf lock.
package finish
