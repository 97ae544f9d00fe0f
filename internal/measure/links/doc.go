// Package links measures package link over loopback: the rate of small unary round
// trips, and the memory and goroutines of idle links and idle open streams.
package links
