package link

import (
	"bytes"
	"sync"

	"github.com/gorilla/websocket"
)

// transport sends and receives messages; each is a CBOR sequence of frames.
type transport interface {
	// readMessage returns the next message. It is valid until the next call.
	readMessage() ([]byte, error)
	writeMessage(message []byte) error
	close() error
}

const (
	socketReadBufferBytes  = 8 << 10
	socketWriteBufferBytes = 32 << 10
)

var socketWriteBuffers sync.Pool

// socketTransport is a transport over a WebSocket.
type socketTransport struct {
	socket *websocket.Conn
	// buffer holds the last message read. It is taken from messageBuffers when a
	// message arrives, so an idle link holds none.
	buffer *bytes.Buffer
}

func newSocketTransport(socket *websocket.Conn, maxFrameBytes int) *socketTransport {
	socket.SetReadLimit(int64(batchBytes + maxFrameBytes))
	return &socketTransport{socket: socket}
}

func (t *socketTransport) readMessage() ([]byte, error) {
	if t.buffer != nil {
		releaseBuffer(t.buffer)
		t.buffer = nil
	}
	kind, reader, err := t.socket.NextReader()
	if err != nil {
		return nil, &TransportError{Operation: "read", Cause: err}
	}
	if kind != websocket.BinaryMessage {
		return nil, &ProtocolError{Detail: "WebSocket message is not binary"}
	}
	t.buffer = messageBuffers.Get().(*bytes.Buffer)
	if _, err := t.buffer.ReadFrom(reader); err != nil {
		return nil, &TransportError{Operation: "read", Cause: err}
	}
	return t.buffer.Bytes(), nil
}

func (t *socketTransport) writeMessage(message []byte) error {
	if err := t.socket.WriteMessage(websocket.BinaryMessage, message); err != nil {
		return &TransportError{Operation: "write", Cause: err}
	}
	return nil
}

func (t *socketTransport) close() error { return t.socket.Close() }
