package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/version/table"
)

// tableSize is the number of rows of each kind in a generated table.
type tableSize struct {
	organisations, routes, targets, pools int
	domains, models                       int
}

// plannedSize is the size of the tables in the planned deployment.
var plannedSize = tableSize{organisations: 42_000, routes: 10_000, targets: 10_000, pools: 40, domains: 8, models: 11}

// currentSize is the size of the tables in the present deployment.
var currentSize = tableSize{organisations: 10, routes: 12, targets: 15, pools: 2, domains: 3, models: 2}

// build generates a valid table: one route per model that is open to all
// organisations, and routes of single organisations with a higher priority, one third
// of which also match a header.
func (s tableSize) build() *table.Table {
	t := table.New()
	for i := range s.domains {
		name := domainName(i)
		t.Domains[name] = table.FailureDomain{Name: name, Region: fmt.Sprintf("region-%d", i%3)}
	}
	for i := range s.targets {
		name := fmt.Sprintf("target-%d", i)
		agent := fmt.Sprintf("127.%d.%d.%d:7000", 1+i>>16, i>>8&255, i&255)
		t.Targets[name] = table.Target{Name: name, Agent: agent, FailureDomain: domainName(i % s.domains)}
	}
	for i := range s.pools {
		name := fmt.Sprintf("pool-%d", i)
		pool := table.Pool{Name: name, Kind: table.KindModel, ColdLimit: 2, Maximum: 64, Fencing: table.FencingChecked, Policy: "score"}
		for target := i; target < s.targets; target += s.pools {
			pool.Targets = append(pool.Targets, fmt.Sprintf("target-%d", target))
		}
		t.Pools[name] = pool
	}
	for i := range s.organisations {
		name := organisationName(i)
		t.Organisations[name] = table.Organisation{Name: name, KeyHashes: []string{hashKey(organisationKey(i))}, Weight: 1}
	}
	for i := range s.routes {
		route := s.route(i)
		t.Routes[route.Name] = route
	}
	return t
}

func (s tableSize) route(i int) table.Route {
	route := table.Route{
		Name:    fmt.Sprintf("route-%d", i),
		Pool:    fmt.Sprintf("pool-%d", i%s.pools),
		Timeout: 30 * time.Second,
		Class:   table.ClassNormal,
		Match:   table.Match{Path: "/v1/chat/completions", Model: modelName(i % s.models)},
	}
	if i < s.models {
		return route
	}
	route.Priority = 1 + i/(s.organisations+s.models)
	route.Match.Organisation = organisationName((i - s.models) % s.organisations)
	if i%3 == 0 {
		route.Match.HeaderName, route.Match.HeaderValue = "X-Shift", "night"
	}
	return route
}

func domainName(i int) string       { return fmt.Sprintf("domain-%d", i) }
func modelName(i int) string        { return fmt.Sprintf("model-%d", i) }
func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }
func organisationKey(i int) string  { return fmt.Sprintf("key-of-organisation-%d", i) }

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
