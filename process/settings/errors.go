package settings

import (
	"fmt"
	"strings"
)

// KeyError is one error in a settings file.
type KeyError struct {
	// File, Section and Key locate the error; Key is empty for an error of a section.
	File, Section, Key string
	// Value is the value found; empty if there is none.
	Value string
	// Expected describes a valid value.
	Expected string
}

// Error implements error.
func (e *KeyError) Error() string {
	location := fmt.Sprintf("%s: [%s]", e.File, e.Section)
	if e.Key != "" {
		location += " " + e.Key
	}
	if e.Value == "" {
		return location + ": expected " + e.Expected
	}
	return fmt.Sprintf("%s: %q: expected %s", location, e.Value, e.Expected)
}

// KeyErrors are all errors of a settings file.
type KeyErrors []*KeyError

// Error implements error.
func (e KeyErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, keyError := range e {
		lines = append(lines, keyError.Error())
	}
	return strings.Join(lines, "\n")
}

// FileError means that a settings file cannot be read or is not valid INI.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return "cannot read " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *FileError) Unwrap() error { return e.Cause }
