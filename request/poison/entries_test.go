package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	// maxLaterSends is how often a crashing request may reach targets once simSpread has
	// passed since its third crash.
	maxLaterSends = 3
	// maxPopularOutage is how long crashes of targets may keep a harmless request from
	// completing: the hold after a mass crash, and a trial at the entry that may run it.
	maxPopularOutage = 10 * time.Second
)

func drawDuration(t *rapid.T, name string, low, high time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(t, name))
}

func drawScenario(t *rapid.T) entriesScenario {
	scenario := entriesScenario{
		entries:           rapid.IntRange(2, 6).Draw(t, "entries"),
		targets:           rapid.SampledFrom([]int{3, 6, 12}).Draw(t, "targets"),
		resendEvery:       drawDuration(t, "resend", 30*time.Millisecond, 3*time.Second),
		attempts:          rapid.IntRange(1, 3).Draw(t, "attempts"),
		copies:            rapid.IntRange(1, 4).Draw(t, "copies"),
		turnedAwayShare:   rapid.Float64Range(0, 0.8).Draw(t, "turned away"),
		harmlessPerSecond: rapid.Float64Range(0, 20).Draw(t, "harmless"),
		restart:           drawDuration(t, "restart", 500*time.Millisecond, 5*time.Second),
		keepsID:           rapid.Bool().Draw(t, "keepsID"),
		lossShare:         rapid.Float64Range(0, 0.05).Draw(t, "loss"),
	}
	if rapid.Bool().Draw(t, "others crash") {
		scenario.otherCrashes = drawDuration(t, "other crashes", 500*time.Millisecond, 10*time.Second)
	}
	if rapid.Bool().Draw(t, "entries restart") {
		scenario.entryRestarts = drawDuration(t, "entry restarts", 10*time.Second, time.Minute)
	}
	return scenario
}

// TestCrashingRequestReachesFewTargetsAfterItsThirdCrash guards against a request that
// goes on crashing targets: its crashes are noticed too late or not at all, look like a
// power failure, or are unknown to entries that have started since.
func TestCrashingRequestReachesFewTargetsAfterItsThirdCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario, seed := drawScenario(t), rapid.Uint64().Draw(t, "seed")
		scenario.storeAway = rapid.Bool().Draw(t, "store away")
		sim := newEntriesSim(scenario, seed)
		sim.run()
		require.LessOrEqual(t, sim.laterSends, maxLaterSends)
	})
}

// fastRestartScenario has targets that are back, and crash again, before the entries see
// their next registration.
var fastRestartScenario = entriesScenario{
	entries: 2, targets: 3, resendEvery: 1897678447, attempts: 2, copies: 1, turnedAwayShare: 0.4178800285023406,
	harmlessPerSecond: 12.659137725830078, restart: 500000013, otherCrashes: 500000001, lossShare: 0.024710237979888916,
}

// entryRestartsScenario has entries that are restarted again and again while a suspect
// crashes targets on trial.
var entryRestartsScenario = entriesScenario{
	entries: 5, targets: 12, resendEvery: 30 * time.Millisecond, attempts: 3, copies: 2, turnedAwayShare: 0.5571257365048208,
	harmlessPerSecond: 18.5, restart: 500000063, otherCrashes: 500 * time.Millisecond, entryRestarts: 10000000730, lossShare: 0.05,
}

// TestRequestThatCrashesTargetsBetweenRegistrationsIsRefused is a generated case of
// fastRestartScenario.
func TestRequestThatCrashesTargetsBetweenRegistrationsIsRefused(t *testing.T) {
	sim := newEntriesSim(fastRestartScenario, 3)
	sim.run()
	require.LessOrEqual(t, sim.laterSends, maxLaterSends)
}

// TestRequestIsNotTriedAgainByEachRestartedEntry is a generated case of
// entryRestartsScenario.
func TestRequestIsNotTriedAgainByEachRestartedEntry(t *testing.T) {
	sim := newEntriesSim(entryRestartsScenario, 0x9643)
	sim.run()
	require.LessOrEqual(t, sim.laterSends, maxLaterSends)
}

