package table

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRoutingDoesNotAllocate(t *testing.T) {
	base := New()
	base.Pools["p"] = Pool{Name: "p", Kind: KindModel, ColdLimit: 1, Maximum: 1, Fencing: FencingIgnored, Policy: "p2c"}
	base.Organisations["o"] = Organisation{Name: "o", KeyHashes: []string{"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}}
	base.Routes["r"] = Route{Name: "r", Pool: "p", Timeout: 1, Class: ClassLow, Match: Match{Path: "/v1/chat", Model: "m", HeaderName: "X-A", HeaderValue: "1"}}
	snapshot, err := Compile(base)
	require.NoError(t, err)
	query := Query{Path: "/v1/chat/completions", Model: "m", Organisation: "o", Header: func(string) string { return "1" }}
	allocations := testing.AllocsPerRun(1000, func() {
		if _, found := snapshot.Route(query); !found {
			t.Error("no route")
		}
		if _, found := snapshot.OrganisationByKey("foo"); !found {
			t.Error("no organisation")
		}
	})
	require.Zero(t, allocations)
}
