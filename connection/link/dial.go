package link

import (
	"context"
	"time"

	"github.com/gorilla/websocket"
)

// Dial opens a link to the process at address, an IP:port pair. ctx applies only
// until the link is open.
func Dial(ctx context.Context, address string, config Config) (*Link, error) {
	config = config.withDefaults()
	if err := checkPlaintextAllowed(config, address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, config.HandshakeTimeout)
	defer cancel()
	socket, err := dialSocket(ctx, address, config)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	l, err := establish(config, socket, true)
	if !stop() && err == nil {
		err = &TransportError{Operation: "dial", Cause: ctx.Err()}
	}
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	l.start()
	return l, nil
}

func dialSocket(ctx context.Context, address string, config Config) (*websocket.Conn, error) {
	scheme := "ws://"
	if config.TLS != nil {
		scheme = "wss://"
	}
	dialer := websocket.Dialer{
		TLSClientConfig:  config.TLS,
		HandshakeTimeout: config.HandshakeTimeout,
		ReadBufferSize:   socketReadBufferBytes,
		WriteBufferSize:  socketWriteBufferBytes,
		WriteBufferPool:  &socketWriteBuffers,
	}
	socket, response, err := dialer.DialContext(ctx, scheme+address+Path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, &TransportError{Operation: "dial", Cause: err}
	}
	_ = socket.NetConn().SetDeadline(time.Time{})
	return socket, nil
}
