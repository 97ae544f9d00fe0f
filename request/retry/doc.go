// Package retry decides when a request is sent again. Retries and hedges draw
// on one budget per pool, which each success refills by a fixed ratio. Deadlines
// bound the time, and targets that were tried, or are suspected of failing
// together with a tried one, are avoided.
//
// Session makes the decisions. It is deterministic: time and randomness are
// passed as arguments. Do drives a Session with a clock and runs the attempts.
package retry
