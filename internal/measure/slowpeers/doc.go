// Package slowpeers measures the memory and the latency of an entry while many callers read
// slowly and many large bodies arrive at once.
package slowpeers
