package rollout

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rollout"
)

// servePolicy decides whether a process may take new work; the candidates are
// weighed on the evidence of the same runs.
type servePolicy struct {
	name string
	may  func(e rollout.ServeInput) bool
}

var servePolicies = []servePolicy{
	{"serve on", func(e rollout.ServeInput) bool { return e.Ready && !e.Behind }},
	{"stop unless confirmed", func(e rollout.ServeInput) bool {
		return e.Ready && !e.Behind && e.ConfirmedAge <= rollout.MaxUnconfirmedAge
	}},
	{"one path outside", func(e rollout.ServeInput) bool {
		return e.Ready && !e.Behind && (e.ConfirmedAge <= rollout.MaxUnconfirmedAge || len(e.Reached) > 0)
	}},
	{productPolicy, func(e rollout.ServeInput) bool { return rollout.MayServe(e).OK() }},
}

const productPolicy = "most failure domains (product)"

// serveScenario is something that goes wrong, with or without a change accepted
// meanwhile.
type serveScenario struct {
	name   string
	begin  func(w *world)
	change bool
	// mustServe and mustStop are what the product is held to: no refusal by a
	// process that is current, no work under a version replaced for longer than
	// ServeLimit.
	mustServe, mustStop bool
}

var serveScenarios = []serveScenario{
	{name: "platform down", begin: func(w *world) { w.rows.SetDown(true) }, mustServe: true},
	{name: "platform slow", begin: func(w *world) { w.latency = platformSlow }, mustServe: true},
	{name: "one host cut off, change made", begin: cutHosts(1), change: true, mustStop: true},
	{name: "1 of 8 failure domains cut off, change made", begin: cutDomains(1, true), change: true, mustStop: true},
	{name: "3 of 8 failure domains cut off, change made", begin: cutDomains(3, true), change: true, mustStop: true},
	{name: "5 of 8 failure domains cut off, change made", begin: cutDomains(5, true), change: true},
	{name: "3 of 8 failure domains cut off, platform down", begin: func(w *world) {
		cutDomains(3, false)(w)
		w.rows.SetDown(true)
	}},
}

// cutHosts cuts the first hosts off from all others and from the platform.
func cutHosts(count int) func(w *world) {
	return func(w *world) {
		cut := map[*host]bool{}
		for _, h := range w.hosts[:count] {
			cut[h] = true
		}
		w.tableCut = func(h *host) bool { return cut[h] }
		w.blocked = func(a, b *host) (bool, bool) { return cut[a] || cut[b], false }
	}
}

// cutDomains cuts the first failure domains, which still reach one another, off
// from the others, and from the platform if it is not theirs.
func cutDomains(count int, platformToo bool) func(w *world) {
	return func(w *world) {
		cut := map[string]bool{}
		for i := range count {
			cut[domainName(i)] = true
		}
		w.tableCut = func(h *host) bool { return platformToo && cut[h.domain] }
		w.blocked = func(a, b *host) (bool, bool) { return cut[a.domain] != cut[b.domain], false }
	}
}

// measureServing weighs the policies: how much work is refused without need, and
// how much is taken under a version that was replaced.
func measureServing(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	for _, scenario := range serveScenarios {
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		refused, stale, err := runServing(scenario)
		if err != nil {
			return result, err
		}
		for at, policy := range servePolicies {
			product := policy.name == productPolicy
			under := ", " + scenario.name + ", " + policy.name
			result.Figures = append(result.Figures,
				measure.Figure{Name: "refused without need" + under, Value: refused[at], Unit: "ratio", Limit: heldTo(product && scenario.mustServe)},
				measure.Figure{Name: "taken under a replaced version" + under, Value: stale[at], Unit: "ratio", Limit: heldTo(product && scenario.mustStop)})
		}
	}
	return result, nil
}

func heldTo(held bool) measure.Limit {
	if held {
		return measure.AtMost
	}
	return measure.Report
}

const (
	serveHosts, serveDomains = 24, 8
	scenarioTime             = 30 * time.Second
)

// runServing returns, for each policy, the shares of samples refused although
// the host was current and taken although its version was replaced.
func runServing(scenario serveScenario) (refused, stale []float64, err error) {
	w := newWorld(5, serveHosts, 0, serveDomains)
	last := w.hosts[serveHosts-1]
	if _, err = w.change(last); err != nil {
		return nil, nil, err
	}
	w.startAll()
	w.run(warmUp)
	scenario.begin(w)
	if scenario.change {
		if _, err = w.change(last); err != nil {
			return nil, nil, err
		}
	}
	accepted := w.now
	refused, stale = make([]float64, len(servePolicies)), make([]float64, len(servePolicies))
	sample := 1 / (float64(scenarioTime/sampleTime) * serveHosts)
	for w.now.Sub(accepted) < scenarioTime {
		w.run(sampleTime)
		for _, h := range w.hosts {
			current := h.node.Version() == w.table.Version
			late := w.now.Sub(accepted) > rollout.MaxUnconfirmedAge
			for at, policy := range servePolicies {
				may := policy.may(h.node.ServeInput(w.now))
				if current && !may {
					refused[at] += sample
				}
				if !current && may && late {
					stale[at] += sample
				}
			}
		}
	}
	return refused, stale, nil
}
