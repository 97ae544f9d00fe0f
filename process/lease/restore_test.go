package lease

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/platform"
)

const (
	// copyInterval is the time between two copies of the table, of which maxCopies are kept.
	copyInterval = testTTL / 2
	maxCopies    = 6
)

// takeCopy copies the table if a copy is due.
func (s *simulation) takeCopy() {
	if len(s.copies) > 0 && s.now-s.copiedAt < copyInterval {
		return
	}
	s.copiedAt = s.now
	s.copies = append(s.copies, s.table.Copy())
	s.copies = s.copies[max(len(s.copies)-maxCopies, 0):]
}

// restore makes the table return from a copy that is up to three TTLs old.
func (s *simulation) restore() {
	s.table.Restore(s.copies[s.random.IntN(len(s.copies))])
	s.restores++
}

// TestSingleHolderThroughRestores guards against two holders, or two holders that had the
// same epoch, when the store returns from an older copy: the lease is taken while its holder
// goes on, and numbers are given out again.
func TestSingleHolderThroughRestores(t *testing.T) {
	_, rejected, restores := simulate(t, true)
	require.Positive(t, rejected)
	require.Greater(t, restores, 300, "too few restores")
}

// TestLeaseIsConfirmedAfterRestore guards against a lease that counts as held although the
// platform has returned from a copy that may not have it, and against a holder that loses it
// for a whole TTL.
func TestLeaseIsConfirmedAfterRestore(t *testing.T) {
	holder := &candidate{clockRate: 1}
	m := NewMachine("holder", testTTL, rand.New(rand.NewPCG(1, 1)))
	now := holder.localTime(0)
	read := func(row Row, revision platform.Revision) {
		require.Equal(t, StepRead, m.Next(now))
		m.ReadDone(now, row, revision, nil)
	}
	write := func(revision platform.Revision) {
		require.Equal(t, StepWrite, m.Next(now))
		m.WriteDone(now, true, revision, false)
	}
	read(Row{}, platform.Revision{})
	write(platform.Revision{Number: 7})
	before, held := m.Held(now)
	require.True(t, held)

	m.ObserveEra(now, 1)
	_, held = m.Held(now)
	require.False(t, held)
	read(Row{Holder: "earlier", Epoch: 1, TTLMillis: testTTL.Milliseconds()}, platform.Revision{Era: 1, Number: 3})
	write(platform.Revision{Era: 1, Number: 4})
	after, held := m.Held(now)
	require.True(t, held, "confirmed at once")
	require.Greater(t, after, before)
}
