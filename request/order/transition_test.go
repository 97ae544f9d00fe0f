package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRecordTransitions applies random changes. It guards against a done order
// that loses its result, an unknown order that gets another attempt, a new
// attempt although the previous one may still run, and a record that its encoding
// does not preserve.
func TestRecordTransitions(t *testing.T) {
	start := time.Unix(1_700_000_000, 0).UTC()
	kinds := []ChangeKind{ChangeInsert, ChangeFinish, ChangeMarkNotRun, ChangeMarkUnknown, ChangeRetry}
	rapid.Check(t, func(t *rapid.T) {
		var record Record
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			change := Change{
				Kind:            rapid.SampledFrom(kinds).Draw(t, "kind"),
				Nonce:           rapid.SampledFrom([]string{record.Nonce, "other"}).Draw(t, "nonce"),
				ConfirmedNotRun: rapid.Bool().Draw(t, "confirmed not run"),
				Result:          &Result{Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body")},
				Now:             start.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "minutes")) * time.Minute),
			}
			change.Next = NextAttempt{
				Nonce: rapid.StringMatching("n[a-z]{8}").Draw(t, "next"), Organisation: "o", Key: "k",
				Expires: change.Now.Add(time.Hour),
			}
			next, err := Apply(record, change)
			if err != nil {
				require.Equal(t, record, next)
				continue
			}
			checkTransition(t, record, change, next)
			record = next
			content, err := record.Encode()
			require.NoError(t, err)
			decoded, err := Decode(content)
			require.NoError(t, err)
			again, err := decoded.Encode()
			require.NoError(t, err)
			require.Equal(t, content, again)
		}
	})
}

func checkTransition(t require.TestingT, from Record, change Change, to Record) {
	if change.Kind == ChangeInsert {
		require.True(t, from.State == StatePending || from.Expired(change.Now))
		require.Equal(t, 1, to.Attempt)
		return
	}
	require.NotEqual(t, StateDone, from.State, "a result is final")
	require.Equal(t, from.Nonce, change.Nonce)
	switch {
	case from.State == StateUnknown:
		require.Equal(t, StateDone, to.State)
	case to.Attempt != from.Attempt:
		require.Equal(t, from.Attempt+1, to.Attempt)
		require.True(t, from.State == StateNotRun || change.ConfirmedNotRun)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	content, _ := Record{Organisation: "o", Key: "k", State: StateDone, Result: &Result{Status: 200}}.Encode()
	f.Add(content)
	f.Add(content[:len(content)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		record, err := Decode(content)
		if err != nil {
			return
		}
		require.Equal(t, record.State == StateDone, record.Result != nil)
		_, err = record.Encode()
		require.NoError(t, err)
	})
}

func TestAgentClockIsALowerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		reading := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "reading"))
		clock := ObserveAgentClock(reading, now)
		elapsed := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "elapsed"))
		entryRate := rapid.Float64Range(0.99, 1.01).Draw(t, "entry rate")
		agentRate := rapid.Float64Range(0.99, 1.01).Draw(t, "agent rate")
		bound := clock.LowerBound(now.Add(time.Duration(float64(elapsed) * entryRate)))
		require.LessOrEqual(t, bound, reading+time.Duration(float64(elapsed)*agentRate)+1)
	})
}
