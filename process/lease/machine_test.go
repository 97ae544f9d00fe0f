package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	measure "verbenaseam.example/verbenaseam/internal/measure/rollout"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

const testTTL = time.Second

// simulation is a discrete-event simulation of machines whose clocks run at
// different rates against one table. It injects process pauses and lost and late
// replies at every step. now is the true time.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Duration
	events     []simEvent
	table      *measure.MemoryTable
	faultsOff  bool
	candidates []*candidate
	fence      *Fence
	// applied holds the epochs of the orders that took effect, in order.
	applied  []uint64
	rejected int
	// copies are the latest copies of the table, and restores counts the times that it has
	// returned from one.
	copies   []measure.TableCopy
	copiedAt time.Duration
	restores int
	// holders maps each epoch to the process that held the lease under it.
	holders map[uint64]*Machine
	// started counts replacement processes; it makes their names unique.
	started int
}

type simEvent struct {
	at  time.Duration
	run func()
}

// candidate is a process that campaigns for the lease.
type candidate struct {
	machine     *Machine
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration
	// era is the latest era of the platform in a response to this process.
	era uint64
}

// respond delivers the response of a call that the table has carried out, of which the era
// is given. It reports false for a response of an era before the latest known one, which the
// platform's client drops.
func (c *candidate) respond(now time.Duration, era uint64) bool {
	if era < c.era {
		return false
	}
	c.era = era
	c.machine.ObserveEra(c.localTime(now), era)
	return true
}

// localTime returns the reading of the candidate's clock at a true time.
func (c *candidate) localTime(now time.Duration) time.Time {
	return time.Unix(1000, 0).Add(c.clockOffset + time.Duration(float64(now)*c.clockRate))
}

// scheduleStep schedules a step of a candidate. A pause of the candidate that has
// begun by then, or begins then, delays the step.
func (s *simulation) scheduleStep(c *candidate, delay time.Duration, run func()) {
	s.schedule(delay, func() {
		if c.pausedUntil > s.now {
			s.scheduleStep(c, c.pausedUntil-s.now, run)
			return
		}
		if !s.faultsOff && s.random.IntN(40) == 0 {
			c.pausedUntil = s.now + s.randomDelay(3*testTTL)
			s.scheduleStep(c, c.pausedUntil-s.now, run)
			return
		}
		run()
	})
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	event := simEvent{s.now + delay, run}
	index, _ := slices.BinarySearchFunc(s.events, event, func(x, y simEvent) int {
		if x.at <= y.at {
			return -1
		}
		return 1
	})
	s.events = slices.Insert(s.events, index, event)
}

