// Package direct implements the entry process of a platform whose targets register
// themselves in a store and serve requests over HTTP/1.1. Callers look up in its
// directory which entry to connect to, and the entry forwards their requests
// directly to targets. Any entry can serve any caller. An entry keeps its state in
// memory only, so it can be lost at any moment.
package direct
