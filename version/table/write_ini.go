package table

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteINI writes the table as INI text that Parse accepts, with the sections of
// each kind sorted by name. The version is written as a comment only. It fails
// with the error of w.
func (t *Table) WriteINI(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "; verbenaseam tables, version %d\n", t.Version)
	writeSections(out, sectionDomain, t.Domains, domainFields)
	writeSections(out, sectionTarget, t.Targets, targetFields)
	writeSections(out, sectionPool, t.Pools, poolFields)
	writeSections(out, sectionRoute, t.Routes, routeFields)
	writeSections(out, sectionOrganisation, t.Organisations, organisationFields)
	return out.Flush()
}

// writeSections ignores write errors: bufio.Writer keeps the first one and returns
// it from Flush.
func writeSections[T any](out *bufio.Writer, kind string, entries map[string]T, fields []field[T]) {
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		entry := entries[name]
		fmt.Fprintf(out, "\n[%s %s]\n", kind, name)
		for _, f := range fields {
			if value := f.get(&entry); value != "" {
				fmt.Fprintf(out, "%s = %s\n", f.key, value)
			}
		}
	}
}
