// Package capacity measures the unit costs that the capacity documentation uses and
// that no other study gives: load reports, the entry's view of its targets, idle
// links and the configuration table at full size.
package capacity

import "verbenaseam.example/verbenaseam/internal/measure"

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "capacity-load-reports", Run: measureLoadReports},
		{Name: "capacity-target-view", Run: measureTargetView},
		{Name: "capacity-idle-links", Run: measureIdleLinks},
		{Name: "capacity-table-size", Run: measureTableSize},
	}
}
