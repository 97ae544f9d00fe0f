// Package direct is the entry of a platform whose targets register themselves
// and take requests over HTTP/1.1: callers ask its directory where to connect,
// and it forwards their requests straight to targets. Any entry may serve any
// caller; what one knows may be lost at any moment.
package direct
