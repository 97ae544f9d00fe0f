// Package headers selects the header fields of a message that are forwarded to
// the next process.
package headers

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the canonical names of the header fields that apply to a
// single connection, or to its message framing.
var hopByHop = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsHopByHop reports whether the header field with this canonical name applies
// to a single connection or to message framing, and so is never forwarded.
func IsHopByHop(name string) bool { return slices.Contains(hopByHop, name) }

// EndToEnd returns a copy of a message's header without the fields that
// IsHopByHop reports and without those that its Connection field names.
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

// RequestSize returns the size in bytes of the request line and the header
// fields, excluding separators.
func RequestSize(r *http.Request) int64 {
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return int64(total)
}
