package link

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/websocket"

	"verbenaseam.example/verbenaseam/connection/integrity"
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
	socket, agreed, err := dialSocket(ctx, address, config)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	l, err := establish(config, socket, agreed, true)
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

func dialSocket(ctx context.Context, address string, config Config) (*websocket.Conn, agreement, error) {
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
		Subprotocols:     subprotocols(config.Versions),
	}
	header := http.Header{}
	nameBuild(header, "User-Agent")
	socket, response, err := dialer.DialContext(ctx, scheme+address+Path, header)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, agreement{}, &TransportError{Operation: "dial", Cause: err}
	}
	if err := integrity.CheckFields(response.StatusCode, response.Header); err != nil {
		_ = socket.Close()
		return nil, agreement{}, &TransportError{Operation: "dial", Cause: err}
	}
	version, err := agreedVersion(config.Versions, socket.Subprotocol(), nil)
	if err != nil {
		_ = socket.Close()
		return nil, agreement{}, err
	}
	_ = socket.NetConn().SetDeadline(time.Time{})
	return socket, agreement{version: version, peerBuild: namedBuild(response.Header, "Server")}, nil
}
