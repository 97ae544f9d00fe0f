package link

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// readLoop reads messages and dispatches their frames until the link ends.
func (l *Link) readLoop() {
	for {
		message, err := l.transport.readMessage()
		if err != nil {
			l.fail(err)
			return
		}
		l.config.Counters.BytesReceived.Add(uint64(len(message)))
		if err := l.readFrames(message); err != nil {
			l.fail(err)
			return
		}
	}
}

func (l *Link) readFrames(message []byte) error {
	for len(message) > 0 {
		f, rest, err := decodeFrame(message, l.config.MaxFrameBytes)
		if err != nil {
			return err
		}
		message = rest
		l.config.Counters.FramesReceived.Add(1)
		l.observeVersion(f.Version)
		if err := l.dispatch(&f); err != nil {
			return err
		}
	}
	return nil
}

// observeVersion records the peer's configuration version and reports it if it has
// risen. It is called only on the reader goroutine, or before that goroutine starts.
func (l *Link) observeVersion(version uint64) {
	if version <= l.peerVersion.Load() {
		return
	}
	l.peerVersion.Store(version)
	l.config.OnPeerVersion(l.peer, version)
}

// dispatch handles one frame; an error ends the link.
func (l *Link) dispatch(f *frame) error {
	switch f.Kind {
	case frameOpen:
		l.acceptStream(f)
	case frameData, frameCredit, frameCancel, frameStop:
		l.deliverToStream(f)
	case framePing:
		l.putUrgent(&frame{Kind: framePong, Value: f.Value})
	case framePong:
		if !l.heartbeat.handlePong(f.Value, l.config.Clock.Now()) {
			l.config.Counters.LateFrames.Add(1)
		}
	case frameMessage:
		return l.deliverMessage(f)
	default:
		return &ProtocolError{Detail: "frame kind not valid on an open link"}
	}
	return nil
}

func (l *Link) deliverMessage(f *frame) error {
	if f.Value > uint64(^uint16(0)) {
		return &ProtocolError{Detail: "message kind out of range"}
	}
	l.config.Handler.ServeMessage(l.ctx, l, uint16(f.Value), f.Head)
	return nil
}

// deliverToStream passes a frame to the live stream that it names. A frame whose
// direction flag does not match the sending side is dropped.
func (l *Link) deliverToStream(f *frame) {
	fromOpener := f.has(flagFromOpener)
	l.streamsMu.Lock()
	s := l.streams[streamKey{f.Opener, f.Sequence}]
	l.streamsMu.Unlock()
	if s == nil || s.accepted != fromOpener {
		l.config.Counters.LateFrames.Add(1)
		return
	}
	switch f.Kind {
	case frameData:
		s.receive(f)
	case frameCredit:
		s.raiseSendLimit(f.Value)
	case frameCancel:
		s.handlePeerCancel(string(f.Body))
	case frameStop:
		s.handlePeerStop()
	}
}

// acceptStream handles an open frame of the peer.
func (l *Link) acceptStream(f *frame) {
	s, result := l.admit(f)
	switch result {
	case admitDuplicate:
		l.config.Counters.DuplicateFrames.Add(1)
	case admitStale:
		l.config.Counters.LateFrames.Add(1)
		l.refuse(f, "opened out of order")
	case admitTooMany:
		l.config.Counters.RefusedStreams.Add(1)
		l.refuse(f, "too many streams")
	case admitLinkEnded:
	case admitted:
		s.receive(f)
		if s.ended.Load() {
			l.releaseAccepted()
			return
		}
		l.startHandler(s)
	}
}

// acceptedStreamsFactor times MaxStreams is the limit on accepted streams. The
// opener counts a stream as closed at its terminal frames and may open the next
// one while the handler of the finished stream is still running, so the accepting
// side must allow more streams than MaxStreams.
const acceptedStreamsFactor = 2

type admitResult uint8

const (
	admitted admitResult = iota
	// admitDuplicate is an open frame for a live stream, or one that the peer
	// cannot have sent as the opener.
	admitDuplicate
	// admitStale is an open frame that arrived after one with a higher number, or
	// one for a stream that has ended. Serving it might run a request twice.
	admitStale
	admitTooMany
	admitLinkEnded
)

func (l *Link) admit(f *frame) (*Stream, admitResult) {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	key := streamKey{f.Opener, f.Sequence}
	hasLocalParity := f.Sequence%sequenceStep == l.parity()
	if f.Opener != l.peerIncarnationHash || hasLocalParity || !f.has(flagFromOpener) {
		return nil, admitDuplicate
	}
	if l.streams[key] != nil {
		return nil, admitDuplicate
	}
	if f.Sequence <= l.highestPeerSequence {
		return nil, admitStale
	}
	l.highestPeerSequence = f.Sequence
	if l.accepted >= acceptedStreamsFactor*l.config.MaxStreams {
		return nil, admitTooMany
	}
	if l.err != nil {
		return nil, admitLinkEnded
	}
	s := newStream(l, key, l.peer.Incarnation, true)
	l.streams[key] = s
	l.accepted++
	return s, admitted
}

// parity is the remainder modulo sequenceStep of the stream numbers of this side.
func (l *Link) parity() uint64 {
	if l.dialled {
		return 1
	}
	return 0
}

// refuse sends the cancellation of a stream that was not accepted.
func (l *Link) refuse(f *frame, reason string) {
	l.put(&frame{
		Kind:     frameCancel,
		Opener:   f.Opener,
		Sequence: f.Sequence,
		Body:     []byte(reason),
	})
}

// put queues a control frame after the data, without blocking. If the queue cannot
// take it, the link ends.
func (l *Link) put(f *frame) {
	if err := l.queue.put(f); err != nil {
		l.fail(err)
	}
}

// putUrgent queues a control frame ahead of the data, without blocking. If the queue
// cannot take it, the link ends.
func (l *Link) putUrgent(f *frame) {
	if err := l.queue.putUrgent(f); err != nil {
		l.fail(err)
	}
}

// runHandler runs the handler of an accepted stream. It is called on a worker
// goroutine.
func (l *Link) runHandler(s *Stream) {
	defer l.releaseAccepted()
	defer s.finishServing()
	defer l.endPanic()
	l.config.Handler.ServeStream(s.Context(), l, s)
}

// endPanic is deferred while the handler of a stream runs. A panic ends only its stream, whose
// peer learns that there is no response. Handlers of messages run without it: they change the
// state of protocols that must not continue from an unknown one.
func (l *Link) endPanic() {
	if cause := recover(); cause != nil {
		l.config.Logger.WithFields(logrus.Fields{
			"part": logPart, "peer": l.Peer().Name, "panic": fmt.Sprint(cause), "stack": string(debug.Stack()),
		}).Error("stream handler panicked; the stream is cancelled")
	}
}

// releaseAccepted removes one stream from the count of accepted streams.
func (l *Link) releaseAccepted() {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	l.accepted--
}

// register adds a stream that this side opens to the stream table.
func (l *Link) register(s *Stream) error {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	if l.err != nil {
		return &LinkLostError{Cause: l.err}
	}
	if l.opened >= l.peerMaxStreams {
		return &TooManyStreamsError{Limit: l.peerMaxStreams}
	}
	l.streams[s.key] = s
	l.opened++
	return nil
}

// remove deletes a stream from the stream table; its later frames are counted as
// late.
func (l *Link) remove(s *Stream) {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	if l.streams[s.key] != s {
		return
	}
	delete(l.streams, s.key)
	if !s.accepted {
		l.opened--
	}
}
