// Package keys provides mutual TLS from a certificate, a private key and a CA file. If one
// of the files has changed, the next handshake reloads them, without a restart.
//
// Peers are dialled by IP address. Therefore this package verifies a certificate only
// against the CA and its key usage; package link checks its name against the peer's
// hello message.
package keys
