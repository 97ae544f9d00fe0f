package link

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"

	"github.com/gorilla/websocket"
)

// minFrameLimitBytes is the smallest frame limit that a peer may announce.
const minFrameLimitBytes = 4 << 10

func (h hello) identity() Identity {
	return Identity{
		Name:          h.Name,
		Role:          h.Role,
		FailureDomain: h.FailureDomain,
		Incarnation:   h.Incarnation,
	}
}

// receiveHello reads and validates the peer's hello; it returns the hello and the
// peer's configuration version.
func receiveHello(config Config, t transport, protocol uint8) (hello, uint64, error) {
	message, err := t.readMessage()
	if err != nil {
		return hello{}, 0, err
	}
	f, rest, err := decodeFrame(message, config.MaxFrameBytes)
	if err != nil {
		return hello{}, 0, err
	}
	if f.Kind != frameHello || len(rest) > 0 {
		return hello{}, 0, &ProtocolError{Detail: "first message is not a single hello frame"}
	}
	var remote hello
	if err := Unmarshal(f.Head, &remote); err != nil {
		return hello{}, 0, err
	}
	return remote, f.Version, remote.check(protocol)
}

func sendHello(config Config, t transport, protocol uint8) error {
	local := hello{
		Protocol:          uint64(protocol),
		Name:              config.Identity.Name,
		Role:              config.Identity.Role,
		FailureDomain:     config.Identity.FailureDomain,
		Incarnation:       config.Identity.Incarnation,
		MaxFrameBytes:     uint64(config.MaxFrameBytes),
		StreamWindowBytes: uint64(config.StreamWindowBytes),
		MaxStreams:        uint64(config.MaxStreams),
	}
	head, err := Marshal(local)
	if err != nil {
		return err
	}
	var message bytes.Buffer
	f := frame{Kind: frameHello, Version: config.Version(), Head: head}
	if err := appendFrame(&message, &f); err != nil {
		return err
	}
	return t.writeMessage(message.Bytes())
}

func (h hello) check(protocol uint8) error {
	switch {
	case h.Protocol != uint64(protocol):
		return &ProtocolError{Detail: "hello has another version than was agreed on"}
	case h.Name == "" || h.Incarnation == "":
		return &ProtocolError{Detail: "hello without name or incarnation"}
	case h.MaxFrameBytes < minFrameLimitBytes:
		return &ProtocolError{Detail: "announced frame limit is too small"}
	case h.StreamWindowBytes == 0:
		return &ProtocolError{Detail: "announced stream window is zero"}
	default:
		return nil
	}
}

// establish performs the handshake on a new WebSocket and returns the link without
// starting it. The dialling side sends its hello first. The accepting side replies
// only after it has verified the peer's identity, so a refused peer sees the
// refusal as a failed dial. agreed is what the sides have found out of each other before.
func establish(config Config, socket *websocket.Conn, agreed agreement, dialled bool) (*Link, error) {
	t := newSocketTransport(socket, config.MaxFrameBytes)
	if dialled {
		if err := sendHello(config, t, agreed.version); err != nil {
			return nil, err
		}
	}
	remote, version, err := receiveHello(config, t, agreed.version)
	if err != nil {
		return nil, err
	}
	if err := checkPeer(config, remote, socket.NetConn(), dialled); err != nil {
		return nil, err
	}
	if !dialled {
		if err := sendHello(config, t, agreed.version); err != nil {
			return nil, err
		}
	}
	l := newLink(config, t, remote, dialled)
	l.agreed = agreed
	l.observeVersion(version)
	return l, nil
}

// checkPeer compares the name in a peer's hello with the names in its certificate and,
// on the dialling side, with Config.ExpectedPeerName.
func checkPeer(config Config, remote hello, connection net.Conn, dialled bool) error {
	if dialled && config.ExpectedPeerName != "" && remote.Name != config.ExpectedPeerName {
		return &IdentityError{Claimed: remote.Name, Want: config.ExpectedPeerName}
	}
	if config.TLS == nil {
		return nil
	}
	tlsConnection, ok := connection.(*tls.Conn)
	if !ok {
		return &PlaintextRefusedError{Address: connection.RemoteAddr().String()}
	}
	certificates := tlsConnection.ConnectionState().PeerCertificates
	if len(certificates) == 0 || !certificateHasName(certificates[0], remote.Name) {
		return &IdentityError{Claimed: remote.Name, Want: "a name in its certificate"}
	}
	return nil
}

// certificateHasName reports whether name is a DNS name or the common name of the
// certificate. Names are compared literally; wildcards are not supported.
func certificateHasName(certificate *x509.Certificate, name string) bool {
	return certificate.Subject.CommonName == name || slices.Contains(certificate.DNSNames, name)
}

// checkPlaintextAllowed returns an error for plaintext TCP to an address that is
// not loopback, unless Config.AllowPlaintext is set.
func checkPlaintextAllowed(config Config, address string) error {
	if config.TLS != nil || config.AllowPlaintext {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &PlaintextRefusedError{Address: address}
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return &PlaintextRefusedError{Address: address}
	}
	return nil
}
