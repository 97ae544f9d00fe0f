package keys_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/keys"
)

var testNow = time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)

// authority is a certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: testNow.Add(-time.Hour), NotAfter: testNow.Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{certificate: certificate, key: key}
}

// write replaces the files: with a new key and certificate for name, signed by a, and
// with a CA file of the trusted authorities. The files get the modification time at.
func (a authority) write(t *testing.T, files keys.Files, name string, at time.Time, trusted ...authority) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: testNow.Add(-time.Hour), NotAfter: testNow.Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	var roots []byte
	for _, authority := range trusted {
		roots = append(roots, encodePEM("CERTIFICATE", authority.certificate.Raw)...)
	}
	writeFile(t, files.Certificate, encodePEM("CERTIFICATE", der), at)
	writeFile(t, files.Key, encodePEM("EC PRIVATE KEY", private), at)
	writeFile(t, files.CA, roots, at)
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func writeFile(t *testing.T, name string, content []byte, at time.Time) {
	require.NoError(t, os.WriteFile(name, content, 0o600))
	require.NoError(t, os.Chtimes(name, at, at))
}

func newFiles(t *testing.T) keys.Files {
	directory := t.TempDir()
	return keys.Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		CA:          filepath.Join(directory, "ca.pem"),
	}
}

// process is one end of a link with its TLS files.
type process struct {
	files  keys.Files
	config link.Config
}

func newProcess(t *testing.T, name, certificateName string, signer authority, trusted ...authority) process {
	files := newFiles(t)
	signer.write(t, files, certificateName, testNow, trusted...)
	clock := clockwork.NewFakeClockAt(testNow)
	store, err := keys.Load(files, clock, nil)
	require.NoError(t, err)
	return process{files: files, config: link.Config{
		Identity: link.Identity{Name: name, Role: link.RoleAgent, Incarnation: name + "-1"},
		TLS:      store.TLSConfig(),
		Clock:    clock,
	}}
}

func serve(t *testing.T, p process) string {
	acceptor := link.NewAcceptor(p.config)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", p.config.TLS)
	require.NoError(t, err)
	server := &http.Server{Handler: acceptor, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	t.Cleanup(acceptor.Close)
	return listener.Addr().String()
}

func dial(t *testing.T, address string, p process) error {
	l, err := link.Dial(context.Background(), address, p.config)
	if err != nil {
		return err
	}
	return l.Close()
}

func TestMutualTLSRefusals(t *testing.T) {
	ours, foreign := newAuthority(t, "ours"), newAuthority(t, "foreign")
	cases := []struct {
		desc   string
		agent  process
		entry  process
		plain  bool
		opened bool
	}{
		{desc: "both certified", opened: true,
			agent: newProcess(t, "agent", "agent", ours, ours), entry: newProcess(t, "entry", "entry", ours, ours)},
		{desc: "server of another CA",
			agent: newProcess(t, "agent", "agent", foreign, ours), entry: newProcess(t, "entry", "entry", ours, ours)},
		{desc: "client of another CA",
			agent: newProcess(t, "agent", "agent", ours, ours), entry: newProcess(t, "entry", "entry", foreign, ours)},
		{desc: "server claims another name",
			agent: newProcess(t, "agent", "other", ours, ours), entry: newProcess(t, "entry", "entry", ours, ours)},
		{desc: "client claims another name",
			agent: newProcess(t, "agent", "agent", ours, ours), entry: newProcess(t, "entry", "other", ours, ours)},
		{desc: "client without TLS", plain: true,
			agent: newProcess(t, "agent", "agent", ours, ours), entry: newProcess(t, "entry", "entry", ours, ours)},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			if c.plain {
				c.entry.config.TLS = nil
			}
			err := dial(t, serve(t, c.agent), c.entry)
			require.Equal(t, c.opened, err == nil, "%v", err)
		})
	}
}

// TestRotationWithoutRestart replaces the CA in the usual steps: both sides first trust the
// old and the new CA, then only the new one.
func TestRotationWithoutRestart(t *testing.T) {
	old, next := newAuthority(t, "old"), newAuthority(t, "next")
	agent := newProcess(t, "agent", "agent", old, old)
	entry := newProcess(t, "entry", "entry", old, old)
	address := serve(t, agent)
	require.NoError(t, dial(t, address, entry))

	second := testNow.Add(time.Second)
	next.write(t, entry.files, "entry", second, old, next)
	require.Error(t, dial(t, address, entry), "the agent does not trust the new CA yet")

	old.write(t, agent.files, "agent", second, old, next)
	require.NoError(t, dial(t, address, entry), "both CAs are trusted during the replacement")

	third := second.Add(time.Second)
	next.write(t, agent.files, "agent", third, next)
	require.NoError(t, dial(t, address, entry))

	require.NoError(t, os.WriteFile(agent.files.Key, []byte("half a file"), 0o600))
	require.NoError(t, dial(t, address, entry), "the old keys stay in use when the files cannot be loaded")

	late := newProcess(t, "late", "late", old, old, next)
	require.Error(t, dial(t, address, late), "the old CA is no longer trusted")
}

func TestExpiredCertificateIsRefused(t *testing.T) {
	ours := newAuthority(t, "ours")
	agent := newProcess(t, "agent", "agent", ours, ours)
	entry := newProcess(t, "entry", "entry", ours, ours)
	address := serve(t, agent)
	agent.config.Clock.(*clockwork.FakeClock).Advance(2 * time.Hour)
	require.Error(t, dial(t, address, entry))
}

func TestLoadErrorNamesTheFile(t *testing.T) {
	ours := newAuthority(t, "ours")
	files := newFiles(t)
	ours.write(t, files, "agent", testNow)
	_, err := keys.Load(files, clockwork.NewFakeClock(), nil)
	var loadErr *keys.LoadError
	require.ErrorAs(t, err, &loadErr)
	require.Equal(t, files.CA, loadErr.File)
	require.ErrorIs(t, err, keys.ErrNoCA)

	files.Key = filepath.Join(t.TempDir(), "absent.pem")
	_, err = keys.Load(files, clockwork.NewFakeClock(), nil)
	require.ErrorAs(t, err, &loadErr)
	require.Equal(t, files.Key, loadErr.File)
}
