// Package retries measures package retry in a simulation with fixed seeds and virtual
// time: the number of attempts during an outage, the success rate while one of 15
// targets fails, and the effect of hedging on tail latency.
package retries
