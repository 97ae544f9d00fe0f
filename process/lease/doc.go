// Package lease elects a leader: at most one process at a time holds a named
// lease and with it the right to issue orders to engines.
//
// A lease is a row of the platform's table with a holder, an epoch and a time to
// live (TTL). The holder measures the TTL on its own monotonic clock from before
// it sent the write, and stops before the TTL has elapsed. Other processes take
// over only after they have seen the row unchanged for longer than the TTL. Clock
// rates may differ by ClockMargin.
//
// Clocks do not protect against a holder that is paused between its check and its
// order. Every order therefore carries the epoch as a fencing token, and Fence
// rejects epochs lower than the highest one seen, for engines that do not check
// this themselves.
package lease
