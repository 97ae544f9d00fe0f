package link

import (
	"context"
	"io"
)

// DecodeHead decodes the head sent by the peer. It returns ErrNoHead if no head has
// been received. On the accepting side the head arrives with the stream.
func (s *Stream) DecodeHead(v any) error {
	s.mu.Lock()
	head, present := s.in.head, s.in.hasHead
	s.mu.Unlock()
	if !present {
		return ErrNoHead
	}
	return Unmarshal(head, v)
}

// ReceiveHead waits for the head sent by the peer and decodes it into v.
func (s *Stream) ReceiveHead(ctx context.Context, v any) error {
	for {
		state, err := s.headState()
		switch state {
		case headPresent:
			return s.DecodeHead(v)
		case headFailed:
			return err
		}
		select {
		case <-s.readable:
		case <-s.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type headState uint8

const (
	headPending headState = iota
	headPresent
	headFailed
)

func (s *Stream) headState() (headState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.in.hasHead:
		return headPresent, nil
	case s.err != nil:
		return headFailed, s.err
	case s.in.nextIndex > 0:
		return headFailed, ErrNoHead
	default:
		return headPending, nil
	}
}

// Read reads body bytes sent by the peer. It returns io.EOF only after a terminal
// frame whose byte count and checksum match. If the stream fails, Read returns an
// error of a type of this package, but first the bytes received before the failure,
// unless this side cancelled the stream.
func (s *Stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		n, credit, err := s.readBuffered(p)
		if credit > 0 {
			s.link.putUrgent(s.controlFrame(frameCredit, credit))
		}
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-s.readable:
		case <-s.done:
		}
	}
}

// readBuffered copies buffered bytes without blocking. credit is the new limit to
// send to the peer, or 0 for none.
func (s *Stream) readBuffered(p []byte) (n int, credit uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.in.buffer) == 0 {
		switch {
		case s.in.terminal:
			return 0, 0, io.EOF
		case s.err != nil:
			return 0, 0, s.err
		default:
			return 0, 0, nil
		}
	}
	n = copy(p, s.in.buffer)
	s.in.consumed += uint64(n)
	s.in.buffer = s.in.buffer[n:]
	if len(s.in.buffer) == 0 {
		s.in.buffer = nil
	}
	return n, s.creditLocked(), nil
}

// creditLocked raises the limit of the peer once half of the window is consumed,
// and returns the new limit, or 0 if it is unchanged.
func (s *Stream) creditLocked() uint64 {
	window := uint64(s.link.config.StreamWindowBytes)
	next := s.in.consumed + window
	if s.in.terminal || s.err != nil || next-s.in.limit < window/2 {
		return 0
	}
	s.in.limit = next
	return next
}

// receive handles a data or open frame on the link's reader goroutine.
func (s *Stream) receive(f *frame) {
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		s.link.config.Counters.LateFrames.Add(1)
		return
	}
	if f.Index < s.in.nextIndex || s.in.terminal {
		s.mu.Unlock()
		s.link.config.Counters.DuplicateFrames.Add(1)
		return
	}
	err := s.applyFrameLocked(f)
	finished := err == nil && s.finishedLocked()
	s.mu.Unlock()
	if err != nil {
		s.link.config.Counters.BrokenStreams.Add(1)
		s.abort(err, keepUnread)
		return
	}
	if finished {
		s.link.remove(s)
	}
	notify(s.readable)
}

// applyFrameLocked validates a frame against the state of its direction and stores
// its contents.
func (s *Stream) applyFrameLocked(f *frame) error {
	in := &s.in
	if f.Index != in.nextIndex {
		return &IncompleteError{Want: in.nextIndex, Got: f.Index, FramesMissing: true}
	}
	if f.has(flagHead) && f.Index != 0 {
		return &ProtocolError{Detail: "head after the first frame"}
	}
	if in.received+uint64(len(f.Body)) > in.limit {
		return &FlowControlError{Window: s.link.config.StreamWindowBytes}
	}
	in.nextIndex++
	if f.has(flagHead) {
		in.head, in.hasHead = f.Head, true
		_, _ = in.sum.Write(f.Head)
	}
	in.received += uint64(len(f.Body))
	_, _ = in.sum.Write(f.Body)
	if f.has(flagTerminal) {
		if err := in.verify(f); err != nil {
			return err
		}
		in.terminal = true
	}
	in.store(f.Body)
	return nil
}

// verify compares the byte count and checksum of a terminal frame with those of
// the received bytes.
func (in *inbound) verify(f *frame) error {
	if f.Value != in.received {
		return &IncompleteError{Want: f.Value, Got: in.received}
	}
	if sum := in.sum.Sum64(); f.Sum != sum {
		return &ChecksumError{Want: f.Sum, Got: sum}
	}
	return nil
}

func (in *inbound) store(body []byte) {
	switch {
	case in.discard || len(body) == 0:
	case len(in.buffer) == 0:
		in.buffer = body
	default:
		in.buffer = append(in.buffer, body...)
	}
}
