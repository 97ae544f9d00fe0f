// Package steer selects the entries that callers should use. SelectEntries does so by
// organisation: its answer is a pure function of the organisation and the entries, so
// every entry gives the same answer without coordination. Spill does so by failure domain
// and in proportion to the capacity of entries.
package steer
