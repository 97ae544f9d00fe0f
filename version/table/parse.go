package table

import (
	"io"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Parse reads a table from INI text and validates it. The version of the table is
// 0. It fails with ReadError, or with ValidationErrors that hold every error found.
func Parse(r io.Reader, source string) (*Table, error) {
	parsed, _, err := ParseWithLines(r, source)
	return parsed, err
}

// ParseWithLines is Parse with the line numbers of the sections and keys.
func ParseWithLines(r io.Reader, source string) (*Table, *Lines, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, nil, &ReadError{Source: source, Cause: err}
	}
	file, err := ini.LoadSources(iniOptions(), text)
	if err != nil {
		return nil, nil, ValidationErrors{{Source: source, Line: 1, Reason: err.Error()}}
	}
	index := newLineIndex(string(text), source)
	decoder := &decoder{table: New(), errs: index.errs}
	for _, section := range file.Sections() {
		decoder.decodeSection(section)
	}
	errs := append(decoder.errs, validate(decoder.table)...)
	for _, e := range errs {
		index.locate(e)
	}
	slices.SortStableFunc(errs, func(a, b *ValidationError) int { return a.Line - b.Line })
	if len(errs) > 0 {
		return nil, nil, errs
	}
	return decoder.table, &Lines{index: index}, nil
}

func iniOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:          true,
		IgnoreInlineComment:         true,
		KeyValueDelimiters:          "=",
		ChildSectionDelimiter:       "\x00",
		SkipUnrecognizableLines:     true,
		SpaceBeforeInlineComment:    true,
		UnescapeValueCommentSymbols: false,
	}
}

// New returns an empty table at version 0.
func New() *Table {
	return &Table{
		Routes:        map[string]Route{},
		Pools:         map[string]Pool{},
		Targets:       map[string]Target{},
		Domains:       map[string]FailureDomain{},
		Organisations: map[string]Organisation{},
	}
}

// decoder converts INI sections into table entries and collects the errors.
type decoder struct {
	table *Table
	errs  ValidationErrors
}

func (d *decoder) decodeSection(section *ini.Section) {
	words := strings.Fields(section.Name())
	title := strings.Join(words, " ")
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			d.addError("", key.Name(), "key outside any section")
		}
		return
	}
	if len(words) != 2 {
		d.addError(title, "", "section header must be of the form [kind NAME]")
		return
	}
	d.decodeEntry(words[0], words[1], title, section)
}

func (d *decoder) decodeEntry(kind, name, title string, section *ini.Section) {
	switch kind {
	case sectionRoute:
		route := Route{Name: name, Timeout: defaultTimeout, Class: ClassNormal}
		decodeFields(d, title, section, routeFields, &route)
		d.table.Routes[name] = route
	case sectionPool:
		pool := Pool{Name: name, Policy: defaultPolicy}
		decodeFields(d, title, section, poolFields, &pool)
		d.table.Pools[name] = pool
	case sectionTarget:
		target := Target{Name: name}
		decodeFields(d, title, section, targetFields, &target)
		d.table.Targets[name] = target
	case sectionDomain:
		domain := FailureDomain{Name: name}
		decodeFields(d, title, section, domainFields, &domain)
		d.table.Domains[name] = domain
	case sectionOrganisation:
		organisation := Organisation{Name: name}
		decodeFields(d, title, section, organisationFields, &organisation)
		d.table.Organisations[name] = organisation
	default:
		d.addError(title, "", "unknown section kind: "+kind)
	}
}

func decodeFields[T any](d *decoder, title string, section *ini.Section, fields []field[T], entry *T) {
	for _, key := range section.Keys() {
		f, found := fieldByKey(fields, key.Name())
		if !found {
			d.addError(title, key.Name(), "unknown key; valid keys: "+strings.Join(fieldKeys(fields), ", "))
			continue
		}
		if reason := f.set(entry, key.Value()); reason != "" {
			d.addError(title, key.Name(), reason)
		}
	}
}

func (d *decoder) addError(section, key, reason string) {
	d.errs = append(d.errs, &ValidationError{Section: section, Key: key, Reason: reason})
}