func (s *simulation) randomDelay(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// messageDelay returns a random network delay; one in 30 delays may exceed the TTL.
func (s *simulation) messageDelay() time.Duration {
	if !s.faultsOff && s.random.IntN(30) == 0 {
		return s.randomDelay(3 * testTTL)
	}
	return s.randomDelay(20 * time.Millisecond)
}

// runCandidate takes one step of a candidate and schedules the next one.
func (s *simulation) runCandidate(c *candidate) {
	s.maybeReplace(c)
	switch c.machine.Next(c.localTime(s.now)) {
	case StepRead:
		s.read(c)
	case StepWrite:
		s.write(c)
	}
	if epoch, held := c.machine.Held(c.localTime(s.now)); held {
		// The lease was held at the check; a pause may follow before the order is sent.
		s.scheduleStep(c, s.randomDelay(10*time.Millisecond), func() { s.schedule(s.messageDelay(), func() { s.deliverOrder(epoch) }) })
	}
	s.scheduleStep(c, 10*time.Millisecond+s.randomDelay(40*time.Millisecond), func() { s.runCandidate(c) })
}

// maybeReplace randomly makes a candidate leave or crash; a new process replaces a
// candidate that has left or crashed.
func (s *simulation) maybeReplace(c *candidate) {
	if !s.faultsOff && s.random.IntN(60) == 0 {
		c.machine.Release()
	}
	if c.machine.Released(c.localTime(s.now)) || !s.faultsOff && s.random.IntN(400) == 0 {
		s.started++
		random := rand.New(rand.NewPCG(s.random.Uint64(), 4))
		c.machine = NewMachine(fmt.Sprintf("p%d", s.started), testTTL, random)
	}
}

func (s *simulation) read(c *candidate) {
	m := c.machine
	s.schedule(s.messageDelay(), func() {
		row, revision, err := readRow(context.Background(), s.table, "x")
		era := s.table.Era()
		s.scheduleStep(c, s.messageDelay(), func() {
			if err == nil && !c.respond(s.now, era) {
				err = &platform.UnavailableError{}
			}
			m.ReadDone(c.localTime(s.now), row, revision, err)
		})
	})
}

func (s *simulation) write(c *candidate) {
	m := c.machine
	row, revision := m.Pending()
	txn, err := encodeTxn("x", row, revision)
	require.NoError(s.t, err)
	if !s.faultsOff && s.random.IntN(10) == 0 {
		// The reply is lost at once, but the write takes effect much later.
		s.scheduleStep(c, s.messageDelay(), func() { m.WriteDone(c.localTime(s.now), false, platform.Revision{}, true) })
		s.schedule(s.randomDelay(2*testTTL), func() { _, _ = s.commit(txn) })
		return
	}
	s.schedule(s.messageDelay(), func() {
		result, err := s.commit(txn)
		era := s.table.Era()
		s.scheduleStep(c, s.messageDelay(), func() {
			if err == nil && (!c.respond(s.now, era) || !revision.IsAbsent() && revision.Era != era) {
				err = &platform.UnknownEffectError{}
			}
			m.WriteDone(c.localTime(s.now), result.Committed, result.Revision, err != nil)
		})
	})
}

// commit carries out a transaction as the platform's store does, which compares only the
// numbers of revisions.
func (s *simulation) commit(txn platform.Txn) (platform.TxnResult, error) {
	for i := range txn.Conditions {
		if !txn.Conditions[i].Revision.IsAbsent() {
			txn.Conditions[i].Revision.Era = s.table.Era()
		}
	}
	return s.table.Commit(context.Background(), txn)
}

// deliverOrder delivers an order to the fencing check in front of the engine.
func (s *simulation) deliverOrder(epoch uint64) {
	err := s.fence.Do(context.Background(), "x", epoch, func() error {
		s.applied = append(s.applied, epoch)
		return nil
	})
	if err != nil {
		s.rejected++
	}
}

func (s *simulation) run(until time.Duration) {
	for s.now < until && len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.run()
		s.takeCopy()
		holders := 0
		for _, c := range s.candidates {
			epoch, held := c.machine.Held(c.localTime(s.now))
			if !held {
				continue
			}
			holders++
			if s.holders[epoch] == nil {
				s.holders[epoch] = c.machine
			}
			require.Same(s.t, s.holders[epoch], c.machine, "epoch %d given out twice", epoch)
		}
		require.LessOrEqual(s.t, holders, 1, "two holders at %s", s.now)
	}
}

// TestSingleHolderAndNoStaleOrderApplied guards against two holders at a time, and
// against an order of a former holder taking effect after one of its successor.
// Three processes whose clock rates differ by 1% each campaign under pauses, store
// outages, lost replies, late writes and restarts of the process that runs the fencing
// check.
func TestSingleHolderAndNoStaleOrderApplied(t *testing.T) {
	epochs, rejected, _ := simulate(t, false)
	require.Greater(t, epochs, uint64(600), "too few changes of holder")
	require.Positive(t, rejected)
}

// simulate runs the simulation with many seeds. It returns the sum of the last epochs, how
// many orders the fence has rejected, and how often the table was restored.
func simulate(t *testing.T, restored bool) (epochs uint64, rejected, restores int) {
	t.Helper()
	for seed := range 60 {
		table := measure.NewMemoryTable()
		s := &simulation{holders: map[uint64]*Machine{}, t: t, random: rand.New(rand.NewPCG(uint64(seed), 3)), table: table, fence: NewFence(table)}
		for i, rate := range []float64{0.99, 1, 1.01} {
			c := &candidate{clockRate: rate, clockOffset: s.randomDelay(time.Hour)}
			c.machine = NewMachine(fmt.Sprintf("first%d", i), testTTL, rand.New(rand.NewPCG(uint64(seed), uint64(i))))
			s.candidates = append(s.candidates, c)
			s.scheduleStep(c, s.randomDelay(testTTL), func() { s.runCandidate(c) })
		}
		for range 20 {
			s.run(s.now + 3*testTTL)
			s.fence = NewFence(table)
			table.SetDown(s.random.IntN(4) == 0)
			if restored && s.random.IntN(2) == 0 {
				s.restore()
			}
		}
		table.SetDown(false)
		s.faultsOff = true
		for _, c := range s.candidates {
			c.pausedUntil = 0
		}
		before := len(s.applied)
		s.run(s.now + 8*testTTL)
		require.True(t, slices.IsSorted(s.applied), "seed %d: a stale order took effect after a newer one", seed)
		require.Greater(t, len(s.applied), before, "seed %d: no process acquired the lease after the faults ended", seed)
		epochs += s.applied[len(s.applied)-1]
		rejected += s.rejected
		restores += s.restores
	}
	return epochs, rejected, restores
}

