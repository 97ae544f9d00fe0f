package table

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
)

// Query holds the properties of a request that routing depends on.
type Query struct {
	// Host is in lower case and without a port.
	Host         string
	Path         string
	Model        string
	Organisation string
	// Class is the class that the caller asked for; empty if it named none.
	Class Class
	// Header returns the first value of a header, given its canonical name. Nil
	// means that the request has no headers.
	Header func(name string) string
}

// routeIndex finds the route of highest priority for a query. It is immutable.
type routeIndex struct {
	groups map[routeGroupKey]*routeGroup
}

// routeGroupKey is the host, model and organisation that the routes of a group
// match; an empty field matches anything.
type routeGroupKey struct{ host, model, organisation string }

// routeGroup holds the routes with the same host, model and organisation.
type routeGroup struct {
	// members holds the group's routes by name.
	members map[string]*Route
	// maxPriority is the highest priority in the group.
	maxPriority int
	// anyPath holds the routes that match any path.
	anyPath *routeSet
	byPath  map[string]*routeSet
	// maxDepth is the largest number of segments of a path in byPath.
	maxDepth int
}

// routeSet holds the routes of one group with the same path.
type routeSet struct {
	// withoutHeader holds the routes without a header condition, highest priority
	// first.
	withoutHeader []*Route
	headers       []headerSet
}

// headerSet holds the routes with a condition on one header, by the value that the
// header must have; each list is sorted by descending priority.
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

// withChanges returns the index of the routes in after, where x is the index of
// those in before and changed holds the names of the routes that differ. It shares
// groups without a changed route with x.
func (x *routeIndex) withChanges(before, after map[string]Route, changed []string) *routeIndex {
	members := map[routeGroupKey]map[string]*Route{}
	mutableGroup := func(key routeGroupKey) map[string]*Route {
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
			delete(mutableGroup(groupKeyOf(old)), name)
		}
		if route, found := after[name]; found {
			mutableGroup(groupKeyOf(route))[name] = &route
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
	group := &routeGroup{maxPriority: math.MinInt, members: members, byPath: map[string]*routeSet{}}
	for _, name := range sortedNames(members) {
		route := members[name]
		group.maxPriority = max(group.maxPriority, route.Priority)
		group.setForPath(route.Match.Path).add(route)
	}
	return group
}

// setForPath returns the route set of the path and creates it if needed.
func (g *routeGroup) setForPath(path string) *routeSet {
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
		g.maxDepth = max(g.maxDepth, strings.Count(path, "/"))
	}
	return set
}

func (s *routeSet) add(route *Route) {
	if route.Match.HeaderName == "" {
		s.withoutHeader = insertByPriority(s.withoutHeader, route)
		return
	}
	name := http.CanonicalHeaderKey(route.Match.HeaderName)
	i := slices.IndexFunc(s.headers, func(h headerSet) bool { return h.name == name })
	if i < 0 {
		i = len(s.headers)
		s.headers = append(s.headers, headerSet{name: name, byValue: map[string][]*Route{}})
	}
	byValue := s.headers[i].byValue
	byValue[route.Match.HeaderValue] = insertByPriority(byValue[route.Match.HeaderValue], route)
}

// insertByPriority inserts a route into a list sorted by descending priority,
// after the routes of equal priority.
func insertByPriority(routes []*Route, route *Route) []*Route {
	i := 0
	for i < len(routes) && routes[i].Priority >= route.Priority {
		i++
	}
	return slices.Insert(routes, i, route)
}

// find returns the matching route of highest priority, or nil if none matches.
func (x *routeIndex) find(query *Query) *Route {
	best := x.findForHost(query.Host, query, nil)
	if query.Host != "" {
		best = x.findForHost("", query, best)
	}
	return best
}

// findForHost searches the routes that match the given host, or those without a
// host if it is empty. It returns best unless a matching route has a higher
// priority; so do findInGroup and routeSet.find.
func (x *routeIndex) findForHost(host string, query *Query, best *Route) *Route {
	best = x.findInGroup(routeGroupKey{host, query.Model, query.Organisation}, query, best)
	if query.Organisation != "" {
		best = x.findInGroup(routeGroupKey{host, query.Model, ""}, query, best)
	}
	if query.Model != "" {
		best = x.findInGroup(routeGroupKey{host, "", query.Organisation}, query, best)
	}
	if query.Model != "" && query.Organisation != "" {
		best = x.findInGroup(routeGroupKey{host, "", ""}, query, best)
	}
	return best
}

// findInGroup looks up every prefix of the query's path that ends at a segment
// boundary, with and without the trailing slash, up to the group's depth.
func (x *routeIndex) findInGroup(key routeGroupKey, query *Query, best *Route) *Route {
	group := x.groups[key]
	if group == nil || best != nil && best.Priority >= group.maxPriority {
		return best
	}
	if group.anyPath != nil {
		best = group.anyPath.find(query, best)
	}
	end := 0
	for depth := 0; depth < group.maxDepth && end < len(query.Path); depth++ {
		end = segmentEnd(query.Path, end)
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

// segmentEnd returns the end of the path segment whose leading slash is at from.
func segmentEnd(path string, from int) int {
	next := strings.IndexByte(path[from+1:], '/')
	if next < 0 {
		return len(path)
	}
	return from + 1 + next
}

func (s *routeSet) find(query *Query, best *Route) *Route {
	best = firstOfClass(s.withoutHeader, query.Class, best)
	if query.Header == nil {
		return best
	}
	for i := range s.headers {
		value := query.Header(s.headers[i].name)
		best = firstOfClass(s.headers[i].byValue[value], query.Class, best)
	}
	return best
}

// firstOfClass returns the first route that matches the class and has a higher
// priority than best, or else best. The routes are sorted by descending priority.
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
