// Package direct sends requests to targets over HTTP/1.1. If a request fails, it
// reports whether the request may have run.
//
// It does not use http.Transport, because it must know which bytes of a request were
// sent and which bytes on a reused connection belong to a response: a target may
// respond to a request twice, truncate a response, or close an idle connection while
// a request is being sent.
//
// Lock order: no other lock is taken while Pool.mu is held.
package direct
