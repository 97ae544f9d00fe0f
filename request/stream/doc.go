// Package stream defines the messages between entries and agents, such as
// request and response heads, refusals and load reports, and relays streamed
// responses.
package stream
