// Package health detects groups of targets whose failures are correlated although no
// configuration table says that they share anything, and advises which load to shed
// when many targets fail at once.
//
// Each process records the failures that it sees and passes them to its peers. The
// records form a set that can be merged in any order; the groups are derived from it.
//
// Lock order: Correlator.mu is a leaf lock. Readers on the request path take no lock:
// they read an immutable snapshot of the groups.
package health
