// Package all lists the studies of all packages below measure.
package all

import (
	"slices"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/internal/measure/capacity"
	"verbenaseam.example/verbenaseam/internal/measure/expertmap"
	"verbenaseam.example/verbenaseam/internal/measure/links"
	"verbenaseam.example/verbenaseam/internal/measure/load"
	"verbenaseam.example/verbenaseam/internal/measure/membership"
	"verbenaseam.example/verbenaseam/internal/measure/orders"
	"verbenaseam.example/verbenaseam/internal/measure/path"
	"verbenaseam.example/verbenaseam/internal/measure/placement"
	"verbenaseam.example/verbenaseam/internal/measure/poisons"
	"verbenaseam.example/verbenaseam/internal/measure/rebalance"
	"verbenaseam.example/verbenaseam/internal/measure/retries"
	"verbenaseam.example/verbenaseam/internal/measure/rollout"
	"verbenaseam.example/verbenaseam/internal/measure/slowpeers"
)

// Studies returns all studies.
func Studies() []measure.Study {
	return slices.Concat(
		path.Studies(),
		links.Studies(),
		rollout.Studies(),
		membership.Studies(),
		load.Studies(),
		orders.Studies(),
		retries.Studies(),
		poisons.Studies(),
		expertmap.Studies(),
		placement.Studies(),
		rebalance.Studies(),
		capacity.Studies(),
		slowpeers.Studies(),
	)
}
