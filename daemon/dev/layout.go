package dev

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/version/table"
)

// Size, names, keys and limits of the system on loopback.
const (
	entryCount      = 4
	chatModel       = "petal-notes"
	lookupPath      = "/stock"
	orderPath       = "/orders"
	callerKeyPrefix = "caller-key-of-"

	chatColdLimit    = 4
	chatMaximum      = 32
	serviceColdLimit = 8
	serviceMaximum   = 64
	chatTimeout      = 30 * time.Second
	lookupTimeout    = 5 * time.Second
	orderTimeout     = 10 * time.Second
)

// Offsets of the ports from the port base. The entries' caller ports come first, at the
// port base itself, so that callers find them.
const (
	portOperator = 10
	portLink     = 20
	portAgent    = 30
	portStatus   = 40
	portBackEnd  = 50
	portPlatform = 60
	// PortSpan is the number of ports reserved for a system on loopback.
	PortSpan = 64
)

var (
	failureDomains = []string{"thamel", "patan", "bhaktapur"}
	organisations  = []string{"sorters", "kilns", "packers"}
)

func address(base, offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// targetPlan describes a target with the addresses of its agent and back end.
type targetPlan struct {
	name, domain   string
	kind           table.PoolKind
	agentAddress   string
	statusAddress  string
	backEndAddress string
}

// planTargets places one model target and one service target in each failure domain, so
// that both kinds remain when a failure domain is taken out.
func planTargets(base int) []targetPlan {
	plans := []targetPlan{}
	for _, kind := range []table.PoolKind{table.KindModel, table.KindService} {
		for _, domain := range failureDomains {
			offset := len(plans)
			plans = append(plans, targetPlan{
				name: fmt.Sprintf("%s-%s", kind, domain), domain: domain, kind: kind,
				agentAddress:   address(base, portAgent+offset),
				statusAddress:  address(base, portStatus+offset),
				backEndAddress: address(base, portBackEnd+offset),
			})
		}
	}
	return plans
}

func targetNames(plans []targetPlan, kind table.PoolKind) []string {
	names := []string{}
	for _, plan := range plans {
		if plan.kind == kind {
			names = append(names, plan.name)
		}
	}
	return names
}

// buildTables returns the routing tables of the system.
func buildTables(plans []targetPlan) *table.Table {
	t := table.New()
	t.Version = 1
	for _, domain := range failureDomains {
		t.Domains[domain] = table.FailureDomain{Name: domain, Region: "bagmati"}
	}
	for _, organisation := range organisations {
		t.Organisations[organisation] = table.Organisation{
			Name: organisation, KeyHashes: []string{hashKey(callerKeyPrefix + organisation)}, Weight: 1,
		}
	}
	for _, plan := range plans {
		t.Targets[plan.name] = table.Target{Name: plan.name, Agent: plan.agentAddress, FailureDomain: plan.domain}
	}
	t.Pools["chat"] = table.Pool{
		Name: "chat", Kind: table.KindModel, Targets: targetNames(plans, table.KindModel),
		ColdLimit: chatColdLimit, Maximum: chatMaximum, Fencing: table.FencingChecked, Policy: "score",
	}
	t.Pools["stock"] = table.Pool{
		Name: "stock", Kind: table.KindService, Targets: targetNames(plans, table.KindService),
		ColdLimit: serviceColdLimit, Maximum: serviceMaximum, Fencing: table.FencingIgnored, Policy: "p2c",
	}
	t.Routes["chat"] = table.Route{
		Name: "chat", Match: table.Match{Model: chatModel}, Priority: 1, Pool: "chat",
		Timeout: chatTimeout, Idempotent: true, Class: table.ClassNormal,
	}
	t.Routes["lookups"] = table.Route{
		Name: "lookups", Match: table.Match{Path: lookupPath}, Priority: 2, Pool: "stock",
		Timeout: lookupTimeout, Idempotent: true, Class: table.ClassHigh,
	}
	t.Routes["orders"] = table.Route{
		Name: "orders", Match: table.Match{Path: orderPath}, Priority: 3, Pool: "stock",
		Timeout: orderTimeout, Idempotent: false, Class: table.ClassHigh,
	}
	return t
}
