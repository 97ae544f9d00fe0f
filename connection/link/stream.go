package link

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// StreamID identifies a stream among the streams of all processes.
type StreamID struct {
	// Incarnation is the incarnation of the process that opened the stream.
	Incarnation string
	// Sequence is the number of the stream in that incarnation.
	Sequence uint64
}

// Stream is one request with its response. One goroutine may read while another
// writes, and any goroutine may cancel.
type Stream struct {
	link     *Link
	id       StreamID
	key      streamKey
	accepted bool

	// writeMu serialises writers, including those that wait for space. It is locked
	// before mu.
	writeMu sync.Mutex

	// mu guards the fields below.
	mu  sync.Mutex
	in  inbound
	out outbound
	err error
	ctx context.Context
	// cancel ends ctx; nil until Context is called.
	cancel context.CancelCauseFunc

	// readable and writable hold a token when the state has changed for a reader or
	// a writer.
	readable, writable chan struct{}
	// done is closed, and ended set, when err is set.
	done  chan struct{}
	ended atomic.Bool
}

// inbound is the state of the direction from the peer.
type inbound struct {
	head    []byte
	hasHead bool
	// buffer holds received body bytes that have not been read.
	buffer []byte
	// received and consumed count body bytes; limit is the total that the peer may
	// send.
	received, consumed, limit uint64
	nextIndex                 uint64
	sum                       xxhash.Digest
	// terminal is set when a valid terminal frame has been received.
	terminal bool
	// discard is set when the remaining body bytes will not be read.
	discard bool
}

// outbound is the state of the direction to the peer.
type outbound struct {
	// sent counts body bytes; limit is the total that the peer allows.
	sent, limit uint64
	nextIndex   uint64
	sum         xxhash.Digest
	// terminal is set when the terminal frame has been queued.
	terminal bool
	// stopped is set when the peer reads no more.
	stopped bool
}

func newStream(l *Link, key streamKey, incarnation string, accepted bool) *Stream {
	s := &Stream{
		link:     l,
		id:       StreamID{Incarnation: incarnation, Sequence: key.sequence},
		key:      key,
		accepted: accepted,
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	s.in.limit = uint64(l.config.StreamWindowBytes)
	s.in.sum.Reset()
	s.out.limit = uint64(l.peerWindowBytes)
	s.out.sum.Reset()
	return s
}

// ID returns the identifier of the stream, unique among all processes.
func (s *Stream) ID() StreamID { return s.id }

// Link returns the link that carries the stream.
func (s *Stream) Link() *Link { return s.link }

// Context returns a context that ends when the stream fails, when either side
// cancels it, and when the handler of an accepted stream has returned.
func (s *Stream) Context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancelCause(context.Background())
		if s.err != nil {
			s.cancel(s.err)
		}
	}
	return s.ctx
}

// Cancel ends the stream on both sides; reads and writes fail with a
// CancelledError. It has no effect once both directions have ended and everything
// received has been read.
func (s *Stream) Cancel(reason string) {
	s.mu.Lock()
	finished := s.finishedLocked()
	unread := len(s.in.buffer) > 0
	s.mu.Unlock()
	cause := &CancelledError{Reason: reason}
	switch {
	case finished && !unread:
	case finished:
		s.fail(cause, dropUnread)
	default:
		s.abort(cause, dropUnread)
	}
}

// unreadPolicy selects whether body bytes received before a failure can still be
// read.
type unreadPolicy uint8

const (
	keepUnread unreadPolicy = iota
	dropUnread
)

// abort fails the stream and sends a cancellation to the peer.
func (s *Stream) abort(cause error, unread unreadPolicy) {
	if !s.fail(cause, unread) {
		return
	}
	f := s.controlFrame(frameCancel, 0)
	f.Body = []byte(cause.Error())
	s.link.put(f)
}

// fail ends the stream with cause. It returns false if the stream has failed
// before.
func (s *Stream) fail(cause error, unread unreadPolicy) bool {
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		return false
	}
	s.err = cause
	if unread == dropUnread {
		s.in.buffer = nil
		// Unread bytes are dropped, so a reader must not get io.EOF.
		s.in.terminal = false
	}
	cancel := s.cancel
	s.mu.Unlock()

	s.ended.Store(true)
	close(s.done)
	if cancel != nil {
		cancel(cause)
	}
	s.link.remove(s)
	s.link.queue.wakeWaiters()
	return true
}

// handlePeerCancel fails the stream after the peer has cancelled it.
func (s *Stream) handlePeerCancel(reason string) {
	s.fail(&CancelledError{Reason: reason, Remote: true}, keepUnread)
}

// finishServing ends an accepted stream after its handler has returned. It cancels the
// stream if the response is not complete. If it is, but the terminal frame of the
// request has not arrived, it tells the peer to stop sending.
func (s *Stream) finishServing() {
	s.mu.Lock()
	responded := s.out.terminal
	requestIncomplete := !s.in.terminal
	s.in.discard = true
	s.in.buffer = nil
	cancel := s.cancel
	failed := s.err != nil
	s.mu.Unlock()
	if failed {
		return
	}
	if !responded {
		s.abort(&CancelledError{Reason: "handler returned without an answer"}, dropUnread)
		return
	}
	s.link.remove(s)
	if requestIncomplete {
		s.link.put(s.controlFrame(frameStop, 0))
	}
	if cancel != nil {
		cancel(nil)
	}
}

func (s *Stream) controlFrame(kind frameKind, value uint64) *frame {
	return &frame{
		Kind:     kind,
		Flags:    s.directionFlag(),
		Opener:   s.key.opener,
		Sequence: s.key.sequence,
		Value:    value,
	}
}

// directionFlag returns flagFromOpener if this side opened the stream, else 0.
func (s *Stream) directionFlag() frameFlags {
	if s.accepted {
		return 0
	}
	return flagFromOpener
}

// finishedLocked reports whether both directions have ended: inbound with a
// terminal frame, outbound with one or by a stop of the peer.
func (s *Stream) finishedLocked() bool {
	return s.in.terminal && (s.out.terminal || s.out.stopped)
}

// notify puts a token into the channel unless it holds one.
func notify(token chan struct{}) {
	select {
	case token <- struct{}{}:
	default:
	}
}
