package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawTable generates a small valid table whose routes often overlap. It skips
// routes that would make the table invalid.
func drawTable(t *rapid.T) *Table {
	drawn := New()
	for _, name := range []string{"d1", "d2"} {
		drawn.Domains[name] = FailureDomain{Name: name, Out: rapid.Bool().Draw(t, "out")}
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "targets") {
		name := fmt.Sprintf("t%d", i)
		domain := rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain")
		drawn.Targets[name] = Target{Name: name, Agent: "127.0.0.1:70", FailureDomain: domain, Leaving: rapid.Bool().Draw(t, "leaving")}
	}
	for _, name := range []string{"p1", "p2"} {
		pool := Pool{Name: name, Kind: KindModel, ColdLimit: 1, Maximum: 4, Fencing: FencingIgnored, Policy: "p2c"}
		pool.Targets = rapid.SliceOfDistinct(rapid.SampledFrom(sortedNames(drawn.Targets)), rapid.ID[string]).Draw(t, "members")
		if len(pool.Targets) == 0 {
			pool.Targets = nil
		}
		pool.LockStep = len(pool.Targets) > 0 && name == "p1" && rapid.Bool().Draw(t, "lock step")
		pool.Rebalance = pool.LockStep && rapid.Bool().Draw(t, "rebalance")
		drawn.Pools[name] = pool
	}
	for _, name := range []string{"o1", "o2"} {
		sum := sha256.Sum256([]byte(name + rapid.SampledFrom([]string{"", "x"}).Draw(t, "key")))
		drawn.Organisations[name] = Organisation{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}}
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
		route := drawRoute(t, fmt.Sprintf("r%d", i))
		drawn.Routes[route.Name] = route
		if drawn.Validate() != nil {
			delete(drawn.Routes, route.Name)
		}
	}
	return drawn
}

func drawRoute(t *rapid.T, name string) Route {
	route := Route{
		Name:     name,
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		Pool:     rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "pool"),
		Timeout:  time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond,
		Class:    ClassNormal,
		Match: Match{
			Path:         rapid.SampledFrom([]string{"", "/", "/v1", "/v1/chat", "/v1/chat/x", "/v12"}).Draw(t, "path"),
			Model:        rapid.SampledFrom([]string{"", "m1", "m2"}).Draw(t, "model"),
			Organisation: rapid.SampledFrom([]string{"", "o1", "o2"}).Draw(t, "organisation"),
			Class:        rapid.SampledFrom([]Class{"", ClassLow, ClassHigh}).Draw(t, "class"),
		},
	}
	if rapid.Bool().Draw(t, "header") {
		route.Match.HeaderName = rapid.SampledFrom([]string{"X-A", "X-B"}).Draw(t, "name")
		route.Match.HeaderValue = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
	}
	return route
}

// matches reports whether a query meets a route's conditions. It is the reference
// implementation that the route index is tested against. It ignores the host,
// which drawRoute does not set.
func matches(m Match, q Query) bool {
	header := m.HeaderName == "" || q.Header != nil && q.Header(m.HeaderName) == m.HeaderValue
	return header && hasPathPrefix(q.Path, m.Path) &&
		(m.Model == "" || m.Model == q.Model) &&
		(m.Organisation == "" || m.Organisation == q.Organisation) &&
		(m.Class == "" || m.Class == q.Class)
}

func TestRouteIndexAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawTable(t)
		snapshot, err := Compile(drawn)
		require.NoError(t, err)
		headers := map[string]string{"X-A": rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "a"),
			"X-B": rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "b")}
		query := Query{
			Path:         rapid.SampledFrom([]string{"", "/", "/v1", "/v1/", "/v1/chat", "/v1/chat/x/y", "/v12", "/other"}).Draw(t, "qpath"),
			Model:        rapid.SampledFrom([]string{"", "m1", "m2", "m3"}).Draw(t, "qmodel"),
			Organisation: rapid.SampledFrom([]string{"", "o1", "o2"}).Draw(t, "qorg"),
			Class:        rapid.SampledFrom([]Class{"", ClassLow, ClassNormal, ClassHigh}).Draw(t, "qclass"),
			Header:       func(name string) string { return headers[name] },
		}
		want := ""
		best := -1
		for _, name := range sortedNames(drawn.Routes) {
			route := drawn.Routes[name]
			if matches(route.Match, query) {
				require.NotEqual(t, best, route.Priority, "validation accepted two matching routes of equal priority")
				if route.Priority > best {
					want, best = name, route.Priority
				}
			}
		}
		got, found := snapshot.Route(query)
		require.Equal(t, want != "", found)
		if found {
			require.Equal(t, want, got.Name)
		}
	})
}

func TestDiffEncodeApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTable(t), drawTable(t)
		a.Version, b.Version = 7, 8
		body, err := EncodeDelta(Diff(a, b))
		require.NoError(t, err)
		delta, err := DecodeDelta(body)
		require.NoError(t, err)
		got, err := delta.Apply(a)
		require.NoError(t, err)
		require.Equal(t, b, got)
		_, err = delta.Apply(b)
		require.ErrorAs(t, err, new(*BaseMismatchError))
	})
}

func TestAdvanceEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTable(t), drawTable(t)
		b.Version = 1
		before, err := Compile(a)
		require.NoError(t, err)
		got, err := before.Advance(Diff(a, b))
		require.NoError(t, err)
		want, err := Compile(b)
		require.NoError(t, err)
		require.Equal(t, want.pools, got.pools)
		require.Equal(t, want.targets, got.targets)
		require.Equal(t, want.Models("o1"), got.Models("o1"))
		require.Equal(t, want.routes, got.routes)
		for _, key := range []string{"o1", "o1x", "o2", "o2x", "none"} {
			wantOrganisation, wantFound := want.OrganisationByKey(key)
			gotOrganisation, gotFound := got.OrganisationByKey(key)
			require.Equal(t, wantFound, gotFound, key)
			require.Equal(t, wantOrganisation, gotOrganisation, key)
		}
	})
}

func TestDomainOutOrTargetLeavingMakesTargetUnusable(t *testing.T) {
	base := New()
	base.Domains["d1"] = FailureDomain{Name: "d1"}
	base.Targets["t1"] = Target{Name: "t1", Agent: "127.0.0.1:1", FailureDomain: "d1"}
	base.Pools["p1"] = Pool{Name: "p1", Kind: KindModel, Targets: []string{"t1"}, ColdLimit: 1, Maximum: 1, Fencing: FencingIgnored, Policy: "p2c"}
	out, err := WithDomainOut(base, "d1", true)
	require.NoError(t, err)
	leaving, err := WithTargetLeaving(base, "t1")
	require.NoError(t, err)
	cases := []struct {
		desc   string
		table  *Table
		usable int
	}{
		{"unchanged", base, 1},
		{"failure domain out", out, 0},
		{"target leaving", leaving, 0},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			snapshot, err := Compile(tc.table)
			require.NoError(t, err)
			pool, _ := snapshot.Pool("p1")
			require.Len(t, pool.Members, 1)
			require.Len(t, pool.Usable, tc.usable)
		})
	}
	_, err = WithDomainOut(base, "none", true)
	require.ErrorAs(t, err, new(*UnknownNameError))
}
