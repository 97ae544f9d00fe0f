package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/logs"
)

// logPart is the name of this package in log entries.
const logPart = "keys"

// Files are the PEM files of one process.
type Files struct {
	// Certificate is the certificate chain of the process.
	Certificate string
	// Key is the private key of the certificate.
	Key string
	// CA holds the CA certificates that peers are verified against.
	CA string
}

// IsSet reports whether any file is set, in which case all three are required.
func (f Files) IsSet() bool { return f != Files{} }

// credentials are the contents of the files at one load. They are immutable.
type credentials struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// Store holds the current credentials and reloads them when the files change.
type Store struct {
	files Files
	clock clockwork.Clock
	log   *logrus.Entry

	// mu guards the fields below.
	mu      sync.Mutex
	stamps  [3]fileStamp
	current credentials
}

// fileStamp identifies a version of a file by modification time and size.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Load reads the files; it fails with LoadError. clock provides the time at which peer
// certificates must be valid. A nil logger means logrus's standard logger.
func Load(files Files, clock clockwork.Clock, logger *logrus.Logger) (*Store, error) {
	s := &Store{files: files, clock: clock, log: logs.Component(logs.OrDefault(logger), logPart)}
	stamps, err := files.stamps()
	if err != nil {
		return nil, err
	}
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	s.stamps, s.current = stamps, loaded
	return s, nil
}

func (f Files) stamps() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range []string{f.Certificate, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, &LoadError{File: name, Cause: err}
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (f Files) read() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, &LoadError{File: f.Certificate, Cause: err}
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return credentials{}, &LoadError{File: f.CA, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return credentials{}, &LoadError{File: f.CA, Cause: ErrNoCA}
	}
	return credentials{certificate: &certificate, roots: roots}, nil
}

// reloadIfChanged returns the current credentials after reloading them if a file has
// changed. If the files cannot be loaded, for example halfway through a replacement, the
// old credentials stay in use and the next handshake tries again.
func (s *Store) reloadIfChanged() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.files.stamps()
	if err != nil {
		s.warn(err)
		return s.current
	}
	if stamps == s.stamps {
		return s.current
	}
	loaded, err := s.files.read()
	if err != nil {
		s.warn(err)
		return s.current
	}
	s.stamps, s.current = stamps, loaded
	s.log.Info("TLS files reloaded")
	return s.current
}

func (s *Store) warn(err error) {
	s.log.WithError(err).Warn("TLS files not reloaded; the previous ones stay in force")
}

// TLSConfig returns the TLS configuration for client and server, for link.Config.TLS
// and for the listener of a link.Acceptor. Callers must not add Certificates to it, because
// they would take precedence over the files.
func (s *Store) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.reloadIfChanged().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.reloadIfChanged().certificate, nil
		},
		// crypto/tls would check the host name, although peers are dialled by IP
		// address, and use a fixed root pool. VerifyConnection replaces both checks; it
		// runs on both sides at each handshake, resumed or not.
		InsecureSkipVerify:     true,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       s.verify,
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}
}

// verify verifies the certificate of a peer against the current CA certificates.
func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoPeerCertificate
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         s.reloadIfChanged().roots,
		Intermediates: intermediates,
		CurrentTime:   s.clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &PeerError{Name: leaf.Subject.CommonName, Cause: err}
	}
	return nil
}
