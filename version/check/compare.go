package check

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/table"
)

// Compare returns the risky changes from before to after, the most severe kind first, and
// a description of every change.
func Compare(before, after Configuration) (risky []Finding, changes []string) {
	c := &checker{Configuration: after}
	c.compareCapacity(before)
	c.compareKeys(before.Table)
	c.compareRoutes(before.Table)
	order := []Code{FewerTargets, FewerSlots, KeysWithdrawn, OrdersRepeatable, RouteWithdrawn, RoutePublic}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return slices.Index(order, a.Code) - slices.Index(order, b.Code)
	})
	changes = table.Diff(before.Table, after.Table).Describe()
	return c.findings, append(changes, describeServices(before.Services, after.Services)...)
}

func (c *checker) compareCapacity(before Configuration) {
	for _, name := range sortedNames(before.Table.Pools) {
		c.comparePool(before.Table, name)
	}
	for _, name := range sortedNames(before.Services) {
		was, is := before.Services[name], c.Services[name]
		section := "service " + name
		if is == nil {
			c.add(FewerSlots, section, "", "service withdrawn")
			continue
		}
		if connectionLimit(is) < connectionLimit(was) {
			c.add(FewerSlots, section, "max_connections", fmt.Sprintf("%d before, %d now", was.MaxConnections, is.MaxConnections))
		}
		if engineSlots(is) < engineSlots(was) {
			c.add(FewerSlots, section, "capacity", fmt.Sprintf("%d before, %d now", engineSlots(was), engineSlots(is)))
		}
	}
}

func (c *checker) comparePool(before *table.Table, name string) {
	was, is := before.Pools[name], c.Table.Pools[name]
	section := "pool " + name
	targetsBefore, targets := usableTargets(before, was), usableTargets(c.Table, is)
	if targets < targetsBefore {
		c.add(FewerTargets, section, "targets", fmt.Sprintf("%d targets may get new work, %d before", targets, targetsBefore))
	}
	if slotsBefore, slots := targetsBefore*was.Maximum, targets*is.Maximum; slots < slotsBefore {
		c.add(FewerSlots, section, "maximum", fmt.Sprintf("%d concurrent requests, %d before", slots, slotsBefore))
	}
}

// connectionLimit returns the bound on a target's connections; 0 in the configuration
// means none.
func connectionLimit(service *config.Service) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return service.MaxConnections
}

func engineSlots(service *config.Service) int {
	if service.Engine == nil {
		return 0
	}
	return service.Engine.MaxConcurrentRequests
}

func (c *checker) compareKeys(before *table.Table) {
	for _, name := range sortedNames(before.Organisations) {
		kept := map[string]bool{}
		for _, hash := range c.Table.Organisations[name].KeyHashes {
			kept[hash] = true
		}
		var withdrawn []string
		for _, hash := range before.Organisations[name].KeyHashes {
			if !kept[hash] {
				withdrawn = append(withdrawn, abbreviate(hash))
			}
		}
		if len(withdrawn) > 0 {
			c.add(KeysWithdrawn, "organisation "+name, "key_sha256", "keys no longer belong to the organisation: "+strings.Join(withdrawn, ", "))
		}
	}
}

func (c *checker) compareRoutes(before *table.Table) {
	for _, name := range sortedNames(before.Routes) {
		was := before.Routes[name]
		is, found := c.Table.Routes[name]
		section := "route " + name
		if !found {
			c.add(RouteWithdrawn, section, "", "route withdrawn")
			continue
		}
		if is.Idempotent && !was.Idempotent {
			c.add(OrdersRepeatable, section, "idempotent", "requests may now be executed more than once")
		}
		if is.Direct != nil && is.Direct.Public && was.Direct != nil && !was.Direct.Public {
			c.add(RoutePublic, section, "", "requests are now accepted without a key")
		}
	}
}

// describeServices returns a line for each service that was added or withdrawn.
func describeServices(before, after map[string]*config.Service) []string {
	var lines []string
	for _, name := range sortedNames(before) {
		if after[name] == nil {
			lines = append(lines, "- [service "+name+"]")
		}
	}
	for _, name := range sortedNames(after) {
		if before[name] == nil {
			lines = append(lines, "+ [service "+name+"]")
		}
	}
	return lines
}
