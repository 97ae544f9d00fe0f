package link

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const modelWindowBytes = 512

// modelEnd is one end of a link that the model drives step by step. No goroutine
// runs, and frames are transmitted and delivered only by the model.
type modelEnd struct {
	link *Link
	peer *modelEnd
	// inFlight holds the frames that this end has sent and the peer has not
	// received, delivered holds those that the peer has received.
	inFlight, delivered []frame
	// accepted holds the streams that the peer opened.
	accepted map[StreamID]*modelStream
}

// modelStream records what one side wrote to and read from a stream.
type modelStream struct {
	stream  *Stream
	other   *modelStream
	written []byte
	closed  bool
	read    []byte
	err     error
}

// modelNetwork is an entry with links to two agents.
type modelNetwork struct {
	ends   []*modelEnd
	opened map[StreamID]*modelStream
	all    []*modelStream
	// corrupted holds the streams in which a byte was corrupted.
	corrupted map[streamKey]bool
	pattern   byte
}

func newModelNetwork() *modelNetwork {
	n := &modelNetwork{opened: map[StreamID]*modelStream{}, corrupted: map[streamKey]bool{}}
	for _, agent := range []string{"agent-a", "agent-b"} {
		entryConfig, agentConfig := testConfig("entry", nil), testConfig(agent, nil)
		entryConfig.StreamWindowBytes = modelWindowBytes
		agentConfig.StreamWindowBytes = modelWindowBytes
		entryEnd := n.newEnd(entryConfig, agentConfig, true)
		agentEnd := n.newEnd(agentConfig, entryConfig, false)
		entryEnd.peer, agentEnd.peer = agentEnd, entryEnd
		n.ends = append(n.ends, entryEnd, agentEnd)
	}
	return n
}

func (n *modelNetwork) newEnd(own, peer Config, dialled bool) *modelEnd {
	transport, _ := newPipe()
	e := &modelEnd{accepted: map[StreamID]*modelStream{}}
	e.link = newLink(own.withDefaults(), transport, helloOf(peer), dialled)
	e.link.startHandler = func(s *Stream) { n.accept(e, s) }
	return e
}

func (n *modelNetwork) accept(e *modelEnd, s *Stream) {
	if s.Context().Err() != nil {
		panic("accepted a broken stream")
	}
	opener := n.opened[s.ID()]
	if opener == nil {
		panic("accepted a stream that was not opened")
	}
	if e.accepted[s.ID()] != nil {
		panic("accepted a stream twice")
	}
	m := &modelStream{stream: s, other: opener}
	if opener.stream.link.peer.Name == e.link.config.Identity.Name {
		opener.other = m
	}
	e.accepted[s.ID()] = m
	n.all = append(n.all, m)
}

func (n *modelNetwork) body(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		n.pattern += 7
		body[i] = n.pattern
	}
	return body
}

func (n *modelNetwork) open(e *modelEnd, size int, fin bool) {
	body := n.body(size)
	first := frame{Kind: frameOpen, Flags: flagFromOpener | flagHead, Head: []byte{0x01}}
	s, rest, err := e.link.tryOpen(&first, body, fin)
	if err != nil || s == nil {
		return
	}
	m := &modelStream{stream: s, written: body[:len(body)-len(rest)], closed: fin && len(rest) == 0}
	n.opened[s.ID()] = m
	n.all = append(n.all, m)
}

func (n *modelNetwork) write(m *modelStream, size int, fin bool) {
	body := n.body(size)
	f := frame{Kind: frameData, Flags: m.stream.directionFlag()}
	sent, ok, err := m.stream.trySend(&f, body, fin)
	if !ok || err != nil {
		return
	}
	m.written = append(m.written, body[:sent]...)
	m.closed = fin && sent == size
}

