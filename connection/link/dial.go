package link

import (
	"context"
	"time"

	"github.com/gorilla/websocket"
)

// Dial opens a link to the process at address, an IP:port pair. ctx applies to
// the opening only, not to the open link.
func Dial(ctx context.Context, address string, cfg Config) (*Link, error) {
	cfg = cfg.withDefaults()
	if err := checkPlaintextAllowed(cfg, address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.HandshakeTimeout)
	defer cancel()
	socket, err := dialSocket(ctx, address, cfg)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	l, err := establish(cfg, socket, true)
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

func dialSocket(ctx context.Context, address string, cfg Config) (*websocket.Conn, error) {
	scheme := "ws://"
	if cfg.TLS != nil {
		scheme = "wss://"
	}
	dialer := websocket.Dialer{
		TLSClientConfig:  cfg.TLS,
		HandshakeTimeout: cfg.HandshakeTimeout,
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
