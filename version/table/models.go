package table

import (
	"maps"
	"slices"
)

// Models returns the models that requests of the organisation can name, sorted.
// It scans every route, so it must not be called for each proxied request.
func (s *Snapshot) Models(organisation string) []string {
	names := map[string]bool{}
	for _, route := range s.table.Routes {
		allowed := route.Match.Organisation == "" || route.Match.Organisation == organisation
		if allowed && route.Match.Model != "" && s.table.Pools[route.Pool].Kind == KindModel {
			names[route.Match.Model] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