// read reads buffered bytes and compares them with what the other side wrote. It
// returns true if there were any.
func (n *modelNetwork) read(t require.TestingT, m *modelStream, size int) bool {
	if m.err != nil {
		return false
	}
	buffer := make([]byte, size)
	got, credit, err := m.stream.readBuffered(buffer)
	if credit > 0 {
		m.stream.link.putUrgent(m.stream.controlFrame(frameCredit, credit))
	}
	m.read = append(m.read, buffer[:got]...)
	m.err = err
	require.LessOrEqual(t, len(m.stream.in.buffer), modelWindowBytes)
	if m.other == nil {
		require.Empty(t, m.read)
		require.NotErrorIs(t, err, io.EOF)
		return got > 0
	}
	if err == io.EOF {
		require.True(t, m.other.closed, "end without a terminal frame")
		require.True(t, bytes.Equal(m.other.written, m.read), "%x %x", m.other.written, m.read)
	} else if !n.corrupted[m.stream.key] {
		require.True(t, bytes.HasPrefix(m.other.written, m.read))
	}
	if err != nil && err != io.EOF {
		require.True(t, isStreamError(err), "%v", err)
	}
	return got > 0
}

// isStreamError reports whether err is one of the error types of a failed stream.
func isStreamError(err error) bool {
	var incomplete *IncompleteError
	var cancelled *CancelledError
	var lost *LinkLostError
	var checksum *ChecksumError
	var flow *FlowControlError
	var protocol *ProtocolError
	return errors.As(err, &incomplete) || errors.As(err, &cancelled) || errors.As(err, &lost) ||
		errors.As(err, &checksum) || errors.As(err, &flow) || errors.As(err, &protocol)
}

// transmit moves the frames in the send queue of an end to its inFlight frames.
func (n *modelNetwork) transmit(t require.TestingT, e *modelEnd) {
	batches, _ := e.link.queue.take(nil)
	for _, batch := range batches {
		for rest := batch.Bytes(); len(rest) > 0; {
			f, after, err := decodeFrame(rest, DefaultMaxFrameBytes)
			require.NoError(t, err)
			e.inFlight = append(e.inFlight, f)
			rest = after
		}
	}
}

// deliver passes a frame to an end as one message.
func (n *modelNetwork) deliver(t require.TestingT, to *modelEnd, f frame) {
	var message bytes.Buffer
	require.NoError(t, appendFrame(&message, &f))
	require.NoError(t, to.link.readFrames(message.Bytes()))
}

// settle transmits, delivers and reads until nothing is left to do.
func (n *modelNetwork) settle(t require.TestingT) {
	for moved := true; moved; {
		moved = false
		for _, e := range n.ends {
			n.transmit(t, e)
			moved = n.deliverInFlight(t, e, len(e.inFlight)) || moved
		}
		for _, m := range n.all {
			moved = n.read(t, m, modelWindowBytes) || moved
		}
	}
}

// deliverInFlight delivers the first count inFlight frames of an end. It returns true if
// there were any.
func (n *modelNetwork) deliverInFlight(t require.TestingT, e *modelEnd, count int) bool {
	frames := e.inFlight[:count]
	e.inFlight = e.inFlight[count:]
	for _, f := range frames {
		n.deliver(t, e.peer, f)
	}
	e.delivered = append(e.delivered, frames...)
	return count > 0
}

// harmlessFaults only add frames and must not fail a stream. harmfulFaults may fail
// streams.
var (
	harmlessFaults = []string{"duplicate", "replay", "reflect"}
	harmfulFaults  = []string{"drop", "reorder", "misroute", "corrupt", "disconnect", "cancel", "replay", "duplicate"}
)

