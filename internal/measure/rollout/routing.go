package rollout

import (
	"context"
	"testing"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/table"
)

// routingBoundNanos is the maximum time of a routing decision in ns.
const routingBoundNanos = 1000

// measureRouting measures the time and the allocations of routing decisions at the
// planned size, for organisations with routes of their own, organisations without, and
// requests that match no route.
func measureRouting(context.Context) (measure.Result, error) {
	snapshot, err := table.Compile(plannedSize.build())
	if err != nil {
		return measure.Result{}, err
	}
	var result measure.Result
	for _, routing := range routingCases() {
		run := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				snapshot.Route(routing.queries[i%len(routing.queries)])
			}
		})
		result.Figures = append(result.Figures,
			measure.Figure{Name: "time per routing decision, " + routing.name, Value: float64(run.T.Nanoseconds()) / float64(run.N), Unit: "ns", Limit: measure.AtMost, Bound: routingBoundNanos},
			measure.Figure{Name: "allocations per routing decision, " + routing.name, Value: float64(run.AllocsPerOp()), Unit: "allocations", Limit: measure.AtMost, Bound: 0},
		)
	}
	return result, nil
}

type routingCase struct {
	name    string
	queries []table.Query
}

func routingCases() []routingCase {
	header := func(string) string { return "night" }
	withRoutes := routingCase{name: "organisation with routes of its own"}
	withoutRoutes := routingCase{name: "organisation without routes of its own"}
	unmatched := routingCase{name: "no match"}
	for i := range 4096 {
		query := table.Query{Path: "/v1/chat/completions", Model: modelName(i % plannedSize.models), Header: header}
		query.Organisation = organisationName(i * 2 % plannedSize.routes)
		withRoutes.queries = append(withRoutes.queries, query)
		query.Organisation = organisationName(plannedSize.organisations - 1 - i)
		withoutRoutes.queries = append(withoutRoutes.queries, query)
		query.Model, query.Path = "none", "/a/b/c/d/e/f/g"
		unmatched.queries = append(unmatched.queries, query)
	}
	return []routingCase{withRoutes, withoutRoutes, unmatched}
}
