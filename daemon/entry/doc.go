// Package entry implements the entry process, which serves the caller API and the
// operator API. Every entry can serve every caller.
package entry
