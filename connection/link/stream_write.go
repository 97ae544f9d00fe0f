package link

import "context"

// dataChunkBytes is the maximum number of body bytes in a frame. It is kept small
// so that streams share a link evenly.
const dataChunkBytes = 32 << 10

// Open opens a stream and sends its head and first body bytes; fin means that body
// is complete. A small request is one frame. Open blocks while the send queue is
// full, and on flow control if body is larger than the window. If head is nil, none
// is sent.
func (l *Link) Open(ctx context.Context, head any, body []byte, fin bool) (*Stream, error) {
	encoded, err := l.encodeHead(head)
	if err != nil {
		return nil, err
	}
	first := frame{Kind: frameOpen, Flags: flagFromOpener}
	if head != nil {
		first.Flags |= flagHead
		first.Head = encoded
	}
	s, rest, err := l.sendOpenFrame(ctx, &first, body, fin)
	if err != nil {
		return nil, err
	}
	if len(rest) == 0 {
		return s, nil
	}
	stop := context.AfterFunc(ctx, func() { s.Cancel("the opening was cancelled") })
	defer stop()
	if err := s.sendRemainder(rest, fin); err != nil {
		return nil, err
	}
	return s, nil
}

func (l *Link) encodeHead(head any) ([]byte, error) {
	if head == nil {
		return nil, nil
	}
	encoded, err := Marshal(head)
	if err != nil {
		return nil, err
	}
	if size := frameOverheadBytes + len(encoded); size > l.peerMaxFrameBytes {
		return nil, &FrameTooLargeError{Bytes: size, Limit: l.peerMaxFrameBytes}
	}
	return encoded, nil
}

// sendOpenFrame opens a stream and queues its open frame. It blocks while the queue is
// full, and returns the body bytes that did not fit.
func (l *Link) sendOpenFrame(ctx context.Context, first *frame, body []byte, fin bool) (*Stream, []byte, error) {
	for {
		s, rest, err := l.tryOpen(first, body, fin)
		if s != nil || err != nil {
			return s, rest, err
		}
		l.queue.waitForSpace(ctx, func() bool { return false })
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
	}
}

// tryOpen registers a new stream and queues its open frame without blocking. It returns
// the body bytes that did not fit. The stream is nil if the queue is full.
func (l *Link) tryOpen(first *frame, body []byte, fin bool) (*Stream, []byte, error) {
	l.openMu.Lock()
	defer l.openMu.Unlock()
	sequence := sequenceStep*processSequence.Add(1) + l.parity()
	key := streamKey{opener: l.localIncarnationHash, sequence: sequence}
	s := newStream(l, key, l.config.Identity.Incarnation, false)
	if err := l.register(s); err != nil {
		return nil, nil, err
	}
	sent, ok, err := s.trySend(first, body, fin)
	if err != nil || !ok {
		l.remove(s)
		return nil, nil, err
	}
	return s, body[sent:], nil
}

// SendHead sends the head of this side's direction and the first body bytes, in one
// frame if they are small; fin means that body is complete.
func (s *Stream) SendHead(head any, body []byte, fin bool) error {
	encoded, err := s.link.encodeHead(head)
	if err != nil {
		return err
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	first := frame{Kind: frameData, Flags: s.directionFlag()}
	if head != nil {
		first.Flags |= flagHead
		first.Head = encoded
	}
	rest, err := s.sendLocked(&first, body, fin)
	if err != nil {
		return err
	}
	_, err = s.writeLocked(rest, fin && len(rest) > 0)
	return err
}

// Write sends body bytes. It blocks until the stream's window and the link's send
// queue have space, and fails when the stream ends.
func (s *Stream) Write(p []byte) (int, error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return s.writeLocked(p, false)
}

// CloseWrite sends the terminal frame, which completes this direction.
func (s *Stream) CloseWrite() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, err := s.writeLocked(nil, true)
	return err
}

