package rollout

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rollout"
)

// servePolicy decides whether a process may accept new work. All policies are
// evaluated on the inputs of the same runs.
type servePolicy struct {
	name   string
	allows func(in rollout.ServeInput) bool
}

var servePolicies = []servePolicy{
	{"no confirmation needed", func(in rollout.ServeInput) bool { return in.Ready && !in.Behind }},
	{"confirmation needed", func(in rollout.ServeInput) bool {
		return in.Ready && !in.Behind && in.ConfirmedAge <= rollout.MaxUnconfirmedAge
	}},
	{"confirmation or one other failure domain needed", func(in rollout.ServeInput) bool {
		return in.Ready && !in.Behind && (in.ConfirmedAge <= rollout.MaxUnconfirmedAge || len(in.Reached) > 0)
	}},
	{productPolicy, func(in rollout.ServeInput) bool { return rollout.MayServe(in).OK() }},
}

const productPolicy = "confirmation or a majority of failure domains needed (product)"

// serveScenario is a fault, with or without a change accepted while it lasts.
type serveScenario struct {
	name   string
	inject func(sim *simulation)
	change bool
	// mustServe and mustStop are the requirements on the product policy: no refusal
	// by a process that has the newest version, and no work under a version replaced
	// for longer than MaxUnconfirmedAge.
	mustServe, mustStop bool
}

var serveScenarios = []serveScenario{
	{name: "platform down", inject: func(sim *simulation) { sim.rows.SetDown(true) }, mustServe: true},
	{name: "platform slow", inject: func(sim *simulation) { sim.platformLatency = slowPlatformLatency }, mustServe: true},
	{name: "one host partitioned, change made", inject: isolateHosts(1), change: true, mustStop: true},
	{name: "1 of 8 failure domains partitioned, change made", inject: isolateDomains(1, true), change: true, mustStop: true},
	{name: "3 of 8 failure domains partitioned, change made", inject: isolateDomains(3, true), change: true, mustStop: true},
	{name: "5 of 8 failure domains partitioned, change made", inject: isolateDomains(5, true), change: true},
	{name: "3 of 8 failure domains partitioned, platform down", inject: func(sim *simulation) {
		isolateDomains(3, false)(sim)
		sim.rows.SetDown(true)
	}},
}

// isolateHosts partitions each of the first count hosts from all others and from the
// platform.
func isolateHosts(count int) func(sim *simulation) {
	return func(sim *simulation) {
		isolated := map[*host]bool{}
		for _, h := range sim.hosts[:count] {
			isolated[h] = true
		}
		sim.platformUnreachable = func(h *host) bool { return isolated[h] }
		sim.linkFault = func(a, b *host) (bool, bool) { return isolated[a] || isolated[b], false }
	}
}

// isolateDomains partitions the first count failure domains from the others, and from the
// platform if fromPlatform is set. The isolated failure domains still reach one another.
func isolateDomains(count int, fromPlatform bool) func(sim *simulation) {
	return func(sim *simulation) {
		isolated := map[string]bool{}
		for i := range count {
			isolated[domainName(i)] = true
		}
		sim.platformUnreachable = func(h *host) bool { return fromPlatform && isolated[h.domain] }
		sim.linkFault = func(a, b *host) (bool, bool) { return isolated[a.domain] != isolated[b.domain], false }
	}
}

// measureServeDecision compares the policies by the share of work that is refused
// although the host is current, and the share that is accepted under a replaced version.
func measureServeDecision(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	for _, scenario := range serveScenarios {
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		refused, stale, err := runServeScenario(scenario)
		if err != nil {
			return result, err
		}
		for i, policy := range servePolicies {
			product := policy.name == productPolicy
			conditions := ", " + scenario.name + ", " + policy.name
			result.Figures = append(result.Figures,
				measure.Figure{Name: "refused while current" + conditions, Value: refused[i], Unit: "ratio", Limit: atMostIf(product && scenario.mustServe)},
				measure.Figure{Name: "accepted under a replaced version" + conditions, Value: stale[i], Unit: "ratio", Limit: atMostIf(product && scenario.mustStop)})
		}
	}
	return result, nil
}

// atMostIf returns AtMost for a figure that has to be 0, and Report for one without a
// bound.
func atMostIf(bounded bool) measure.Limit {
	if bounded {
		return measure.AtMost
	}
	return measure.NoBound
}

const (
	serveHosts, serveDomains = 24, 8
	scenarioTime             = 30 * time.Second
)

// runServeScenario returns, for each policy, the share of samples in which a host with
// the newest version refuses work, and the share in which a host accepts work although
// its version was replaced more than MaxUnconfirmedAge ago.
func runServeScenario(scenario serveScenario) (refused, stale []float64, err error) {
	sim := newSimulation(5, serveHosts, 0, serveDomains)
	// The scenarios isolate the first hosts and failure domains, so the last host can still
	// commit a change.
	operator := sim.hosts[serveHosts-1]
	if _, err = sim.commitChange(operator); err != nil {
		return nil, nil, err
	}
	sim.startAll()
	sim.advance(warmUp)
	scenario.inject(sim)
	if scenario.change {
		if _, err = sim.commitChange(operator); err != nil {
			return nil, nil, err
		}
	}
	accepted := sim.now
	refused, stale = make([]float64, len(servePolicies)), make([]float64, len(servePolicies))
	sampleShare := 1 / (float64(scenarioTime/sampleInterval) * serveHosts)
	for sim.now.Sub(accepted) < scenarioTime {
		sim.advance(sampleInterval)
		for _, h := range sim.hosts {
			current := h.node.Version() == sim.table.Version
			expired := sim.now.Sub(accepted) > rollout.MaxUnconfirmedAge
			for i, policy := range servePolicies {
				allowed := policy.allows(h.node.ServeInput(sim.now))
				if current && !allowed {
					refused[i] += sampleShare
				}
				if !current && allowed && expired {
					stale[i] += sampleShare
				}
			}
		}
	}
	return refused, stale, nil
}
