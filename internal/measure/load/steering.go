package load

import (
	"context"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/steer"
)

// steerOrganisations is the number of organisations in steady use.
const steerOrganisations = 42000

// steerFleet is one size of the fleet of entries.
type steerFleet struct {
	entries, domains int
	// sampleStep is the step between the organisations whose choices are compared.
	sampleStep int
}

var steerFleets = []steerFleet{
	{entries: 4, domains: 3, sampleStep: 1},
	{entries: 1400, domains: 8, sampleStep: 200},
}

// steerEntries returns the entries of a fleet.
func steerEntries(fleet steerFleet) []steer.Entry {
	entries := make([]steer.Entry, fleet.entries)
	for i := range entries {
		entries[i] = steer.Entry{Name: fmt.Sprintf("entry-%04d", i), FailureDomain: fmt.Sprint("d", i%fleet.domains)}
	}
	return entries
}

// studySteering measures how evenly organisations are distributed over entries, and
// how many of their choices move when an entry leaves or joins.
func studySteering(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	for _, fleet := range steerFleets {
		if err := ctx.Err(); err != nil {
			return result, err
		}
		name := fmt.Sprintf("%d entries, %d organisations: ", fleet.entries, steerOrganisations)
		leave, join, stillNamed := measureMoves(fleet)
		result.Figures = append(result.Figures,
			measure.Figure{Name: name + "max/mean organisations", Value: steerImbalance(fleet), Unit: "ratio", Limit: measure.AtMost, Bound: 1.25},
			measure.Figure{Name: name + "choices moved when an entry leaves, over 1/n", Value: leave, Unit: "ratio", Limit: measure.AtMost, Bound: 1},
			measure.Figure{Name: name + "choices moved when an entry joins, over 1/n", Value: join, Unit: "ratio", Limit: measure.AtMost, Bound: 1},
			measure.Figure{Name: name + "answers that name a leaving entry", Value: float64(stillNamed), Unit: "count", Limit: measure.AtMost})
	}
	return result, nil
}

// steerImbalance returns the greatest number of organisations at an entry divided by
// the mean.
func steerImbalance(fleet steerFleet) float64 {
	entries := steerEntries(fleet)
	parts := make([]map[string]int, studyWorkers)
	var group errgroup.Group
	for worker := range parts {
		group.Go(func() error {
			parts[worker] = map[string]int{}
			for i := worker; i < steerOrganisations; i += studyWorkers {
				for _, entry := range steer.SelectEntries(steerOrganisation(i), entries, steer.Config{}).Entries {
					parts[worker][entry.Name]++
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	most, total := 0, 0
	for _, entry := range entries {
		sum := 0
		for _, part := range parts {
			sum += part[entry.Name]
		}
		most = max(most, sum)
		total += sum
	}
	return float64(most) * float64(fleet.entries) / float64(total)
}

// steerOrganisation returns the i-th organisation.
func steerOrganisation(i int) steer.Organisation {
	return steer.Organisation{Name: fmt.Sprint("organisation-", i)}
}

// measureMoves lets each entry leave in turn and join again. It returns the mean
// share of choices that moved, divided by 1/n, and the number of answers that still
// named the entry that left.
func measureMoves(fleet steerFleet) (leave, join float64, stillNamed int) {
	entries := steerEntries(fleet)
	left, joined, choices := 0, 0, 0
	for i := 0; i < steerOrganisations; i += fleet.sampleStep {
		organisation := steerOrganisation(i)
		before := steer.SelectEntries(organisation, entries, steer.Config{}).Entries
		choices += len(before)
		for leaver := range entries {
			if !slices.Contains(before, entries[leaver]) {
				continue
			}
			changed := slices.Clone(entries)
			changed[leaver].Leaving = true
			after := steer.SelectEntries(organisation, changed, steer.Config{}).Entries
			left += countMissing(after, before)
			joined += countMissing(before, after)
			stillNamed += countNamed(after, entries[leaver].Name)
		}
	}
	// The tests of package steer show that no choice moves when an entry leaves that
	// the organisation does not use. The mean is therefore over all entries.
	return float64(left) / float64(choices), float64(joined) / float64(choices), stillNamed
}

// countMissing returns the number of entries of a that b does not contain.
func countMissing(a, b []steer.Entry) int {
	n := 0
	for _, entry := range a {
		n += 1 - min(countNamed(b, entry.Name), 1)
	}
	return n
}

// countNamed returns the number of entries with the given name.
func countNamed(entries []steer.Entry, name string) int {
	n := 0
	for _, entry := range entries {
		if entry.Name == name {
			n++
		}
	}
	return n
}
