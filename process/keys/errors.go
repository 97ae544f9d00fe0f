package keys

import "github.com/rotisserie/eris"

// ErrNoCA means that the CA file contains no certificate.
var ErrNoCA = eris.New("no certificate in the CA file")

// ErrNoPeerCertificate means that the peer presented no certificate.
var ErrNoPeerCertificate = eris.New("peer presented no certificate")

// LoadError means that the certificate, key or CA file cannot be loaded.
type LoadError struct {
	// File is the path of the file that caused the error. For a key that is invalid or
	// does not match the certificate, it is the path of the certificate.
	File  string
	Cause error
}

// Error implements error.
func (e *LoadError) Error() string { return "cannot load " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *LoadError) Unwrap() error { return e.Cause }

// PeerError means that the verification of a peer's certificate failed.
type PeerError struct {
	// Name is the common name of the certificate.
	Name  string
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string { return "peer certificate " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *PeerError) Unwrap() error { return e.Cause }
