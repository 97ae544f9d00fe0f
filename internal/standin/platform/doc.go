// Package platform is an in-memory simulation of the platform services that
// entries and agents use, for tests and measurements: a transactional table and
// a list of hosts that lags, with faults that callers set. The stand-in for the
// users' store, which serves HTTP, is platform/standin.
package platform
