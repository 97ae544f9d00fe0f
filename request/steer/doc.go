// Package steer selects the entries that an organisation's callers should use.
// The answer is a pure function of the organisation and the entries, so every
// entry gives the same answer without coordination.
package steer
