package table

import (
	"net/http"
	"strings"
)

// checkOverlaps returns an error for each pair of routes of equal priority that a
// single request can match. A route that sets a model or an organisation is
// compared only with routes that set the same one or none.
func checkOverlaps(routes map[string]Route) ValidationErrors {
	index := newOverlapIndex()
	var errs ValidationErrors
	for _, name := range sortedNames(routes) {
		route := routes[name]
		for _, other := range index.candidates(&route) {
			if other.Match.overlaps(route.Match) {
				errs = append(errs, overlapError(route.Name, other.Name))
			}
		}
		index.add(&route)
	}
	return errs
}

func overlapError(name, other string) *ValidationError {
	reason := "overlaps with route " + other + " at the same priority"
	return &ValidationError{Section: sectionRoute + " " + name, Key: "priority", Reason: reason}
}

// overlapKey identifies the routes of one priority with one value of a match
// field; the value is empty for routes that do not set the field.
type overlapKey struct {
	priority int
	value    string
}

// overlapIndex holds the routes checked so far: by priority, by priority and model,
// and by priority and organisation.
type overlapIndex struct {
	byPriority     map[int][]*Route
	byModel        map[overlapKey][]*Route
	byOrganisation map[overlapKey][]*Route
}

func newOverlapIndex() *overlapIndex {
	return &overlapIndex{
		byPriority:     map[int][]*Route{},
		byModel:        map[overlapKey][]*Route{},
		byOrganisation: map[overlapKey][]*Route{},
	}
}

func (x *overlapIndex) add(route *Route) {
	model := overlapKey{route.Priority, route.Match.Model}
	organisation := overlapKey{route.Priority, route.Match.Organisation}
	x.byPriority[route.Priority] = append(x.byPriority[route.Priority], route)
	x.byModel[model] = append(x.byModel[model], route)
	x.byOrganisation[organisation] = append(x.byOrganisation[organisation], route)
}

// candidates returns a superset of the indexed routes that overlap with route.
func (x *overlapIndex) candidates(route *Route) []*Route {
	found := x.byPriority[route.Priority]
	found = shorterList(found, x.byModel, route.Priority, route.Match.Model)
	return shorterList(found, x.byOrganisation, route.Priority, route.Match.Organisation)
}

// shorterList returns the routes of a priority that set the index's match field to
// value or leave it empty. It returns found if found is not longer than that or
// value is empty.
func shorterList(found []*Route, index map[overlapKey][]*Route, priority int, value string) []*Route {
	if value == "" {
		return found
	}
	same := index[overlapKey{priority, value}]
	unset := index[overlapKey{priority, ""}]
	if len(same)+len(unset) >= len(found) {
		return found
	}
	both := make([]*Route, 0, len(same)+len(unset))
	return append(append(both, same...), unset...)
}

// overlaps reports whether some request can match both m and other.
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

// compatible reports whether one request can match both values of a match field;
// an empty value matches anything.
func compatible(a, b string) bool { return a == "" || b == "" || a == b }

// hasPathPrefix reports whether path starts with prefix, compared by whole segments.
func hasPathPrefix(path, prefix string) bool {
	if prefix == "" || prefix == "/" {
		return true
	}
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}
