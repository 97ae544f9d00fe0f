// Package link connects two processes over one WebSocket. The WebSocket carries CBOR
// frames, which multiplex many streams and one-way messages in both directions.
//
// A stream is one request with its response. Each direction consists of a head
// (the encoded metadata), body bytes and a terminal frame that carries the byte
// count and a checksum; a reader sees io.EOF only after a terminal frame that
// matches. Every frame of a stream holds the number of the stream, its direction and
// its index in that direction. A late or duplicated frame is counted and dropped, and
// a missing or reordered one fails only its own stream.
//
// A link uses two goroutines. An open stream uses none, except for the handler of
// an accepted stream.
//
// Lock order: Link.openMu, Stream.writeMu, Stream.mu, then Link.streamsMu or
// sendQueue.mu, which are never held together. No other lock is taken while
// heartbeat.mu or Acceptor.mu is held.
package link
