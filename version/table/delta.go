package table

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Changes lists the entries of one kind that differ between two table versions.
type Changes[T any] struct {
	// Put holds new and changed entries, sorted by name.
	Put []T `cbor:"1,keyasint,omitempty"`
	// Delete holds the names of removed entries, sorted.
	Delete []string `cbor:"2,keyasint,omitempty"`
}

// Delta is the difference between two versions of a table.
type Delta struct {
	// From is the version the delta applies to, To the version it produces.
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`

	Routes        Changes[Route]         `cbor:"3,keyasint,omitzero"`
	Pools         Changes[Pool]          `cbor:"4,keyasint,omitzero"`
	Targets       Changes[Target]        `cbor:"5,keyasint,omitzero"`
	Domains       Changes[FailureDomain] `cbor:"6,keyasint,omitzero"`
	Organisations Changes[Organisation]  `cbor:"7,keyasint,omitzero"`
}

func routeName(r Route) string               { return r.Name }
func poolName(p Pool) string                 { return p.Name }
func targetName(t Target) string             { return t.Name }
func domainName(d FailureDomain) string      { return d.Name }
func organisationName(o Organisation) string { return o.Name }

// Diff returns the delta that turns a into b.
func Diff(a, b *Table) Delta {
	return Delta{
		From:          a.Version,
		To:            b.Version,
		Routes:        diffEntries(a.Routes, b.Routes),
		Pools:         diffEntries(a.Pools, b.Pools),
		Targets:       diffEntries(a.Targets, b.Targets),
		Domains:       diffEntries(a.Domains, b.Domains),
		Organisations: diffEntries(a.Organisations, b.Organisations),
	}
}

func diffEntries[T any](a, b map[string]T) Changes[T] {
	var changes Changes[T]
	// Apply shares unchanged maps between versions; such a map has no differences.
	if reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer() {
		return changes
	}
	var put []string
	for name, entry := range b {
		before, found := a[name]
		if !found || !reflect.DeepEqual(before, entry) {
			put = append(put, name)
		}
	}
	slices.Sort(put)
	for _, name := range put {
		changes.Put = append(changes.Put, b[name])
	}
	for name := range a {
		if _, found := b[name]; !found {
			changes.Delete = append(changes.Delete, name)
		}
	}
	slices.Sort(changes.Delete)
	return changes
}

// Empty reports whether the delta changes no entry. Its versions may differ.
func (d Delta) Empty() bool {
	return !d.affectsPools() && d.Routes.empty() && d.Organisations.empty()
}

// affectsPools reports whether compiled pools must be rebuilt.
func (d Delta) affectsPools() bool {
	return !d.Pools.empty() || !d.Targets.empty() || !d.Domains.empty()
}

func (c Changes[T]) empty() bool { return len(c.Put) == 0 && len(c.Delete) == 0 }

func (c Changes[T]) names(nameOf func(T) string) []string {
	names := slices.Clone(c.Delete)
	for _, entry := range c.Put {
		names = append(names, nameOf(entry))
	}
	return names
}

// Apply returns a new table at version To and leaves t unchanged. Entry maps
// without changes are shared with t. It fails with BaseMismatchError unless t is
// at version From.
func (d Delta) Apply(t *Table) (*Table, error) {
	if t.Version != d.From {
		return nil, &BaseMismatchError{Have: t.Version, Want: d.From}
	}
	return &Table{
		Version:       d.To,
		Routes:        applyChanges(t.Routes, d.Routes, routeName),
		Pools:         applyChanges(t.Pools, d.Pools, poolName),
		Targets:       applyChanges(t.Targets, d.Targets, targetName),
		Domains:       applyChanges(t.Domains, d.Domains, domainName),
		Organisations: applyChanges(t.Organisations, d.Organisations, organisationName),
	}, nil
}

func applyChanges[T any](entries map[string]T, changes Changes[T], nameOf func(T) string) map[string]T {
	if changes.empty() {
		return entries
	}
	next := maps.Clone(entries)
	if next == nil {
		next = map[string]T{}
	}
	for _, name := range changes.Delete {
		delete(next, name)
	}
	for _, entry := range changes.Put {
		next[nameOf(entry)] = entry
	}
	return next
}

// Describe returns a human-readable description of the delta, one line per changed
// entry.
func (d Delta) Describe() []string {
	lines := []string{}
	lines = appendLines(lines, sectionDomain, d.Domains, domainName, domainFields)
	lines = appendLines(lines, sectionTarget, d.Targets, targetName, targetFields)
	lines = appendLines(lines, sectionPool, d.Pools, poolName, poolFields)
	lines = appendLines(lines, sectionRoute, d.Routes, routeName, routeFields)
	return appendLines(lines, sectionOrganisation, d.Organisations, organisationName, organisationFields)
}

func appendLines[T any](lines []string, kind string, changes Changes[T], nameOf func(T) string, fields []field[T]) []string {
	for _, name := range changes.Delete {
		lines = append(lines, fmt.Sprintf("- [%s %s]", kind, name))
	}
	for _, entry := range changes.Put {
		line := fmt.Sprintf("+ [%s %s]", kind, nameOf(entry))
		for _, f := range fields {
			if value := f.get(&entry); value != "" {
				line += " " + f.key + "=" + value
			}
		}
		lines = append(lines, line)
	}
	return lines
}
