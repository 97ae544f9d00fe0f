// Package soak runs the programs of the users' platform as separate processes on loopback,
// with stand-ins of the store and the targets, and injects faults from outside them: signals,
// links that are delayed, reset or silenced by a proxy, faults of the store and of targets.
// While it does, callers send requests, and what they and the targets see is checked against
// promises.
//
// A Day, drawn from a seed, lists the faults; they come in series and overlap. The timing of
// processes differs between runs of the same day, so that a fault may show in some only.
//
// Lock order: system.mu, then records.mu; proxy.mu and process.mu are leaf locks.
package soak