func TestFenceRejectsStaleAndUnreadableEpochs(t *testing.T) {
	table := measure.NewMemoryTable()
	txn, err := encodeTxn("x", Row{Holder: "h", Epoch: 5}, platform.Revision{})
	require.NoError(t, err)
	_, err = table.Commit(t.Context(), txn)
	require.NoError(t, err)
	fence := NewFence(table)
	applied := 0
	apply := func() error { applied++; return nil }
	table.SetDown(true)
	err = fence.Do(t.Context(), "x", 9, apply)
	require.Equal(t, failure.PlatformUnavailable, failure.From(err).Kind)
	require.Equal(t, failure.NotRun, failure.From(err).Outcome)
	table.SetDown(false)
	require.ErrorAs(t, fence.Do(t.Context(), "x", 4, apply), new(*StaleEpochError))
	require.NoError(t, fence.Do(t.Context(), "x", 5, apply))
	table.SetDown(true)
	require.NoError(t, fence.Do(t.Context(), "x", 7, apply), "the initial epoch has been read before")
	require.ErrorAs(t, fence.Do(t.Context(), "x", 6, apply), new(*StaleEpochError))
	require.Equal(t, 2, applied)
}

// TestReleasedLeaseIsAcquiredAtOnce uses a TTL of an hour, so that a second holder
// that waits for the expiry would not acquire the lease within the test.
func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	table := measure.NewMemoryTable()
	clock := clockwork.NewRealClock()
	campaign := func(holder string) (*Lease, context.CancelFunc, chan struct{}) {
		l := New(Config{Table: table, Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Name: "x", Holder: holder, TTL: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = l.Run(ctx) }()
		return l, cancel, done
	}
	first, cancel, done := campaign("a")
	for epoch := uint64(0); epoch != 1; epoch, _ = first.Epoch() {
		clock.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	_, err := first.Epoch()
	require.ErrorIs(t, err, ErrNotHeld)
	second, cancel, done := campaign("b")
	for epoch := uint64(0); epoch != 2; epoch, _ = second.Epoch() {
		clock.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

var _ platform.Table = (*measure.MemoryTable)(nil)

// TestClockRatesLeaveNoOverlap covers the worst case: the clock of the holder is
// slow, that of the other process fast, and the other process sees the row in the
// instant it was written.
func TestClockRatesLeaveNoOverlap(t *testing.T) {
	slow, fast := &candidate{clockRate: 0.99}, &candidate{clockRate: 1.01}
	random := rand.New(rand.NewPCG(1, 1))
	slow.machine, fast.machine = NewMachine("slow", testTTL, random), NewMachine("fast", testTTL, random)
	require.Equal(t, StepRead, slow.machine.Next(slow.localTime(0)))
	slow.machine.ReadDone(slow.localTime(0), Row{}, platform.Revision{}, nil)
	require.Equal(t, StepWrite, slow.machine.Next(slow.localTime(0)))
	row, _ := slow.machine.Pending()
	written := platform.Revision{Number: 1}
	slow.machine.WriteDone(slow.localTime(0), true, written, false)
	fast.machine.Next(fast.localTime(0))
	fast.machine.ReadDone(fast.localTime(0), row, written, nil)
	for now := time.Duration(0); ; now += time.Millisecond {
		_, held := slow.machine.Held(slow.localTime(now))
		step := fast.machine.Next(fast.localTime(now))
		if step == StepRead {
			fast.machine.ReadDone(fast.localTime(now), row, written, nil)
		}
		if step == StepWrite {
			require.False(t, held, "lease acquired while another process holds it")
			require.Less(t, now, 2*testTTL)
			return
		}
	}
}
