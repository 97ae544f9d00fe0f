package load

import (
	"context"

	"verbenaseam.example/verbenaseam/internal/measure"
)

// admissionSeeds is the number of runs of each case. Means of so few differ by about 0.01 from
// those of other seeds.
const admissionSeeds = 4

// The policies that are compared.
var (
	shareOfObjective = admissionPolicy{name: "0.6 of the objective"}
	byDeadline       = admissionPolicy{name: "by deadline", deadlineAware: true}
	byUrgency        = admissionPolicy{name: "by deadline and urgency of all entries", deadlineAware: true, urgencyAware: true}
)

// runAdmission returns the sum of the outcomes of several runs.
func runAdmission(policy admissionPolicy, load admissionLoadCase) admissionOutcome {
	var sum admissionOutcome
	for seed := range uint64(admissionSeeds) {
		outcome := newAdmissionSim(policy, load, seed).run()
		for i := range sum.kinds {
			sum.kinds[i].add(outcome.kinds[i])
		}
		for i := range sum.organisations {
			sum.organisations[i].add(outcome.organisations[i])
		}
		sum.refusals += outcome.refusals
		sum.engineWaits += outcome.engineWaits
	}
	return sum
}

// worstServed returns the least share of requests served of any organisation, relative to all.
func (o admissionOutcome) worstServed() float64 {
	worst := 1.0
	for _, organisation := range o.organisations {
		worst = min(worst, organisation.servedShare())
	}
	return worst / o.total().servedShare()
}

// small returns the sum over all organisations but the large one.
func (o admissionOutcome) small() admissionCount {
	var sum admissionCount
	for _, organisation := range o.organisations[1:] {
		sum.add(organisation)
	}
	return sum
}

// waitShare returns the share of requests that found the slots of their engine taken.
func (o admissionOutcome) waitShare() float64 {
	return float64(o.engineWaits) / float64(o.total().callers)
}

// studyAdmission compares the policies. The bounds lie between what the policy in use earns
// and what the one before it did; without an overload none may lose anything.
func studyAdmission(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	report := func(name string, value float64, limit measure.Limit, bound float64) {
		result.Figures = append(result.Figures, measure.Figure{Name: name, Value: value, Unit: "ratio", Limit: limit, Bound: bound})
	}
	bounds := map[string]float64{kindBursts.name: 0.88, doubleLoad.name: 0.765, largeOrganisation.name: 0.745}
	for _, load := range []admissionLoadCase{kindBursts, doubleLoad, largeOrganisation} {
		if err := ctx.Err(); err != nil {
			return result, err
		}
		name := load.name + ": value, "
		report(name+shareOfObjective.name, runAdmission(shareOfObjective, load).total().valueShare(), measure.NoBound, 0)
		report(name+byDeadline.name, runAdmission(byDeadline, load).total().valueShare(), measure.NoBound, 0)
		outcome := runAdmission(byUrgency, load)
		report(name+byUrgency.name, outcome.total().valueShare(), measure.AtLeast, bounds[load.name])
		report(load.name+": value of the most urgent kind", outcome.kinds[0].valueShare(), measure.AtLeast, 0.95)
		report(load.name+": worst served organisation over all", outcome.worstServed(), measure.AtLeast, 0.5)
		report(load.name+": least urgent kind served over all", outcome.kinds[2].servedShare()/outcome.total().servedShare(), measure.AtLeast, 0.25)
		report(load.name+": requests that wait in an engine", outcome.waitShare(), measure.AtMost, maxEngineWaits)
		if load.name == largeOrganisation.name {
			report(load.name+": value of the others over the large one's", outcome.small().valueShare()/outcome.organisations[0].valueShare(), measure.AtLeast, 1)
		}
	}
	report(usualLoad.name+": value", runAdmission(byUrgency, usualLoad).total().valueShare(), measure.AtLeast, 0.995)
	return result, nil
}

// maxEngineWaits bounds the share of requests that find the slots of their engine taken,
// because several entries have started requests in the same one; 0.17 if each entry uses all
// free slots.
const maxEngineWaits = 0.13
