// Package direct sends requests to targets over HTTP/1.1 and tells of each
// whether it ran, may have run, or did not.
//
// It writes and reads the messages itself, over connections that it keeps, since
// it must know which bytes of a request went out and which bytes on a kept
// connection belong to an answer: a target may answer a request twice, cut an
// answer off, or close a kept connection as a request is sent.
//
// Lock order: Pool.mu is a leaf.
package direct
