package link

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

type frameKind uint8

const (
	// frameHello is the only frame of a handshake message.
	frameHello frameKind = iota + 1
	// frameOpen is the opener's first frame of a stream; frameData is any other frame
	// that carries a head, body bytes or the end of a direction.
	frameOpen
	frameData
	// frameCredit raises the total of body bytes that its receiver may send.
	frameCredit
	// frameCancel fails the stream.
	frameCancel
	// frameStop tells the opener that the rest of its body will not be read.
	frameStop
	framePing
	framePong
	// frameMessage is a one-way message.
	frameMessage
)

type frameFlags uint8

const (
	// flagTerminal marks the last frame of a direction.
	flagTerminal frameFlags = 1 << iota
	// flagHead marks a frame with a head.
	flagHead
	// flagFromOpener marks a frame sent by the stream's opener.
	flagFromOpener
)

// frameOverheadBytes is an upper bound of the encoded size of a frame minus the
// lengths of Head and Body.
const frameOverheadBytes = 96

// frame is the unit of transmission on a link. It is encoded as a CBOR array, so
// the order of the fields is part of the protocol.
type frame struct {
	_     struct{} `cbor:",toarray"`
	Kind  frameKind
	Flags frameFlags
	// Version is the sender's configuration version.
	Version uint64
	// Opener is the incarnationHash of the process that opened the stream, Sequence is
	// the number of the stream in that incarnation.
	Opener   uint64
	Sequence uint64
	// Index numbers the frames of one direction of a stream from 0.
	Index uint64
	// Value is the body byte count in a terminal frame, the byte limit in a
	// credit, the nonce in a ping or pong, or the kind in a message.
	Value uint64
	// Sum is the checksum of the head and body of the direction, in a terminal frame.
	Sum uint64
	// Head is the encoded head, or the encoded body of a message or hello.
	Head []byte
	// Body holds body bytes, or the reason of a cancellation.
	Body []byte
}

func (f *frame) has(flag frameFlags) bool { return f.Flags&flag != 0 }

// maxEncodedBytes returns an upper bound of the encoded size of the frame.
func (f *frame) maxEncodedBytes() int {
	return frameOverheadBytes + len(f.Head) + len(f.Body)
}

// hello is the first message of each side, sent as the Head of a frameHello. It is
// encoded as a CBOR array.
type hello struct {
	_ struct{} `cbor:",toarray"`
	// Protocol is the version of the protocol that both sides have agreed on; see versions.go.
	Protocol          uint64
	Name              string
	Role              string
	FailureDomain     string
	Incarnation       string
	MaxFrameBytes     uint64
	StreamWindowBytes uint64
	MaxStreams        uint64
}

var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

func mustEncodeMode() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecodeMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// appendFrame appends the encoding of f to buffer.
func appendFrame(buffer *bytes.Buffer, f *frame) error {
	if err := encodeMode.MarshalToBuffer(f, buffer); err != nil {
		return &EncodeError{Cause: err}
	}
	return nil
}

// decodeFrame decodes the first frame of message and returns the remaining bytes.
// The frame shares no memory with message.
func decodeFrame(message []byte, limit int) (frame, []byte, error) {
	var f frame
	rest, err := decodeMode.UnmarshalFirst(message, &f)
	if err != nil {
		return frame{}, nil, &ProtocolError{Detail: "malformed frame", Cause: err}
	}
	if size := len(message) - len(rest); size > limit {
		return frame{}, nil, &FrameTooLargeError{Bytes: size, Limit: limit}
	}
	if f.Kind < frameHello || f.Kind > frameMessage {
		return frame{}, nil, &ProtocolError{Detail: "unknown frame kind"}
	}
	return f, rest, nil
}

// Marshal encodes a head or a message body as CBOR.
func Marshal(v any) ([]byte, error) {
	encoded, err := encodeMode.Marshal(v)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return encoded, nil
}

// Unmarshal decodes a head or a message body into v.
func Unmarshal(data []byte, v any) error {
	if err := decodeMode.Unmarshal(data, v); err != nil {
		return &ProtocolError{Detail: "malformed head or message body", Cause: err}
	}
	return nil
}

// incarnationHash returns the hash that identifies an incarnation in frames.
func incarnationHash(incarnation string) uint64 {
	return xxhash.Sum64String(incarnation)
}
