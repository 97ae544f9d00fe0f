package table

import (
	"net/http"
	"strings"
)

// overlaps finds routes of equal priority that some request would match both.
// Routes that name a model or an organisation are compared only with those that
// could share it.
func overlaps(routes map[string]Route) ValidationErrors {
	index := newOverlapIndex()
	var faults ValidationErrors
	for _, name := range sortedNames(routes) {
		route := routes[name]
		for _, other := range index.candidates(&route) {
			if other.Match.overlaps(route.Match) {
				faults = append(faults, overlapFault(route.Name, other.Name))
			}
		}
		index.add(&route)
	}
	return faults
}

func overlapFault(name, other string) *ValidationError {
	reason := "overlaps with route " + other + " at the same priority"
	return &ValidationError{Section: sectionRoute + " " + name, Key: "priority", Reason: reason}
}

// overlapKey groups routes by priority and one field's value.
type overlapKey struct {
	priority int
	value    string
}

type overlapIndex struct {
	all            map[int][]*Route
	byModel        map[overlapKey][]*Route
	byOrganisation map[overlapKey][]*Route
}

func newOverlapIndex() *overlapIndex {
	return &overlapIndex{
		all:            map[int][]*Route{},
		byModel:        map[overlapKey][]*Route{},
		byOrganisation: map[overlapKey][]*Route{},
	}
}

func (x *overlapIndex) add(route *Route) {
	model := overlapKey{route.Priority, route.Match.Model}
	organisation := overlapKey{route.Priority, route.Match.Organisation}
	x.all[route.Priority] = append(x.all[route.Priority], route)
	x.byModel[model] = append(x.byModel[model], route)
	x.byOrganisation[organisation] = append(x.byOrganisation[organisation], route)
}

// candidates returns a set that holds every earlier route that may overlap.
func (x *overlapIndex) candidates(route *Route) []*Route {
	found := x.all[route.Priority]
	found = fewer(found, x.byModel, route.Priority, route.Match.Model)
	return fewer(found, x.byOrganisation, route.Priority, route.Match.Organisation)
}

func fewer(found []*Route, index map[overlapKey][]*Route, priority int, value string) []*Route {
	if value == "" {
		return found
	}
	same := index[overlapKey{priority, value}]
	open := index[overlapKey{priority, ""}]
	if len(same)+len(open) >= len(found) {
		return found
	}
	both := make([]*Route, 0, len(same)+len(open))
	return append(append(both, same...), open...)
}

// overlaps tells whether some request matches both.
func (m Match) overlaps(other Match) bool {
	if !compatible(m.Host, other.Host) || !compatible(m.Model, other.Model) || !compatible(m.Organisation, other.Organisation) {
		return false
	}
	if !compatible(string(m.Class), string(other.Class)) {
		return false
	}
	sameHeader := http.CanonicalHeaderKey(m.HeaderName) == http.CanonicalHeaderKey(other.HeaderName)
	if sameHeader && m.HeaderValue != other.HeaderValue {
		return false
	}
	return hasPathPrefix(m.Path, other.Path) || hasPathPrefix(other.Path, m.Path)
}

func compatible(a, b string) bool { return a == "" || b == "" || a == b }

// hasPathPrefix tells whether path lies under prefix, on whole segments.
func hasPathPrefix(path, prefix string) bool {
	if prefix == "" || prefix == "/" {
		return true
	}
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}
