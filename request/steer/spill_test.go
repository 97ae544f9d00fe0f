package steer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replay is callers in three failure domains, whose demand moves, and the entries that they
// follow.
type replay struct {
	hosts  []Host
	spill  *Spill
	random func() float64
	now    time.Time
	// callers holds where each caller is directed and until when it keeps the answer.
	callers []replayCaller
	// steered is false to direct all callers to their own domain.
	steered bool
}

type replayCaller struct {
	home, domain string
	until        time.Time
	// position of the caller among those of its domain, from 0 to 1; it is active while that is
	// below the domain's demand.
	position float64
}

const (
	replayStep = 100 * time.Millisecond
	// replayCallers is the number of callers of each domain.
	replayCallers = 400
	// maxDemand is the demand of a domain, in parts of its capacity, with all of its callers.
	maxDemand = 2.0
)

var replayDomains = []string{"a", "b", "c"}

func newReplay(steered bool) *replay {
	r := &replay{spill: NewSpill(), random: seeded(3), now: time.Unix(1000, 0), steered: steered}
	for _, domain := range replayDomains {
		r.hosts = append(r.hosts, mixedHosts(domain)...)
		for n := range replayCallers {
			r.callers = append(r.callers, replayCaller{home: domain, domain: domain, position: float64(n) / replayCallers})
		}
	}
	return r
}

// step advances by replayStep with the given demand of each domain, in parts of its capacity.
// It returns the load of each domain in the same unit, of which entries report at most 1.
func (r *replay) step(demand func(domain string) float64) map[string]float64 {
	r.now = r.now.Add(replayStep)
	load := map[string]float64{}
	for i := range r.callers {
		c := &r.callers[i]
		if c.position >= demand(c.home)/maxDemand {
			continue
		}
		if !r.now.Before(c.until) {
			c.domain = c.home
			if r.steered {
				c.domain = r.spill.Domain(c.home, r.random)
			}
			keeps := time.Second
			if r.random() < 0.3 {
				keeps *= 3
			}
			c.until = r.now.Add(keeps)
		}
		load[c.domain] += maxDemand / replayCallers
	}
	for i := range r.hosts {
		r.hosts[i].Busy = min(load[r.hosts[i].FailureDomain], 1)
	}
	r.spill.Update(r.hosts, r.now)
	return load
}

// overload returns the mean load above the capacity, of all domains, over a time.
func (r *replay) overload(d time.Duration, demand func(domain string, at time.Duration) float64) float64 {
	sum := 0.0
	for at := time.Duration(0); at < d; at += replayStep {
		for _, load := range r.step(func(domain string) float64 { return demand(domain, at) }) {
			sum += max(load-1, 0)
		}
	}
	return sum * replayStep.Seconds() / d.Seconds()
}

// TestCallersOfFullDomainAreDirectedElsewhere guards against small entries that are overloaded
// while those of other domains are idle, against callers that are sent to and fro, and against
// ones that do not return.
func TestCallersOfFullDomainAreDirectedElsewhere(t *testing.T) {
	demand := map[string]float64{"a": 1.3, "b": 0.3, "c": 0.3}
	of := func(domain string, _ time.Duration) float64 { return demand[domain] }
	r := newReplay(true)
	r.overload(10*time.Second, of)
	require.InDelta(t, 0.5/1.3, r.spill.Part("a"), 0.08, "0.8 of the capacity is used by its own callers")
	require.Zero(t, r.spill.Part("b"))
	least, most := 1.0, 0.0
	for range 100 {
		load := r.step(func(domain string) float64 { return demand[domain] })
		require.Less(t, load["a"], 0.95)
		part := r.spill.Part("a")
		least, most = min(least, part), max(most, part)
	}
	require.Less(t, most-least, 0.15)
	demand["a"] = 0.6
	r.overload(5*time.Second, of)
	require.Zero(t, r.spill.Part("a"))
	demand = map[string]float64{"a": 1.3, "b": 1.2, "c": 1.4}
	r.overload(5*time.Second, of)
	require.Zero(t, r.spill.Part("a"), "all are full")
}

// TestDemandThatMovesBetweenDomains replays callers that move from one failure domain to another
// every 13 s.
func TestDemandThatMovesBetweenDomains(t *testing.T) {
	moving := func(domain string, at time.Duration) float64 {
		phase := 2 * math.Pi * (at.Seconds()/13 + float64(domain[0]-'a')/3)
		return 0.75 * (1 + 0.55*math.Sin(phase))
	}
	before := newReplay(false).overload(52*time.Second, moving)
	after := newReplay(true).overload(52*time.Second, moving)
	t.Log(before, after)
	require.Less(t, after, before/2)
}

// TestDomainsWithoutCapacityAreLeftAlone guards against callers that are sent to other domains
// by entries which do not state how many they can serve.
func TestDomainsWithoutCapacityAreLeftAlone(t *testing.T) {
	r := newReplay(true)
	for i := range r.hosts {
		if r.hosts[i].FailureDomain != "b" {
			r.hosts[i].Weight = 0
		}
	}
	r.overload(10*time.Second, func(string, time.Duration) float64 { return 1.5 })
	for _, domain := range append(replayDomains, "unknown") {
		require.Zero(t, r.spill.Part(domain))
	}
	require.Len(t, r.spill.Answer(r.hosts, "a", r.random), 23, "as before")
	require.GreaterOrEqual(t, len(r.spill.Answer(r.hosts, "unknown", r.random)), minAnswer)
}

// TestSpillSurvivesLossOfDomain guards against callers that are directed to a domain whose
// entries are gone.
func TestSpillSurvivesLossOfDomain(t *testing.T) {
	r := newReplay(true)
	r.overload(10*time.Second, func(domain string, _ time.Duration) float64 {
		return map[string]float64{"a": 1.3, "b": 0.3, "c": 0.3}[domain]
	})
	var left []Host
	for _, host := range r.hosts {
		if host.FailureDomain != "b" {
			left = append(left, host)
		}
	}
	r.spill.Update(left, r.now.Add(replayStep))
	for range 1000 {
		require.NotEqual(t, "b", r.spill.Domain("a", r.random))
		require.NotEmpty(t, r.spill.Answer(left, "b", r.random))
	}
}

// TestAnswerPrefersFailureDomain guards against callers that are sent to another failure domain
// without need, and against ones that get no answer because their domain has no entries.
func TestAnswerPrefersFailureDomain(t *testing.T) {
	hosts := []Host{
		{Address: "a", FailureDomain: "x", Busy: -1}, {Address: "b", FailureDomain: "y", Busy: -1}, {Address: "c", FailureDomain: "x", Busy: -1},
	}
	s := NewSpill()
	require.Equal(t, []string{"a", "c"}, s.Answer(hosts, "x", nil))
	require.Equal(t, []string{"a", "b", "c"}, s.Answer(hosts, "z", nil))
	require.Empty(t, s.Answer(nil, "x", nil))
	s.Update(hosts, time.Unix(1000, 0))
	require.Equal(t, []string{"a", "c"}, s.Answer(hosts, "x", nil))
}
