package admit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	testCold         = 4
	testMaximum      = 32
	normalFirstToken = 100 * time.Millisecond
	slowFirstToken   = 2 * time.Second
)

// gateFixture drives a gate with a fake clock.
type gateFixture struct {
	clock *clockwork.FakeClock
	gate  *Gate
}

func newGateFixture(limiter LimiterKind) *gateFixture {
	clock := clockwork.NewFakeClock()
	gate := NewGate(GateConfig{ColdLimit: testCold, Maximum: testMaximum, Limiter: limiter, Clock: clock})
	return &gateFixture{clock: clock, gate: gate}
}

// admitAll admits requests until the gate refuses one.
func (f *gateFixture) admitAll() []*Ticket {
	var tickets []*Ticket
	for {
		ticket, err := f.gate.Admit()
		if err != nil {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

// round admits as many requests as possible, completes them all with the given
// first-token time, and returns their number.
func (f *gateFixture) round(firstToken time.Duration) int {
	done := 0
	var running []*Ticket
	for {
		admitted := f.admitAll()
		if len(admitted) == 0 {
			break
		}
		f.clock.Advance(firstToken)
		for _, t := range admitted {
			t.FirstToken(firstToken)
		}
		running = append(running, admitted...)
	}
	f.clock.Advance(time.Second)
	for _, t := range running {
		t.Done(Result{OK: true, Tokens: 1})
		done++
	}
	return done
}

// warmUp raises the limit to the maximum.
func (f *gateFixture) warmUp(t *testing.T) {
	t.Helper()
	for range 400 {
		f.round(normalFirstToken)
	}
	require.Equal(t, testMaximum, f.gate.State().Limit)
}

func TestGateRefusesUntilEngineIsKnown(t *testing.T) {
	fixture := newGateFixture(LimiterGradient)
	_, err := fixture.gate.Admit()
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, ReasonEngineUnknown, refused.Reason)
	require.Equal(t, failure.NotRun, failure.From(err).Outcome)
	require.Zero(t, fixture.gate.Credits(1))

	fixture.gate.SetUntrackedInFlight(testCold - 1)
	require.Len(t, fixture.admitAll(), 1, "work in flight that the gate did not admit counts")
	fixture.gate.SetUntrackedInFlight(0)
	require.Len(t, fixture.admitAll(), testCold-1)
}

func TestGateResetsToColdLimit(t *testing.T) {
	tests := []struct {
		desc   string
		signal func(*gateFixture)
	}{
		{"new engine incarnation", func(f *gateFixture) { f.gate.EngineStarted("second") }},
		{"failed probe", func(f *gateFixture) { f.gate.ObserveProbe(false, 0) }},
		{"slow probe", func(f *gateFixture) {
			for range baselineMinSamples {
				f.gate.ObserveProbe(true, time.Millisecond)
			}
			f.gate.ObserveProbe(true, time.Second)
		}},
		{"slow first tokens", func(f *gateFixture) {
			for _, ticket := range f.admitAll() {
				ticket.FirstToken(slowFirstToken)
			}
		}},
		{"overdue first tokens", func(f *gateFixture) {
			f.admitAll()
			f.clock.Advance(slowFirstToken)
			_, err := f.gate.Admit()
			require.Error(t, err)
		}},
		{"lost prefix cache", func(f *gateFixture) {
			for range 3 * cacheMinSamples {
				f.serveCached(90)
			}
			for range cacheMinSamples {
				f.serveCached(0)
			}
		}},
		{"closed and opened", func(f *gateFixture) {
			f.gate.Close(ReasonFailureDomainOut)
			f.gate.Open()
		}},
	}
	for _, limiter := range []LimiterKind{LimiterAIMD, LimiterGradient} {
		for _, tt := range tests {
			t.Run(string(limiter)+"/"+tt.desc, func(t *testing.T) {
				fixture := newGateFixture(limiter)
				fixture.gate.EngineStarted("first")
				fixture.warmUp(t)
				tt.signal(fixture)
				state := fixture.gate.State()
				require.Equal(t, testCold, state.Limit)
				require.False(t, state.Warm)
			})
		}
	}
}

// serveCached completes one request with 100 prompt tokens, of which the given
// number were cached.
func (f *gateFixture) serveCached(cached int) {
	ticket, err := f.gate.Admit()
	if err != nil {
		return
	}
	ticket.FirstToken(normalFirstToken)
	ticket.Done(Result{OK: true, PromptTokens: 100, CachedTokens: cached})
}

func TestGateIgnoresTicketsOfPreviousEngine(t *testing.T) {
	fixture := newGateFixture(LimiterAIMD)
	fixture.gate.EngineStarted("first")
	old := fixture.admitAll()
	fixture.gate.EngineStarted("second")
	require.Zero(t, fixture.gate.State().InFlight, "the work of the first engine is gone")
	fresh := fixture.admitAll()
	require.Len(t, fresh, testCold)
	for _, ticket := range old {
		ticket.FirstToken(normalFirstToken)
		ticket.Done(Result{OK: true})
	}
	require.Equal(t, testCold, fixture.gate.State().InFlight)
	require.Zero(t, fixture.gate.firstTokens.samples, "the baseline of the second engine starts anew")
	fresh[0].Done(Result{OK: true})
	fresh[0].Done(Result{OK: true})
	require.Equal(t, testCold-1, fixture.gate.State().InFlight, "a second Done has no effect")
}

func TestGateCreditsAndClose(t *testing.T) {
	fixture := newGateFixture(LimiterGradient)
	fixture.gate.EngineStarted("first")
	require.Equal(t, testCold, fixture.gate.Credits(1), "never more than the free slots")
	require.Equal(t, 2, fixture.gate.Credits(2*testCold), "each free slot is offered creditsOvercommit times")
	require.Equal(t, 1, fixture.gate.Credits(100), "a free slot is offered even to many entries")
	fixture.admitAll()
	require.Zero(t, fixture.gate.Credits(1))
	_, err := fixture.gate.Admit()
	require.Positive(t, failure.From(err).RetryAfter)

	fixture.gate.Close(ReasonLeaving)
	_, err = fixture.gate.Admit()
	require.Equal(t, failure.Leaving, failure.From(err).Kind)
}

func TestServiceGateGrowsWithoutFirstTokens(t *testing.T) {
	gate := NewGate(GateConfig{ColdLimit: 1, Maximum: 3, Kind: table.KindService, Clock: clockwork.NewFakeClock()})
	gate.EngineStarted("first")
	for range 2 * maxColdRounds * minRoundSize {
		ticket, err := gate.Admit()
		require.NoError(t, err)
		ticket.Done(Result{OK: true})
	}
	require.Greater(t, gate.State().Limit, 1)
}

// TestGateBoundsWorkOfUndetectedColdEngine checks the guarantee of unprovenWindow:
// whatever happened before, an engine that becomes cold undetected, and therefore
// produces no more first tokens in normal time, never holds more than the cold
// limit of the work admitted since.
func TestGateBoundsWorkOfUndetectedColdEngine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]LimiterKind{LimiterAIMD, LimiterGradient}).Draw(rt, "limiter")
		fixture := newGateFixture(kind)
		fixture.gate.EngineStarted("first")
		for range rapid.IntRange(5, 60).Draw(rt, "warm rounds") {
			fixture.round(normalFirstToken)
		}
		var before, after []*Ticket
		for range rapid.IntRange(0, testMaximum).Draw(rt, "in flight") {
			if ticket, err := fixture.gate.Admit(); err == nil {
				before = append(before, ticket)
				if rapid.Bool().Draw(rt, "has first token") {
					ticket.FirstToken(normalFirstToken)
				}
			}
		}
		for range rapid.IntRange(10, 200).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 5:
				if len(before) > 0 {
					before[0].FirstToken(normalFirstToken)
					before = before[1:]
				}
			case 0, 1:
				if ticket, err := fixture.gate.Admit(); err == nil {
					after = append(after, ticket)
				}
			case 2:
				after = endOne(rt, after)
			case 3:
				before = endOne(rt, before)
			case 4:
				fixture.clock.Advance(50 * time.Millisecond)
			}
			require.LessOrEqual(rt, len(after), testCold)
		}
	})
}

// endOne reports a slow first token for one ticket and, at random, its end.
func endOne(rt *rapid.T, tickets []*Ticket) []*Ticket {
	if len(tickets) == 0 {
		return tickets
	}
	i := rapid.IntRange(0, len(tickets)-1).Draw(rt, "which")
	tickets[i].FirstToken(slowFirstToken)
	if rapid.Bool().Draw(rt, "ends") {
		tickets[i].Done(Result{OK: true})
		return append(tickets[:i:i], tickets[i+1:]...)
	}
	return tickets
}
