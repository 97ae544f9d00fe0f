// Package membership compares failure detectors: a fixed timeout and a phi accrual
// detector over heartbeats between all hosts, and the probing that the product uses.
// It measures detection time, false alarms under process stalls and message loss, and
// network traffic.
package membership

import "verbenaseam.example/verbenaseam/internal/measure"

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "membership-detectors", Deterministic: true, Run: compareDetectors},
	}
}
