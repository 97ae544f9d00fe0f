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
	entryLinkOffset = 20
	agentLinkOffset = 30
	// untrustedPortOffset is the offset of the first port that the system does not use.
	untrustedPortOffset = dev.PortSpan
	handshakeTimeout    = 10 * time.Second
	untrustedEntryName  = "intruder"
)

// certificateAuthority signs the certificates of processes.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T, name string) certificateAuthority {
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
	return certificateAuthority{certificate: certificate, key: key}
}

// issue writes three files: a certificate for the given process names, signed by a; its
// private key; and the certificate of the CA that the process trusts.
func (a certificateAuthority) issue(t *testing.T, trusted certificateAuthority, names ...string) settings.TLS {
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

// TestMutualTLS runs the system with certificates of one CA. Links must be refused to
// clients with a certificate from another CA, with none, and over plain TCP, and to
// entries whose certificate is from another CA or for another name.
func TestMutualTLS(t *testing.T) {
	ownCA, otherCA := newCertificateAuthority(t, "own"), newCertificateAuthority(t, "other")
	base := freePortBase(t)
	l := startLocalSystemWith(t, dev.Config{
		PortBase: base, EntriesTTL: time.Millisecond, Logger: logs.Discard(), TLS: ownCA.issue(t, ownCA, processNames()...),
	})
	for i := range entryCount {
		l.checkLookupAndChat(i, i)
	}
	cases := []struct {
		desc         string
		certificates []tls.Certificate
		linked       bool
	}{
		{"same CA", clientCertificates(t, ownCA.issue(t, ownCA)), true},
		{"another CA", clientCertificates(t, otherCA.issue(t, ownCA)), false},
		{"no certificate", nil, false},
	}
	for _, c := range cases {
		for _, offset := range []int{entryLinkOffset, agentLinkOffset} {
			status, err := openTLSLink(portAddress(base, offset), c.certificates)
			if c.linked {
				require.NoError(t, err, c.desc)
				require.Equal(t, http.StatusSwitchingProtocols, status, c.desc)
				continue
			}
			require.Error(t, err, "%s at port offset %d", c.desc, offset)
		}
	}
	for _, offset := range []int{entryLinkOffset, agentLinkOffset} {
		status, err := requestLink(dialPlain(t, portAddress(base, offset)))
		require.True(t, err != nil || status == http.StatusBadRequest, "plain TCP: %d", status)
	}
	untrustedEntries := []*untrustedEntry{
		l.startUntrustedEntry(base+untrustedPortOffset, otherCA.issue(t, ownCA, untrustedEntryName)),
		l.startUntrustedEntry(base+untrustedPortOffset+1, ownCA.issue(t, ownCA, "entry-9")),
	}
	for _, untrusted := range untrustedEntries {
		l.checkNotLinked(untrusted)
	}
}

// processNames returns the names of all processes of a localSystem.
func processNames() []string {
	names := []string{}
	for i := range entryCount {
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
	connection, err := net.DialTimeout("tcp", address, handshakeTimeout)
	require.NoError(t, err)
	return connection
}

// openTLSLink requests a link over TLS and returns the response status.
func openTLSLink(address string, certificates []tls.Certificate) (int, error) {
	dialer := &net.Dialer{Timeout: handshakeTimeout}
	connection, err := tls.DialWithDialer(dialer, "tcp", address, &tls.Config{
		InsecureSkipVerify: true, Certificates: certificates, MinVersion: tls.VersionTLS13,
	})
	if err != nil {
		return 0, err
	}
	return requestLink(connection)
}

// requestLink sends a WebSocket handshake and returns the response status.
func requestLink(connection net.Conn) (int, error) {
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(handshakeTimeout))
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

// untrustedEntry is an entry whose certificate is from another CA or for another name.
type untrustedEntry struct {
	*entry.Entry
	address string
}

// startUntrustedEntry runs an entry with the given, untrusted, TLS files.
func (l *localSystem) startUntrustedEntry(port int, files settings.TLS) *untrustedEntry {
	started, err := entry.New(entry.Config{
		Settings: settings.Entry{
			Name: untrustedEntryName, FailureDomain: "thamel", TLS: files,
			CallerAddress: portAddress(port, 0), OperatorAddress: portAddress(port, 2), LinkAddress: portAddress(port, 4),
			Limits:   settings.DefaultLimits(),
			Shutdown: settings.Shutdown{Timeout: time.Second, EntriesTTL: time.Millisecond},
		},
		Platform: l.NewPlatformService(), Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	require.NoError(l.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- started.Run(ctx, ctx) }()
	l.t.Cleanup(func() {
		cancel()
		require.NoError(l.t, <-ended)
	})
	return &untrustedEntry{Entry: started, address: portAddress(port, 0)}
}

// checkNotLinked requires that no process links to an untrusted entry, so that it
// cannot serve requests.
func (l *localSystem) checkNotLinked(untrusted *untrustedEntry) {
	require.Eventually(l.t, untrusted.Ready, conditionTimeout, conditionPollInterval)
	request := l.newRequestTo(0, http.MethodGet, "/stock?item=rose", "", nil)
	request.URL.Host = untrusted.address
	status, outcome, body, err := send(request)
	require.NoError(l.t, err)
	require.Equal(l.t, http.StatusServiceUnavailable, status, string(body))
	require.Equal(l.t, "not-run", outcome)
	_, listed, _ := l.callOperatorAPI(0, http.MethodGet, "/status", nil, "")
	require.NotContains(l.t, string(listed), untrustedEntryName)
	l.checkLookupAndChat(0, 0)
}
