// Package systemtest holds end-to-end tests. They run the daemons as separate
// processes on loopback, started from the example settings, or a whole system in
// the test process.
package systemtest
