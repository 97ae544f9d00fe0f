// Package load compares policies by simulation of targets under load. The model
// consists of an event loop with a fake clock and seeded randomness, engines with
// slots, a prefill queue, a prefix cache and a cold start, and, in front of them, the
// gates, queues and pickers that the product itself uses. It serves only the studies
// in this package and is no general cluster simulator; it does not use a network.
package load
