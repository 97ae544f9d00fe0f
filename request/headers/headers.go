// Package headers tells which headers of a message travel on to the next process.
package headers

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the headers that concern one connection only, or its framing.
var hopByHop = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsHopByHop tells whether a header, by its canonical name, never travels on.
func IsHopByHop(name string) bool { return slices.Contains(hopByHop, name) }

// EndToEnd returns a copy of a message's headers without those that concern one
// connection only, which are also those that Connection names, and without the
// framing.
func EndToEnd(from http.Header) http.Header {
	out := from.Clone()
	for _, field := range from["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// Size is the bytes of a request's line and headers, without separators.
func Size(r *http.Request) int64 {
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return int64(total)
}
