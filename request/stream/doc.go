// Package stream defines the messages of one request between an entry and an
// agent, such as typed heads, refusals and reports, and relays streamed
// responses.
package stream
