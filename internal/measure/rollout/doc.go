// Package rollout measures routing and configuration rollout: the time of a
// routing decision, and the platform reads, network traffic, memory, CPU time and
// time to full coverage of a rollout at several deployment sizes.
package rollout

import "verbenaseam.example/verbenaseam/internal/measure"

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "routing-decision", Run: measureRouting},
		{Name: "rollout-memory", Run: measureMemory},
		{Name: "rollout-processor", Run: measureCPU},
		{Name: "rollout-right-to-serve", Deterministic: true, Run: measureServeDecision},
		{Name: "failure-domain-out", Deterministic: true, Run: measureDomainOut},
		{Name: "rollout-outage", Deterministic: true, Run: measureOutage},
		{Name: "rollout-spread", Deterministic: true, Run: measurePropagation(propagationSizes)},
		{Name: "rollout-spread-target-size", Deterministic: true, Run: measurePropagation(propagationPlannedSizes)},
	}
}