// lostEvidenceScenario has two entries that are restarted within 60 ms of each other, soon
// after the third crash of a request.
var lostEvidenceScenario = entriesScenario{
	entries: 2, targets: 3, resendEvery: 30 * time.Millisecond, attempts: 1, copies: 2, turnedAwayShare: 0.0625,
	harmlessPerSecond: 18.835093072762902, restart: 500004071, otherCrashes: 501005826, entryRestarts: 10 * time.Second,
}

// TestRequestStaysRefusedWhenAllEntriesRestart guards against a request that crashes targets
// anew because all entries that knew of its crashes have been restarted. The scenario is a
// generated case.
func TestRequestStaysRefusedWhenAllEntriesRestart(t *testing.T) {
	sim := newEntriesSim(lostEvidenceScenario, 1)
	sim.run()
	require.LessOrEqual(t, sim.laterSends, maxLaterSends)
}

// usualScenario is a service of few targets, one of which crashes now and then for other
// reasons, while entries are restarted.
var usualScenario = entriesScenario{
	entries: 4, targets: 12, resendEvery: time.Second, attempts: 2, copies: 2, turnedAwayShare: 0.5, harmlessPerSecond: 0.5,
	restart: 4 * time.Second, otherCrashes: 3 * time.Second, entryRestarts: 6 * time.Second, lossShare: 0.02,
}

// fewTargetsScenario is a crashing request on few targets that also crash for other reasons,
// most often before they have registered again.
var fewTargetsScenario = entriesScenario{
	entries: 2, targets: 3, resendEvery: 1900 * time.Millisecond, attempts: 1, copies: 1, turnedAwayShare: 0.2, harmlessPerSecond: 5,
	restart: 500 * time.Millisecond, otherCrashes: 350 * time.Millisecond, keepsID: true,
}

// trialsScenario is a crashing request that keeps coming while entries are restarted often,
// and is mostly turned away, so that its trials show nothing.
var trialsScenario = entriesScenario{
	entries: 2, targets: 12, resendEvery: 50 * time.Millisecond, attempts: 3, copies: 2, turnedAwayShare: 0.95, harmlessPerSecond: 0.5,
	restart: 500 * time.Millisecond, entryRestarts: 10 * time.Second, lossShare: 0.02,
}

// TestSimulationCatchesFaults checks that the simulation notices broken entries.
func TestSimulationCatchesFaults(t *testing.T) {
	const seeds = 40
	for name, broken := range map[string]struct {
		fault    simFault
		scenario entriesScenario
	}{
		"targets not checked":             {targetsNotChecked, usualScenario},
		"only newest crashes":             {onlyNewestCrashes, usualScenario},
		"trials unlimited":                {trialsUnlimited, usualScenario},
		"mass crashes count once":         {massCrashesCountOnce, usualScenario},
		"crashes merged until registered": {crashesMergedUntilRegistered, fewTargetsScenario},
		"trials not shared":               {trialsNotShared, trialsScenario},
		"evidence not stored":             {evidenceNotStored, lostEvidenceScenario},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario := broken.scenario
			scenario.storeAway = broken.fault == onlyNewestCrashes || broken.fault == trialsNotShared
			scenario.fault = broken.fault
			caught := 0
			for seed := range uint64(seeds) {
				sim := newEntriesSim(scenario, seed)
				sim.run()
				if sim.laterSends > maxLaterSends {
					caught++
				}
			}
			require.Positive(t, caught)
			t.Logf("caught with %d of %d seeds", caught, seeds)
		})
	}
}

// TestPopularRequestSurvivesMassCrashes guards against a harmless request that stays refused
// because it was in flight when many targets lost power at once.
func TestPopularRequestSurvivesMassCrashes(t *testing.T) {
	for seed := range uint64(20) {
		sim := newEntriesSim(entriesScenario{entries: 4, targets: 12, harmlessPerSecond: 20, restart: 2 * time.Second}, seed)
		sim.massCrashes = 8 * time.Second
		sim.run()
		require.Less(t, sim.longestPopularOutage, maxPopularOutage, "seed %d", seed)
	}
}
