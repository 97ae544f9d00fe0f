// Package keys provides mutual TLS from a certificate, a private key and a CA file. The
// files are reloaded without a restart: at each handshake, if one has changed.
//
// Peers are dialled by IP address. Therefore this package verifies a certificate only
// against the CA and its key usage; package link checks its name against the peer's
// hello message.
package keys
