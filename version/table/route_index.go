package table

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
)

// Query is what routing looks at in a request.
type Query struct {
	// Host is in lower case and without a port.
	Host         string
	Path         string
	Model        string
	Organisation string
	// Class is the class the caller asked for; empty if it named none.
	Class Class
	// Header returns a header's first value by canonical name; nil means that
	// the request has none.
	Header func(name string) string
}

// routeIndex finds the route of highest priority for a query. It is immutable.
type routeIndex struct {
	groups map[routeGroupKey]*routeGroup
}

// routeGroupKey is the host, model and organisation that a group's routes name.
type routeGroupKey struct{ host, model, organisation string }

// routeGroup holds the routes that name the same host, model and organisation.
type routeGroup struct {
	// members are the group's routes by name.
	members map[string]*Route
	// top is the highest priority in the group.
	top int
	// anyPath holds the routes without a path.
	anyPath *routeSet
	byPath  map[string]*routeSet
	// deepest is the largest number of segments of a path in byPath.
	deepest int
}

// routeSet holds the routes of one group and path.
type routeSet struct {
	// plain holds the routes that name no header, highest priority first.
	plain   []*Route
	headers []headerSet
}

// headerSet holds the routes that name one header, by its value.
type headerSet struct {
	name    string
	byValue map[string][]*Route
}

func newRouteIndex(routes map[string]Route) *routeIndex {
	members := map[routeGroupKey]map[string]*Route{}
	for name := range routes {
		route := routes[name]
		key := groupKeyOf(route)
		if members[key] == nil {
			members[key] = map[string]*Route{}
		}
		members[key][name] = &route
	}
	index := &routeIndex{groups: make(map[routeGroupKey]*routeGroup, len(members))}
	for key, group := range members {
		index.groups[key] = newRouteGroup(group)
	}
	return index
}

// with returns an index after changes of the given routes; groups without a
// changed route are shared.
func (x *routeIndex) with(before, after map[string]Route, changed []string) *routeIndex {
	members := map[routeGroupKey]map[string]*Route{}
	own := func(key routeGroupKey) map[string]*Route {
		if members[key] == nil {
			members[key] = map[string]*Route{}
			if group := x.groups[key]; group != nil {
				members[key] = maps.Clone(group.members)
			}
		}
		return members[key]
	}
	for _, name := range changed {
		if old, found := before[name]; found {
			delete(own(groupKeyOf(old)), name)
		}
		if route, found := after[name]; found {
			own(groupKeyOf(route))[name] = &route
		}
	}
	next := &routeIndex{groups: maps.Clone(x.groups)}
	for key, group := range members {
		next.groups[key] = newRouteGroup(group)
		if len(group) == 0 {
			delete(next.groups, key)
		}
	}
	return next
}

func groupKeyOf(route Route) routeGroupKey {
	return routeGroupKey{route.Match.Host, route.Match.Model, route.Match.Organisation}
}

func newRouteGroup(members map[string]*Route) *routeGroup {
	group := &routeGroup{top: math.MinInt, members: members, byPath: map[string]*routeSet{}}
	for _, name := range sortedNames(members) {
		route := members[name]
		group.top = max(group.top, route.Priority)
		group.setOf(route.Match.Path).add(route)
	}
	return group
}

func (g *routeGroup) setOf(path string) *routeSet {
	if path == "" || path == "/" {
		if g.anyPath == nil {
			g.anyPath = &routeSet{}
		}
		return g.anyPath
	}
	set := g.byPath[path]
	if set == nil {
		set = &routeSet{}
		g.byPath[path] = set
		g.deepest = max(g.deepest, strings.Count(path, "/"))
	}
	return set
}

func (s *routeSet) add(route *Route) {
	if route.Match.HeaderName == "" {
		s.plain = insertByPriority(s.plain, route)
		return
	}
	name := http.CanonicalHeaderKey(route.Match.HeaderName)
	at := slices.IndexFunc(s.headers, func(one headerSet) bool { return one.name == name })
	if at < 0 {
		at = len(s.headers)
		s.headers = append(s.headers, headerSet{name: name, byValue: map[string][]*Route{}})
	}
	byValue := s.headers[at].byValue
	byValue[route.Match.HeaderValue] = insertByPriority(byValue[route.Match.HeaderValue], route)
}

func insertByPriority(routes []*Route, route *Route) []*Route {
	at := 0
	for at < len(routes) && routes[at].Priority >= route.Priority {
		at++
	}
	return slices.Insert(routes, at, route)
}

// find returns the matching route of highest priority, nil if there is none.
func (x *routeIndex) find(query *Query) *Route {
	best := x.findForHost(query.Host, query, nil)
	if query.Host != "" {
		best = x.findForHost("", query, best)
	}
	return best
}

// findForHost looks at the routes that name the host, or none for "".
func (x *routeIndex) findForHost(host string, query *Query, best *Route) *Route {
	best = x.findIn(routeGroupKey{host, query.Model, query.Organisation}, query, best)
	if query.Organisation != "" {
		best = x.findIn(routeGroupKey{host, query.Model, ""}, query, best)
	}
	if query.Model != "" {
		best = x.findIn(routeGroupKey{host, "", query.Organisation}, query, best)
	}
	if query.Model != "" && query.Organisation != "" {
		best = x.findIn(routeGroupKey{host, "", ""}, query, best)
	}
	return best
}

func (x *routeIndex) findIn(key routeGroupKey, query *Query, best *Route) *Route {
	group := x.groups[key]
	if group == nil || best != nil && best.Priority >= group.top {
		return best
	}
	if group.anyPath != nil {
		best = group.anyPath.find(query, best)
	}
	end := 0
	for depth := 0; depth < group.deepest && end < len(query.Path); depth++ {
		end = nextSegment(query.Path, end)
		if set := group.byPath[query.Path[:end]]; set != nil {
			best = set.find(query, best)
		}
		if end == len(query.Path) {
			break
		}
		if set := group.byPath[query.Path[:end+1]]; set != nil {
			best = set.find(query, best)
		}
	}
	return best
}

// nextSegment returns where the path's segment that starts at from ends.
func nextSegment(path string, from int) int {
	next := strings.IndexByte(path[from+1:], '/')
	if next < 0 {
		return len(path)
	}
	return from + 1 + next
}

func (s *routeSet) find(query *Query, best *Route) *Route {
	best = firstOfClass(s.plain, query.Class, best)
	if query.Header == nil {
		return best
	}
	for at := range s.headers {
		value := query.Header(s.headers[at].name)
		best = firstOfClass(s.headers[at].byValue[value], query.Class, best)
	}
	return best
}

func firstOfClass(routes []*Route, class Class, best *Route) *Route {
	for _, route := range routes {
		if best != nil && best.Priority >= route.Priority {
			return best
		}
		if route.Match.Class == "" || route.Match.Class == class {
			return route
		}
	}
	return best
}