// injectFault applies a fault of the network or of a process to one frame.
func (n *modelNetwork) injectFault(t *rapid.T, e *modelEnd, kind string) {
	pick := func(frames []frame) int { return rapid.IntRange(0, len(frames)-1).Draw(t, "frame") }
	if kind == "replay" && len(e.delivered) > 0 {
		n.deliver(t, e.peer, e.delivered[pick(e.delivered)])
		return
	}
	if len(e.inFlight) == 0 {
		return
	}
	at := pick(e.inFlight)
	f := e.inFlight[at]
	without := append(append([]frame(nil), e.inFlight[:at]...), e.inFlight[at+1:]...)
	switch kind {
	case "drop":
		e.inFlight = without
	case "duplicate":
		// The copy is delivered after the frame itself and all earlier ones;
		// delivered sooner, it would be a reordering.
		n.deliverInFlight(t, e, at+1)
		n.deliver(t, e.peer, f)
	case "reorder":
		e.inFlight = without
		n.deliver(t, e.peer, f)
	case "reflect":
		n.deliver(t, e, f)
	case "misroute":
		n.deliver(t, n.misroutedEnd(e), f)
	case "corrupt":
		if len(f.Body) > 0 && f.Kind != frameCancel {
			n.corrupted[streamKey{f.Opener, f.Sequence}] = true
			e.inFlight[at].Body = append([]byte{f.Body[0] + 1}, f.Body[1:]...)
		}
	case "disconnect":
		e.inFlight = e.inFlight[:at]
		e.link.fail(ErrClosed)
		e.peer.link.fail(ErrClosed)
	}
}

// misroutedEnd returns the end that corresponds to the peer of e on the other link.
func (n *modelNetwork) misroutedEnd(e *modelEnd) *modelEnd {
	at := slices.Index(n.ends, e.peer)
	return n.ends[(at+len(n.ends)/2)%len(n.ends)]
}

// step performs one random action.
func (n *modelNetwork) step(t *rapid.T, faults []string) {
	e := n.ends[rapid.IntRange(0, len(n.ends)-1).Draw(t, "end")]
	action := rapid.SampledFrom(modelActions).Draw(t, "action")
	size := rapid.IntRange(0, modelWindowBytes*3/2).Draw(t, "size")
	if action == "open" || len(n.all) == 0 {
		n.open(e, size, rapid.Bool().Draw(t, "fin"))
		return
	}
	// Only the newest 4 streams are chosen, so that some get enough actions to
	// complete.
	back := rapid.IntRange(0, min(len(n.all)-1, 3)).Draw(t, "back")
	m := n.all[len(n.all)-1-back]
	switch action {
	case "write":
		n.write(m, size, rapid.Bool().Draw(t, "fin"))
	case "read":
		n.read(t, m, size+1)
	case "transmit":
		n.transmit(t, e)
	case "deliver":
		n.deliverInFlight(t, e, rapid.IntRange(0, len(e.inFlight)).Draw(t, "count"))
	case "settle":
		n.settle(t)
	case "fault":
		if len(faults) > 0 {
			kind := rapid.SampledFrom(faults).Draw(t, "fault")
			if kind == "cancel" {
				m.stream.Cancel("test")
				return
			}
			n.injectFault(t, e, kind)
		}
	}
}

var modelActions = []string{
	"open", "write", "write", "write", "read", "transmit", "transmit", "transmit", "deliver", "settle", "fault", "fault",
}

// TestStreamModel drives two links by random actions and faults. Under any fault, a
// reader must get the bytes that the other side of the same stream wrote, and io.EOF
// only after all of them, or one of the error types of a failed stream. Without
// faults, or with faults that only add frames, every stream that was closed must be
// read to io.EOF.
func TestStreamModel(t *testing.T) {
	cases := []struct {
		desc     string
		faults   []string
		complete bool
	}{
		{"no faults", nil, true},
		{"repeated frames", harmlessFaults, true},
		{"any fault", harmfulFaults, false},
	}
	for _, c := range cases {
		t.Run(c.desc, rapid.MakeCheck(func(t *rapid.T) {
			n := newModelNetwork()
			for range rapid.IntRange(20, 300).Draw(t, "steps") {
				n.step(t, c.faults)
			}
			n.settle(t)
			if c.complete {
				n.requireComplete(t)
			}
		}))
	}
}

func (n *modelNetwork) requireComplete(t require.TestingT) {
	for _, m := range n.all {
		require.NotNil(t, m.other)
		require.True(t, bytes.Equal(m.other.written, m.read), "%x %x", m.other.written, m.read)
		require.Equal(t, m.other.closed, m.err == io.EOF, "%v", m.err)
	}
}
