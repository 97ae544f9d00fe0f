// Package integrity tells the responses of peers that may be believed from those that may not. All
// clients of a peer use it: connection/direct and connection/link by its functions, and those that use
// net/http by a Transport.
//
// CheckHead and CheckFields reject heads and trailers that HTTP does not allow and net/http lets through.
//
// A response that has neither a length nor chunks ends with its connection. Conn reports the end of
// such a connection only if the peer has ended it in order. The kernel reports a reset once, to the
// read or to the write that runs at that time, so a read alone cannot tell.
//
// Lock order: no other lock is taken while a mutex of this package is held.
package integrity
