package check

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/table"
)

func sortedNames[T any](entries map[string]T) []string {
	return slices.Sorted(maps.Keys(entries))
}

func (c *checker) checkRoute(route table.Route) {
	section := "route " + route.Name
	if route.Match.Host != strings.ToLower(route.Match.Host) {
		c.add(UnmatchableHost, section, "host", "can never match: hosts of requests are compared in lower case")
	}
	if route.QuotaPerSecond > 0 && route.QuotaPerSecond < 1 {
		c.add(QuotaBelowOne, section, "quota_per_second", fmt.Sprintf("quota of %v is less than one request a second", route.QuotaPerSecond))
	}
	if direct := route.Direct; direct != nil && route.Timeout > 0 && direct.Latency > route.Timeout {
		c.add(ObjectiveOverTimeout, section, "", fmt.Sprintf("latency objective %v exceeds the timeout %v", direct.Latency, route.Timeout))
	}
	if c.Services != nil {
		c.checkServices(section, route)
		return
	}
	c.checkPool(section, "pool", route.Pool, route.Idempotent)
	if route.FallbackPool != "" {
		c.checkPool(section, "fallback_pool", route.FallbackPool, route.Idempotent)
	}
}

// checkServices checks that the services of a route exist. Their targets register
// themselves, so their number is not known.
func (c *checker) checkServices(section string, route table.Route) {
	if route.Direct == nil || len(route.Direct.Split) == 0 {
		c.add(MissingService, section, "", "names no service")
		return
	}
	for _, share := range route.Direct.Split {
		if c.Services[share.Pool] == nil {
			c.add(MissingService, section, "", "no such service: "+share.Pool)
		}
	}
}

// checkWarmup compares the rate and the duration of the warm-up. A rate of 0 is no limit.
func (c *checker) checkWarmup(service *config.Service) {
	if admitted := service.WarmupRate * service.Warmup.Seconds(); service.Warmup > 0 && service.WarmupRate > 0 && admitted < 1 {
		c.add(WarmupBelowOne, "service "+service.Name, "", fmt.Sprintf("a cold target takes %.2g requests in the warm-up of %v", admitted, service.Warmup))
	}
}

// checkPool checks the targets of a pool that a route names. Only idempotent requests
// are sent to another target after one that may have executed them.
func (c *checker) checkPool(section, key, name string, idempotent bool) {
	pool := c.Table.Pools[name]
	if usableTargets(c.Table, pool) == 0 {
		c.add(EmptyPool, section, key, "no target of pool "+name+" may get new work")
		return
	}
	if idempotent && !pool.LockStep && len(pool.Targets) < c.MaxAttempts {
		c.add(AttemptsOverTargets, section, key, fmt.Sprintf("%d attempts, but pool %s has %d targets", c.MaxAttempts, name, len(pool.Targets)))
	}
}

// usableTargets returns the number of a pool's targets that are neither leaving nor in a
// failure domain that is out of service.
func usableTargets(t *table.Table, pool table.Pool) int {
	count := 0
	for _, name := range pool.Targets {
		target, found := t.Targets[name]
		if found && !target.Leaving && !t.Domains[target.FailureDomain].Out {
			count++
		}
	}
	return count
}

// checkKeys looks for keys that occur twice, which validation rejects in tables files but
// not in a platform's configuration, and for organisations without keys.
func (c *checker) checkKeys() {
	owners := map[string]string{}
	for _, name := range sortedNames(c.Table.Organisations) {
		section := "organisation " + name
		hashes := c.Table.Organisations[name].KeyHashes
		if len(hashes) == 0 {
			c.add(OrganisationWithoutKeys, section, "key_sha256", "can never match: the organisation has no key")
		}
		for _, hash := range hashes {
			if owner, taken := owners[hash]; taken {
				c.add(DuplicateKey, section, "key_sha256", "key "+abbreviate(hash)+" already belongs to organisation "+owner)
			}
			owners[hash] = name
		}
	}
}

// abbreviate shortens a hash to what identifies it in a message.
func abbreviate(hash string) string { return hash[:min(len(hash), 12)] }

func (c *checker) checkDomains() {
	used := map[string]bool{}
	for _, target := range c.Table.Targets {
		used[target.FailureDomain] = true
	}
	for _, name := range sortedNames(c.Table.Domains) {
		if !used[name] {
			c.add(DomainWithoutTargets, "failure_domain "+name, "", "no target belongs to the failure domain")
		}
	}
}

// checkShadows finds each route whose requests all match one other route that precedes
// it. It does not find routes that only several others cover together.
func (c *checker) checkShadows() {
	// first holds the route that is chosen among those with equal conditions: the one of
	// highest priority, then the first by name.
	first := map[table.Match]table.Route{}
	names := sortedNames(c.Table.Routes)
	for _, name := range names {
		route := c.Table.Routes[name]
		key := normalise(route.Match)
		if known, found := first[key]; !found || route.Priority > known.Priority {
			first[key] = route
		}
	}
	for _, name := range names {
		route := c.Table.Routes[name]
		if other, found := shadowOf(route, first); found {
			c.add(ShadowedRoute, "route "+name, "", fmt.Sprintf("can never match: route %s with priority %d matches all its requests first", other.Name, other.Priority))
		}
	}
}

// normalise makes equivalent conditions equal.
func normalise(match table.Match) table.Match {
	match.HeaderName = http.CanonicalHeaderKey(match.HeaderName)
	if match.Path == "/" {
		match.Path = ""
	}
	return match
}

// shadowOf looks up every condition that covers that of the route.
func shadowOf(route table.Route, first map[table.Match]table.Route) (table.Route, bool) {
	match := normalise(route.Match)
	if same := first[match]; same.Name != route.Name {
		return same, true
	}
	for _, wider := range widerMatches(match) {
		if other, found := first[wider]; found && other.Priority > route.Priority {
			return other, true
		}
	}
	return table.Route{}, false
}

// widerMatches returns match with each combination of its conditions left out and each
// prefix of its path.
func widerMatches(match table.Match) []table.Match {
	matches := []table.Match{match}
	for _, drop := range []func(*table.Match){
		func(m *table.Match) { m.Host = "" },
		func(m *table.Match) { m.Model = "" },
		func(m *table.Match) { m.Organisation = "" },
		func(m *table.Match) { m.Class = "" },
		func(m *table.Match) { m.HeaderName, m.HeaderValue = "", "" },
	} {
		for _, known := range matches {
			wider := known
			drop(&wider)
			if wider != known {
				matches = append(matches, wider)
			}
		}
	}
	prefixes := pathPrefixes(match.Path)
	for _, known := range matches {
		for _, prefix := range prefixes {
			known.Path = prefix
			matches = append(matches, known)
		}
	}
	return matches
}

// pathPrefixes returns the shorter prefixes that match path: those that end at a segment,
// with and without the slash. A prefix with a trailing slash matches only paths below it.
func pathPrefixes(path string) []string {
	prefixes := []string{""}
	for i := 1; i < len(path); i++ {
		if path[i] != '/' {
			continue
		}
		prefixes = append(prefixes, path[:i])
		if i+1 < len(path) {
			prefixes = append(prefixes, path[:i+1])
		}
	}
	return prefixes
}
