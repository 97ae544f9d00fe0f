package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/table"
)

// TestMixedUrgency guards against targets that are sent urgencies, or entries that keep slots
// free, where all requests of a service are equally urgent.
func TestMixedUrgency(t *testing.T) {
	route := func(service string, urgency int) table.Route {
		return table.Route{Direct: &table.Direct{Urgency: urgency, Split: []table.PoolShare{{Pool: service, Weight: 1}}}}
	}
	urgent, usual := 0, 2
	mixed := func(organisation table.Organisation) map[string]bool {
		v := &Version{
			Routes: table.CompileUnchecked(&table.Table{
				Routes:        map[string]table.Route{"a": route("streams", 0), "b": route("streams", 1), "c": route("orders", 2), "d": route("orders", 2)},
				Organisations: map[string]table.Organisation{"o": organisation},
			}),
			Services: map[string]*Service{"streams": {}, "orders": {}, "unused": {}},
		}
		v.SetMixedUrgency()
		found := map[string]bool{}
		for name, service := range v.Services {
			if service.MixedUrgency {
				found[name] = true
			}
		}
		return found
	}
	require.Equal(t, map[string]bool{"streams": true}, mixed(table.Organisation{}))
	require.Equal(t, map[string]bool{"streams": true}, mixed(table.Organisation{Urgency: &usual}))
	require.Equal(t, map[string]bool{"streams": true, "orders": true}, mixed(table.Organisation{Urgency: &urgent}))
}
