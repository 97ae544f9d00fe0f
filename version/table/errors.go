package table

import (
	"fmt"
	"strings"
)

// ValidationError describes one invalid section or key of a table.
type ValidationError struct {
	// Source is the file name; empty when the table was not read from a file.
	Source string
	// Line is the 1-based line number in Source; 0 when unknown.
	Line int
	// Section is the section's kind and name, such as "route chat".
	Section string
	// Key is the key within the section; empty when the error concerns the whole
	// section.
	Key string
	// Reason states the problem, without its position.
	Reason string
}

// Error implements error.
func (e *ValidationError) Error() string {
	var text strings.Builder
	if e.Source != "" {
		fmt.Fprintf(&text, "%s:%d: ", e.Source, e.Line)
	}
	if e.Section != "" {
		fmt.Fprintf(&text, "[%s] ", e.Section)
	}
	if e.Key != "" {
		text.WriteString(e.Key + ": ")
	}
	text.WriteString(e.Reason)
	return text.String()
}

// ValidationErrors holds every validation error of a table.
type ValidationErrors []*ValidationError

// Error implements error, with one line per validation error.
func (e ValidationErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// orNil returns e as an error, or an untyped nil if e is empty.
func (e ValidationErrors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// ReadError reports that the source of a table could not be read.
type ReadError struct {
	// Source is the file name.
	Source string
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return "cannot read " + e.Source + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Cause }

// BaseMismatchError reports a delta applied to a table that is not at the delta's
// base version.
type BaseMismatchError struct {
	// Have is the version of the table, Want the base version of the delta.
	Have, Want uint64
}

// Error implements error.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("delta applies to table version %d, but the table is at version %d", e.Want, e.Have)
}

// UnknownNameError reports an edit of an entry that the table does not hold.
type UnknownNameError struct {
	// Kind is the section kind, "target" or "failure_domain".
	Kind string
	// Name is the name that was not found.
	Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string { return "no " + e.Kind + " named " + e.Name }
