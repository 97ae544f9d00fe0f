// Package balance decides which target gets a request. It is for services whose requests
// come from many processes at once, each of which knows the loads of the others from
// reports that are up to some hundred milliseconds old: with 70 processes that report every
// 300 ms, processes that all choose the target with the least load send it whatever arrives
// between two reports, and the busiest of 72 targets has 1.66 times the mean load.
//
// It performs no I/O; the caller passes in loads, ages and randomness.
package balance
