package link

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

func encodeFrames(t testing.TB, frames ...frame) []byte {
	var message bytes.Buffer
	for i := range frames {
		require.NoError(t, appendFrame(&message, &frames[i]))
	}
	return message.Bytes()
}

// FuzzReadFrames feeds arbitrary messages to an open link. The link must not
// panic or exceed its buffer and stream limits, and every error must be a
// ProtocolError or a FrameTooLargeError.
func FuzzReadFrames(f *testing.F) {
	open := frame{Kind: frameOpen, Flags: flagFromOpener | flagHead | flagTerminal, Opener: incarnationHash("agent-1"), Sequence: 2, Head: []byte{1}}
	f.Add(encodeFrames(f, open, open))
	f.Add(encodeFrames(f, frame{Kind: framePing, Value: 9}, frame{Kind: framePong, Value: 1}))
	f.Add(encodeFrames(f, frame{Kind: frameMessage, Value: 1 << 20}))
	f.Add(encodeFrames(f, frame{Kind: frameData, Body: make([]byte, 2000)}, frame{Kind: frameCredit, Value: 1 << 63}))
	f.Add([]byte{0x8a, 0x01, 0x9f})
	f.Fuzz(func(t *testing.T, message []byte) {
		config := testConfig("entry", nil).withDefaults()
		config.StreamWindowBytes = modelWindowBytes
		transport, _ := newPipe()
		l := newLink(config, transport, helloOf(testConfig("agent", nil)), true)
		l.startHandler = func(*Stream) {}
		s, err := l.Open(t.Context(), nil, nil, true)
		require.NoError(t, err)
		if err := l.readFrames(message); err != nil {
			var protocol *ProtocolError
			var large *FrameTooLargeError
			require.True(t, errors.As(err, &protocol) || errors.As(err, &large), "%v", err)
		}
		require.LessOrEqual(t, len(s.in.buffer), modelWindowBytes)
		require.LessOrEqual(t, len(l.streams), 1+acceptedStreamsFactor*config.MaxStreams)
	})
}

// FuzzFrameRoundTrip checks that decoding an encoded frame returns the same frame.
func FuzzFrameRoundTrip(f *testing.F) {
	f.Add(uint8(2), uint8(7), uint64(1), uint64(2), uint64(3), uint64(4), uint64(5), uint64(6), []byte{1}, []byte("body"))
	f.Fuzz(func(t *testing.T, kind, flags uint8, version, opener, sequence, index, value, sum uint64, head, body []byte) {
		sent := frame{
			Kind: frameKind(kind%uint8(frameMessage)) + 1, Flags: frameFlags(flags), Version: version,
			Opener: opener, Sequence: sequence, Index: index, Value: value, Sum: sum, Head: head, Body: body,
		}
		message := encodeFrames(t, sent, sent)
		require.LessOrEqual(t, len(message), 2*sent.maxEncodedBytes())
		got, rest, err := decodeFrame(message, len(message))
		require.NoError(t, err)
		require.Len(t, rest, len(message)/2)
		require.Equal(t, encodeFrames(t, sent), encodeFrames(t, got))
	})
}

func TestMalformedFrameClosesLinkWithTypedError(t *testing.T) {
	cases := []struct {
		desc    string
		message []byte
		large   bool
	}{
		{desc: "not CBOR", message: []byte{0xff, 0xff}},
		{desc: "truncated frame", message: encodeFrames(t, frame{Kind: framePing})[:5]},
		{desc: "unknown kind", message: encodeFrames(t, frame{Kind: 77})},
		{desc: "second hello", message: encodeFrames(t, frame{Kind: frameHello})},
		{desc: "frame too large", large: true, message: encodeFrames(t, frame{Kind: frameData, Body: make([]byte, DefaultMaxFrameBytes)})},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			local, remote := newPipe()
			l := newLink(testConfig("entry", nil).withDefaults(), local, helloOf(testConfig("agent", nil)), true)
			l.start()
			require.NoError(t, remote.writeMessage(c.message))
			<-l.Done()
			var protocol *ProtocolError
			var large *FrameTooLargeError
			if c.large {
				require.ErrorAs(t, l.Err(), &large)
			} else {
				require.ErrorAs(t, l.Err(), &protocol)
			}
		})
	}
}

func TestReceiveRejectsInvalidFrame(t *testing.T) {
	body := []byte("petal")
	sum := xxhash.Sum64(body)
	var incomplete *IncompleteError
	var checksum *ChecksumError
	var flow *FlowControlError
	var protocol *ProtocolError
	cases := []struct {
		desc   string
		frame  frame
		target any
	}{
		{"valid", frame{Flags: flagTerminal, Body: body, Value: 5, Sum: sum}, nil},
		{"preceding frame missing", frame{Index: 1, Body: body}, &incomplete},
		{"wrong byte count", frame{Flags: flagTerminal, Body: body, Value: 6, Sum: sum}, &incomplete},
		{"wrong checksum", frame{Flags: flagTerminal, Body: body, Value: 5, Sum: sum + 1}, &checksum},
		{"beyond the window", frame{Body: make([]byte, DefaultStreamWindowBytes+1)}, &flow},
		{"head after the first frame", frame{Index: 1, Flags: flagHead}, &protocol},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			transport, _ := newPipe()
			l := newLink(testConfig("entry", nil).withDefaults(), transport, helloOf(testConfig("agent", nil)), true)
			s := newStream(l, streamKey{}, "entry-1", false)
			if c.desc == "head after the first frame" {
				s.receive(&frame{})
			}
			s.receive(&c.frame)
			if c.target == nil {
				require.NoError(t, s.err)
				s.Cancel("unread")
				var cancelled *CancelledError
				_, err := io.ReadAll(s)
				require.ErrorAs(t, err, &cancelled)
				return
			}
			require.ErrorAs(t, s.err, c.target)
			_, err := io.ReadAll(s)
			require.Equal(t, s.err, err)
		})
	}
}
