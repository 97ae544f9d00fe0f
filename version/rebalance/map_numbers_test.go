package rebalance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
	"verbenaseam.example/verbenaseam/version/expertmap"
)

// numberedEngine is the engine of a planner's rank, as far as it accepts numbers. Its commands get
// lost, or arrive after its agent was restarted.
type numberedEngine struct {
	accepted, prepared uint64
	// before is what was prepared before the copy in progress, 0 for none.
	before uint64
	late   []uint64
}

func (e *numberedEngine) accept(number uint64) bool {
	if number <= e.accepted {
		return false
	}
	e.accepted, e.prepared = number, number
	return true
}

// giveOutNumbers runs planners of one rank, each of which is restarted at a random moment, and returns
// a number that was given out twice, 0 if there is none.
func giveOutNumbers(seed uint64) uint64 {
	random := rand.New(rand.NewPCG(seed, 1))
	engine := &numberedEngine{}
	given := map[uint64]bool{}
	numbers := mapNumbers{rank: 3}
	lastGiven := uint64(0)
	for range 2000 {
		switch random.IntN(13) {
		case 0:
			numbers = mapNumbers{rank: 3}
		case 1:
			numbers.observe(lastGiven)
		case 2:
			numbers.observeEpoch(random.Uint64N(1 << 44))
		case 3:
			// The engine copies a map of this planner, and reports none meanwhile.
			if before := engine.prepared; engine.accept(lastGiven) {
				engine.prepared, engine.before = 0, before
			}
		case 9:
			// The copy has failed.
			if engine.prepared == 0 {
				engine.prepared = engine.before
			}
		case 4:
			numbers.refused()
		case 5:
			if len(engine.late) > 0 {
				engine.accept(engine.late[0])
				engine.late = engine.late[1:]
			}
		case 6, 7, 8:
			number := numbers.claim(engine.prepared)
			if number == 0 || random.IntN(3) == 0 {
				continue
			}
			numbers.claimSent()
			switch random.IntN(3) {
			case 0:
				engine.late = append(engine.late, number)
			default:
				if !engine.accept(number) && random.IntN(2) == 0 {
					numbers.refused()
				}
			}
		default:
			if !numbers.usable() {
				continue
			}
			number := numbers.next().Number()
			if given[number] {
				return number
			}
			given[number], lastGiven = true, number
			numbers.observe(number)
		}
	}
	return 0
}

// TestMapNumbersAreNeverGivenOutTwice guards against two maps with one number, whichever of the
// planner's starts, claims and reports are lost or late.
func TestMapNumbersAreNeverGivenOutTwice(t *testing.T) {
	for seed := range uint64(400) {
		require.Zero(t, giveOutNumbers(seed), "seed %d", seed)
	}
}

// TestMapNumbersWithoutClaimsAreDetected breaks the rules of claims, each of which must show.
func TestMapNumbersWithoutClaimsAreDetected(t *testing.T) {
	for name, edit := range map[string]mutant.Edit{
		"epochs are used unclaimed":                {File: "map_numbers.go", Old: "return n.claimed && ", New: "return n.epoch != 0 && "},
		"a claim of an earlier planner is adopted": {File: "map_numbers.go", Old: "if n.sent && prepared", New: "if prepared"},
	} {
		t.Run(name, func(t *testing.T) {
			output, passed, err := mutant.Run(t.TempDir(), []mutant.Edit{edit}, "TestMapNumbersAreNeverGivenOutTwice", name)
			require.NoError(t, err)
			require.False(t, passed, "the broken rule is not detected")
			require.Contains(t, output, "seed ")
		})
	}
}

// TestNumbersStayWithinTheirEpoch guards against versions that run over into the epoch's bits.
func TestNumbersStayWithinTheirEpoch(t *testing.T) {
	numbers := mapNumbers{rank: 3}
	claimed := numbers.claim(0)
	numbers.claimSent()
	require.Zero(t, numbers.claim(claimed))
	numbers.version = maxVersion - 2
	last := numbers.next()
	require.Equal(t, last, expertmap.MapIDFromNumber(last.Number()))
	require.Equal(t, last.Invalidator(), expertmap.MapIDFromNumber(last.Invalidator().Number()))
	require.False(t, numbers.usable())
	require.Greater(t, numbers.claim(claimed), last.Number())
	numbers.observe(1<<64 - 1)
	numbers.observeEpoch(1<<64 - 1)
	require.Less(t, numbers.claim(claimed), uint64(1)<<63, "numbers that no planner gives out are not believed")
}
