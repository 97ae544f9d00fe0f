package table

import (
	"fmt"
	"strings"
)

// lineIndex maps the sections and keys of a file to their line numbers, which the
// INI library does not keep. It also holds the errors that show only in the raw
// lines, such as duplicate sections.
type lineIndex struct {
	source string
	lines  map[location]int
	errs   ValidationErrors
}

// location is a section, if key is empty, or else a key of a section.
type location struct{ section, key string }

func newLineIndex(text, source string) *lineIndex {
	// At most every line is recorded; the size saves the growth of the map in large files.
	index := &lineIndex{source: source, lines: make(map[location]int, strings.Count(text, "\n"))}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		section = index.addLine(strings.TrimSpace(line), section, i+1)
	}
	return index
}

// addLine indexes one line and returns the section that the next line belongs to.
func (x *lineIndex) addLine(line, section string, number int) string {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return section
	}
	if line[0] == '[' {
		section = strings.Join(strings.Fields(strings.Trim(line, "[]")), " ")
		x.record(location{section: section}, number, "duplicate "+sectionKind(section))
		return section
	}
	key, _, found := strings.Cut(line, "=")
	if !found {
		x.errs = append(x.errs, x.newError(section, "", number, "neither a section nor key = value: "+line))
		return section
	}
	x.record(location{section, strings.TrimSpace(key)}, number, "duplicate key")
	return section
}

// record stores the line number of a location. If the location already has one,
// it adds an error that starts with duplicateReason instead.
func (x *lineIndex) record(loc location, number int, duplicateReason string) {
	if first, found := x.lines[loc]; found {
		reason := fmt.Sprintf("%s, first on line %d", duplicateReason, first)
		x.errs = append(x.errs, x.newError(loc.section, loc.key, number, reason))
		return
	}
	x.lines[loc] = number
}

func (x *lineIndex) newError(section, key string, line int, reason string) *ValidationError {
	return &ValidationError{Source: x.source, Line: line, Section: section, Key: key, Reason: reason}
}

// locate sets the source of an error and, if not set yet, its line: that of its
// key, or that of its section if the key does not occur in the file.
func (x *lineIndex) locate(e *ValidationError) {
	e.Source = x.source
	if e.Line != 0 {
		return
	}
	line, found := x.lines[location{e.Section, e.Key}]
	if !found {
		line = x.lines[location{section: e.Section}]
	}
	e.Line = line
}

// Lines holds the line numbers of the sections and keys of a parsed file.
type Lines struct{ index *lineIndex }

// Locate sets the source and the line of an error in the file.
func (l *Lines) Locate(e *ValidationError) { l.index.locate(e) }

func sectionKind(section string) string {
	kind, _, _ := strings.Cut(section, " ")
	return kind
}
