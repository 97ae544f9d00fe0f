package systemtest

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/dev"
	"verbenaseam.example/verbenaseam/daemon/entry"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

const (
	offsetLink      = 20
	offsetAgentLink = 30
	// intruderPorts is the offset of ports that the system leaves free.
	intruderPorts  = dev.PortSpan
	handshakeLimit = 10 * time.Second
	intruderName   = "intruder"
)

// authority signs the certificates of processes.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{certificate: certificate, key: key}
}

// issue writes a certificate for processes of some names signed by a, its key,
// and the CA that they trust.
func (a authority) issue(t *testing.T, trusted authority, names ...string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, DNSNames: names,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return settings.TLS{
		Certificate: writePEM(t, "CERTIFICATE", der),
		Key:         writePEM(t, "EC PRIVATE KEY", private),
		CA:          writePEM(t, "CERTIFICATE", trusted.certificate.Raw),
	}
}

func writePEM(t *testing.T, kind string, content []byte) string {
	name := filepath.Join(t.TempDir(), "keys.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	require.NoError(t, os.WriteFile(name, block, 0o600))
	return name
}

func clientCertificates(t *testing.T, files settings.TLS) []tls.Certificate {
	loaded, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	require.NoError(t, err)
	return []tls.Certificate{loaded}
}

// TestMutualTLS runs the system on certificates of one authority. Links of
// strangers are refused: with another authority's certificate, with none, and
// over plain TCP.
func TestMutualTLS(t *testing.T) {
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	base := freeBase(t)
	l := startLoopbackWith(t, dev.Config{
		PortBase: base, EntriesTTL: time.Millisecond, Logger: logs.Discard(), TLS: own.issue(t, own, processNames()...),
	})
	for i := range entries {
		l.lookAndChat(i, i)
	}
	cases := []struct {
		desc         string
		certificates []tls.Certificate
		linked       bool
	}{
		{"own authority", clientCertificates(t, own.issue(t, own)), true},
		{"another authority", clientCertificates(t, other.issue(t, own)), false},
		{"no certificate", nil, false},
	}
	for _, c := range cases {
		for _, offset := range []int{offsetLink, offsetAgentLink} {
			status, err := openLink(portAddress(base, offset), c.certificates)
			if c.linked {
				require.NoError(t, err, c.desc)
				require.Equal(t, http.StatusSwitchingProtocols, status, c.desc)
				continue
			}
			require.Error(t, err, "%s at port offset %d", c.desc, offset)
		}
	}
	for _, offset := range []int{offsetLink, offsetAgentLink} {
		status, err := askForLink(dialPlain(t, portAddress(base, offset)))
		require.True(t, err != nil || status == http.StatusBadRequest, "plain TCP: %d", status)
	}
	strangers := []*intruder{
		l.startIntruder(base+intruderPorts, other.issue(t, own, intruderName)),
		l.startIntruder(base+intruderPorts+1, own.issue(t, own, "entry-9")),
	}
	for _, stranger := range strangers {
		l.checkIntruder(stranger)
	}
}

// processNames are the names of all processes of the system on loopback.
func processNames() []string {
	names := []string{}
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	for _, kind := range []string{"model", "service"} {
		for _, domain := range []string{"thamel", "patan", "bhaktapur"} {
			names = append(names, kind+"-"+domain)
		}
	}
	return names
}

func portAddress(base, offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }

func dialPlain(t *testing.T, address string) net.Conn {
	connection, err := net.DialTimeout("tcp", address, handshakeLimit)
	require.NoError(t, err)
	return connection
}

// openLink asks for a link over TLS and returns the answer's status.
func openLink(address string, certificates []tls.Certificate) (int, error) {
	dialer := &net.Dialer{Timeout: handshakeLimit}
	connection, err := tls.DialWithDialer(dialer, "tcp", address, &tls.Config{
		InsecureSkipVerify: true, Certificates: certificates, MinVersion: tls.VersionTLS13,
	})
	if err != nil {
		return 0, err
	}
	return askForLink(connection)
}

// askForLink sends the opening of a WebSocket.
func askForLink(connection net.Conn) (int, error) {
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(handshakeLimit))
	request, err := http.NewRequest(http.MethodGet, "http://process/v1/link", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", "websocket")
	request.Header.Set("Sec-WebSocket-Version", "13")
	request.Header.Set("Sec-WebSocket-Key", "dGhlIHNhbXBsZSBub25jZQ==")
	if err := request.Write(connection); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// intruder is an entry on a certificate of another authority or name.
type intruder struct {
	*entry.Entry
	address string
}

// startIntruder runs a whole entry on a stranger's keys.
func (l *loopback) startIntruder(port int, keys settings.TLS) *intruder {
	started, err := entry.New(entry.Config{
		Settings: settings.Entry{
			Name: intruderName, FailureDomain: "thamel", TLS: keys,
			CallerAddress: portAddress(port, 0), OperatorAddress: portAddress(port, 2), LinkAddress: portAddress(port, 4),
			Limits:   settings.DefaultLimits(),
			Shutdown: settings.Shutdown{Timeout: time.Second, EntriesTTL: time.Millisecond},
		},
		Platform: l.Service(), Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	require.NoError(l.t, err)
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- started.Run(ctx, ctx) }()
	l.t.Cleanup(func() {
		leave()
		require.NoError(l.t, <-ended)
	})
	return &intruder{Entry: started, address: portAddress(port, 0)}
}

// checkIntruder wants that no process links to an intruder, so that it can serve
// nothing.
func (l *loopback) checkIntruder(stranger *intruder) {
	require.Eventually(l.t, stranger.Ready, conditionLimit, conditionEvery)
	request := l.at(0, http.MethodGet, "/stock?item=rose", "", nil)
	request.URL.Host = stranger.address
	status, outcome, body, err := send(request)
	require.NoError(l.t, err)
	require.Equal(l.t, http.StatusServiceUnavailable, status, string(body))
	require.Equal(l.t, "not-run", outcome)
	_, listed, _ := l.operate(0, http.MethodGet, "/status", nil, "")
	require.NotContains(l.t, string(listed), intruderName)
	l.lookAndChat(0, 0)
}
