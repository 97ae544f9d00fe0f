// Package path measures requests on the whole path, from caller to entry to agent to
// engine or service stand-in, and compares them with the same requests sent directly
// to the stand-in.
package path
