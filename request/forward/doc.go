// Package forward takes a caller's request to a target over HTTP/1.1 and brings
// the whole answer back, or one failure that says truly whether the request may
// have run.
//
// It serves platforms whose targets take requests themselves. Which target takes
// a request, and when, is decided by package dispatch; whether one is sent again,
// by the functions of decide.go, which know nothing of input and output.
package forward