// sendRemainder sends the body bytes that did not fit into the open frame. It
// ignores ErrPeerStoppedReading: a peer that stops reading has already responded, and
// the opener should see that response instead of the error.
func (s *Stream) sendRemainder(rest []byte, fin bool) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, err := s.writeLocked(rest, fin)
	if err == ErrPeerStoppedReading {
		return nil
	}
	return err
}

// writeLocked sends p, and with fin the terminal frame. writeMu must be held.
func (s *Stream) writeLocked(p []byte, fin bool) (int, error) {
	total := len(p)
	for len(p) > 0 || fin {
		f := frame{Kind: frameData, Flags: s.directionFlag()}
		rest, err := s.sendLocked(&f, p, fin)
		if err != nil {
			return total - len(p), err
		}
		if len(rest) == 0 {
			return total, nil
		}
		p = rest
	}
	return total, nil
}

// sendLocked sends one frame and returns the body bytes that did not fit. It blocks
// until the send queue has space and, unless the frame has a head, until the window
// has. writeMu must be held.
func (s *Stream) sendLocked(f *frame, body []byte, fin bool) ([]byte, error) {
	for {
		if !f.has(flagHead) && len(body) > 0 {
			if err := s.waitForWindow(); err != nil {
				return body, err
			}
		}
		sent, ok, err := s.trySend(f, body, fin)
		if err != nil {
			return body, err
		}
		if ok {
			return body[sent:], nil
		}
		s.link.queue.waitForSpace(context.Background(), s.ended.Load)
	}
}

// waitForWindow blocks until the window allows at least one body byte.
func (s *Stream) waitForWindow() error {
	for {
		s.mu.Lock()
		windowOpen := s.out.limit > s.out.sent
		err := s.writeErrorLocked()
		s.mu.Unlock()
		if err != nil || windowOpen {
			return err
		}
		select {
		case <-s.writable:
		case <-s.done:
		}
	}
}

// writeErrorLocked returns why no frame can be written, nil if one can.
func (s *Stream) writeErrorLocked() error {
	switch {
	case s.err != nil:
		return s.err
	case s.out.stopped:
		return ErrPeerStoppedReading
	case s.out.terminal:
		return ErrWriteClosed
	default:
		return nil
	}
}

// trySend queues f with as much of body as the window and the frame size allow. f
// becomes the terminal frame if fin is set and all of body fits. ok is false if the
// queue is full.
func (s *Stream) trySend(f *frame, body []byte, fin bool) (sent int, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeErrorLocked(); err != nil {
		return 0, false, err
	}
	out := &s.out
	sent = min(len(body), dataChunkBytes, int(out.limit-out.sent))
	sent = min(sent, s.link.peerMaxFrameBytes-frameOverheadBytes-len(f.Head))
	next := *out
	next.nextIndex++
	next.sent += uint64(sent)
	_, _ = next.sum.Write(f.Head)
	_, _ = next.sum.Write(body[:sent])
	f.Opener, f.Sequence, f.Index = s.key.opener, s.key.sequence, out.nextIndex
	f.Body = body[:sent]
	if fin && sent == len(body) {
		next.terminal = true
		f.Flags |= flagTerminal
		f.Value = next.sent
		f.Sum = next.sum.Sum64()
	}
	if ok, err = s.link.queue.tryPut(f); err != nil {
		return 0, false, s.link.lostError(err)
	}
	if !ok {
		return 0, false, nil
	}
	*out = next
	if s.finishedLocked() {
		s.link.remove(s)
	}
	return sent, true, nil
}

// raiseSendLimit applies a credit of the peer. The limit never falls, so a late credit
// has no effect.
func (s *Stream) raiseSendLimit(limit uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= s.out.limit {
		return
	}
	s.out.limit = min(limit, s.out.sent+maxWindowBytes)
	notify(s.writable)
}

// handlePeerStop ends the outbound direction without a terminal frame.
func (s *Stream) handlePeerStop() {
	s.mu.Lock()
	s.out.stopped = true
	finished := s.finishedLocked()
	s.mu.Unlock()
	if finished {
		s.link.remove(s)
	}
	notify(s.writable)
	s.link.queue.wakeWaiters()
}
