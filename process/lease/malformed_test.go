package lease

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/platform"
)

// malformedRows are values of a lease row that no process writes.
func malformedRows(t testing.TB) map[string][]byte {
	encode := func(row any) []byte {
		value, err := cbor.Marshal(row)
		require.NoError(t, err)
		return value
	}
	nested := make([]byte, 20000)
	for i := range nested {
		nested[i] = 0x81
	}
	return map[string][]byte{
		"empty":                  {},
		"deep nesting":           nested,
		"a text":                 encode("holder"),
		"a number too large":     encode(map[int]any{2: 1e300}),
		"the highest epoch":      encode(Row{Holder: "h", Epoch: math.MaxUint64, TTLMillis: 1000}),
		"a TTL that overflows":   encode(Row{Holder: "h", Epoch: 1, TTLMillis: math.MaxInt64}),
		"a TTL without end":      encode(Row{Holder: "h", Epoch: 1, TTLMillis: 1e12}),
		"a TTL in the past":      encode(Row{Holder: "h", Epoch: 1, TTLMillis: -1}),
		"a holder of other type": encode(map[int]any{1: []int{1}, 2: 1, 3: 1000}),
	}
}

// acquireAfter lets a machine read a row in era 1, waits, and returns what it does then.
func acquireAfter(value []byte, wait time.Duration) (*Machine, Step) {
	now := time.Unix(1000, 0)
	m := NewMachine("self", testTTL, rand.New(rand.NewPCG(1, 1)))
	m.ObserveEra(now, 1)
	m.Next(now)
	rows := []platform.Row{{Key: Key("l"), Value: value, Revision: platform.Revision{Era: 1, Number: 7}}}
	row, revision, err := decodeRow("l", rows)
	m.ReadDone(now, row, revision, err)
	return m, m.Next(now.Add(wait))
}

// TestMalformedRowDoesNotBlockTheLease guards against a lease that nobody can acquire any more
// because of what another writer left in its row, against one that is taken while its holder may
// still rely on it, and against epochs that are given out again.
func TestMalformedRowDoesNotBlockTheLease(t *testing.T) {
	for name, value := range malformedRows(t) {
		t.Run(name, func(t *testing.T) {
			_, step := acquireAfter(value, testTTL)
			require.NotEqual(t, StepWrite, step, "its holder may not have stopped yet")
			m, step := acquireAfter(value, testTTL+testTTL/10)
			require.Equal(t, StepWrite, step)
			row, revision := m.Pending()
			require.Equal(t, platform.Revision{Era: 1, Number: 7}, revision)
			require.Equal(t, uint64(1<<eraShift|7)+1, row.Epoch)
		})
	}
}

// TestMalformedRowWithoutAnEra guards against epochs that are given out again where nothing but
// the row tells them.
func TestMalformedRowWithoutAnEra(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMachine("self", testTTL, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, StepRead, m.Next(now))
	m.ReadDone(now, Row{}, platform.Revision{Number: 7}, &RowCodecError{Key: Key("l"), Cause: errOutOfRange})
	require.NotEqual(t, StepWrite, m.Next(now.Add(time.Hour)))
}

func FuzzDecodeRow(f *testing.F) {
	for _, value := range malformedRows(f) {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		m, step := acquireAfter(value, 2*time.Hour)
		require.Equal(t, StepWrite, step, "some process must be able to acquire the lease")
		row, _ := m.Pending()
		require.Greater(t, row.Epoch, uint64(1<<eraShift|7))
		require.LessOrEqual(t, row.Epoch, uint64(maxEpoch)+1)
	})
}
