// Package demo sends a system on loopback a mix of requests, as clients would, while a
// failure domain is taken out of service and brought back. It reports whether the
// system's guarantees held.
package demo
