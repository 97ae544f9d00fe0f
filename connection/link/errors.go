package link

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrClosed means that this side closed the link.
var ErrClosed = eris.New("link closed")

// ErrWriteClosed is returned by a write after the terminal frame.
var ErrWriteClosed = eris.New("stream closed for writing")

// ErrPeerStoppedReading means that the peer has finished its response and reads no
// more body bytes. The response can still be read.
var ErrPeerStoppedReading = eris.New("peer stopped reading the stream")

// ErrNoHead means that the peer's first frame of a stream carries no head, or that
// the head has not arrived yet.
var ErrNoHead = eris.New("stream has no head")

// ErrSendQueueFull means that a one-way message was dropped because the peer reads
// too slowly.
var ErrSendQueueFull = eris.New("send queue full")

// LinkLostError means that the link ended while a stream was open. It is not known
// what the peer did with the stream.
type LinkLostError struct {
	// Cause is why the link ended.
	Cause error
}

// Error implements error.
func (e *LinkLostError) Error() string { return "link lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LinkLostError) Unwrap() error { return e.Cause }

// CancelledError means that one side cancelled the stream.
type CancelledError struct {
	// Reason is the reason given by the side that cancelled.
	Reason string
	// Remote is set if the peer cancelled.
	Remote bool
}

// Error implements error.
func (e *CancelledError) Error() string {
	if e.Remote {
		return "stream cancelled by peer: " + e.Reason
	}
	return "stream cancelled: " + e.Reason
}

// IncompleteError means that frames of the stream are missing, or that the byte
// count in the terminal frame differs from the number of bytes received.
type IncompleteError struct {
	// Want and Got are frame indexes if FramesMissing is set, else byte counts.
	Want, Got     uint64
	FramesMissing bool
}

// Error implements error.
func (e *IncompleteError) Error() string {
	unit := "bytes"
	if e.FramesMissing {
		unit = "frame index"
	}
	return fmt.Sprintf("stream incomplete: %s %d, want %d", unit, e.Got, e.Want)
}

// ChecksumError means that the checksum of the bytes received differs from the one
// that the terminal frame carries.
type ChecksumError struct {
	Want, Got uint64
}

// Error implements error.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("stream checksum %x, want %x", e.Got, e.Want)
}

// FlowControlError means that the peer sent more than the flow-control window
// allows.
type FlowControlError struct {
	// Window is the size of the window in bytes.
	Window int
}

// Error implements error.
func (e *FlowControlError) Error() string {
	return fmt.Sprintf("peer sent past the stream window of %d bytes", e.Window)
}

// FrameTooLargeError means that a frame, received or to be sent, exceeds the limit.
type FrameTooLargeError struct {
	// Bytes is the size of a received frame, or an upper bound of the size of a frame
	// to be sent. Limit is the maximum.
	Bytes, Limit int
}

// Error implements error.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// ProtocolError means that the peer sent an invalid frame, or a frame that is not
// allowed in the current state.
type ProtocolError struct {
	// Detail describes the violation.
	Detail string
	// Cause is the decoder's error; nil if there is none.
	Cause error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	if e.Cause == nil {
		return "link protocol: " + e.Detail
	}
	return "link protocol: " + e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// EncodeError means that a frame, head or message body cannot be encoded as CBOR.
type EncodeError struct {
	Cause error
}

// Error implements error.
func (e *EncodeError) Error() string { return "CBOR encoding failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// HeartbeatTimeoutError means that the peer did not answer a ping in time.
type HeartbeatTimeoutError struct {
	// PingAge is the time since the unanswered ping was sent.
	PingAge time.Duration
}

// Error implements error.
func (e *HeartbeatTimeoutError) Error() string {
	return "peer has not answered a ping for " + e.PingAge.String()
}

// TransportError means that the connection failed.
type TransportError struct {
	// Operation is "dial", "accept", "read" or "write".
	Operation string
	Cause     error
}

// Error implements error.
func (e *TransportError) Error() string { return e.Operation + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// TooManyStreamsError means that the link already has as many open streams as the
// peer allows.
type TooManyStreamsError struct {
	Limit int
}

// Error implements error.
func (e *TooManyStreamsError) Error() string {
	return fmt.Sprintf("limit of %d open streams on the link reached", e.Limit)
}

// ControlQueueFullError means that the space for queued control frames is used up,
// because the peer sends frames that need a reply but does not read the replies.
type ControlQueueFullError struct {
	// Limit is the maximum in bytes.
	Limit int
}

// Error implements error.
func (e *ControlQueueFullError) Error() string {
	return fmt.Sprintf("more than %d bytes of control frames queued", e.Limit)
}

// PlaintextRefusedError means that plaintext TCP was refused: the peer is not on
// loopback, or this process requires TLS.
type PlaintextRefusedError struct {
	Address string
}

// Error implements error.
func (e *PlaintextRefusedError) Error() string {
	return "plaintext TCP with " + e.Address + " not allowed"
}

// IdentityError means that the name of a peer differs from Config.ExpectedPeerName or
// is not in the peer's certificate.
type IdentityError struct {
	// Claimed is the name in the hello; Want describes the expected name.
	Claimed, Want string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer claims name %q, want %s", e.Claimed, e.Want)
}
