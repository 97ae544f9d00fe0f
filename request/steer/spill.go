package steer

import (
	"math"
	"slices"
	"time"
)

const (
	// fullDomain is the use of a failure domain's entries above which some of its callers are
	// directed elsewhere, spareDomain the use up to which other domains take them. The
	// difference keeps callers from being sent to and fro between domains that are equally busy.
	fullDomain  = 0.8
	spareDomain = 0.7
	// maxSpilled bounds the part of a domain's callers that are directed elsewhere, so that its
	// own demand is still seen.
	maxSpilled = 0.8
	// minSpilled is the part below which callers stay: it costs more than it saves.
	minSpilled = 0.02
	// cachingTime is how long callers follow an earlier answer, on average: they keep answers
	// for 1 to 3 s.
	cachingTime = 1500 * time.Millisecond
	// demandTime smooths the estimated demand.
	demandTime = 500 * time.Millisecond
)

// Spill decides which part of the callers of each failure domain is directed to entries in other
// domains. It estimates the demand of each domain's callers from the use of all entries and from
// where callers were directed, so that it does not mistake the effect of its own answers for a
// change of demand, and returns callers as soon as their own domain suffices. It does no I/O and
// is not safe for concurrent use.
type Spill struct {
	domains map[string]*domainState
	at      time.Time
}

// domainState is what is known of one failure domain.
type domainState struct {
	// demand is that of its callers, in cores.
	demand float64
	// parts are the parts of its callers that new answers direct to other domains, effective
	// those that callers have followed.
	parts, effective map[string]float64
}

// NewSpill returns a Spill that directs all callers to their own domains.
func NewSpill() *Spill { return &Spill{domains: map[string]*domainState{}} }

// Update takes over what the entries report. Call it several times a second.
func (s *Spill) Update(hosts []Host, now time.Time) {
	elapsed := now.Sub(s.at)
	s.at = now
	used, capacity := map[string]float64{}, map[string]float64{}
	for domain, members := range byDomain(hosts) {
		used[domain], capacity[domain] = usage(members)
		if s.domains[domain] == nil {
			s.domains[domain] = &domainState{}
		}
	}
	names := s.names()
	for _, name := range names {
		if _, present := capacity[name]; !present {
			delete(s.domains, name)
		}
	}
	names = s.names()
	for _, name := range names {
		s.domains[name].follow(names, elapsed)
	}
	for _, name := range names {
		s.estimate(name, used[name], elapsed)
	}
	s.distribute(names, capacity)
}

// names returns the known domains, sorted, so that equal reports lead to equal decisions.
func (s *Spill) names() []string {
	var names []string
	for name := range s.domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// smoothing returns the weight of a new value in a mean that decays with a time constant.
func smoothing(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// follow moves the parts that callers have followed towards those of new answers.
func (d *domainState) follow(names []string, elapsed time.Duration) {
	weight := smoothing(elapsed, cachingTime)
	effective := map[string]float64{}
	for _, name := range names {
		effective[name] = d.effective[name] + weight*(d.parts[name]-d.effective[name])
	}
	d.effective = effective
}

// elsewhere returns the part of the domain's callers that are in other domains.
func (d *domainState) elsewhere() float64 {
	sum := 0.0
	for _, part := range d.effective {
		sum += part
	}
	return sum
}

// estimate updates the demand of a domain's callers: the use of its entries without that by
// callers of other domains, plus its own callers elsewhere.
func (s *Spill) estimate(name string, used float64, elapsed time.Duration) {
	for other, state := range s.domains {
		if other != name {
			used -= state.effective[name] * state.demand
		}
	}
	d := s.domains[name]
	demand := max(used, 0) / max(1-d.elsewhere(), 1-maxSpilled)
	d.demand += smoothing(elapsed, demandTime) * (demand - d.demand)
}

// distribute derives the parts from the demand and the capacity of all domains.
func (s *Spill) distribute(names []string, capacity map[string]float64) {
	excess, spare := map[string]float64{}, map[string]float64{}
	totalExcess, totalSpare := 0.0, 0.0
	for _, name := range names {
		demand := s.domains[name].demand
		excess[name] = max(demand-fullDomain*capacity[name], 0)
		if capacity[name] == 0 {
			// Its entries do not state their capacity.
			excess[name] = 0
		}
		spare[name] = max(spareDomain*capacity[name]-demand, 0)
		totalExcess, totalSpare = totalExcess+excess[name], totalSpare+spare[name]
	}
	for _, name := range names {
		d := s.domains[name]
		d.parts = map[string]float64{}
		if excess[name] == 0 || totalSpare == 0 {
			continue
		}
		moved := min(excess[name]*min(totalSpare/totalExcess, 1)/d.demand, maxSpilled)
		if moved < minSpilled {
			continue
		}
		for _, other := range names {
			d.parts[other] = moved * spare[other] / totalSpare
		}
	}
}

// Part returns the part of a domain's callers that is directed elsewhere.
func (s *Spill) Part(domain string) float64 {
	d := s.domains[domain]
	if d == nil {
		return 0
	}
	sum := 0.0
	for _, part := range d.parts {
		sum += part
	}
	return sum
}

// Domain returns the domain whose entries a caller in a domain is directed to; the caller's own
// one, or another with the probability of its part.
func (s *Spill) Domain(domain string, random func() float64) string {
	d := s.domains[domain]
	if d == nil || len(d.parts) == 0 {
		return domain
	}
	draw := random()
	for _, name := range s.names() {
		if draw -= d.parts[name]; draw < 0 {
			return name
		}
	}
	return domain
}

// byDomain groups hosts by failure domain.
func byDomain(hosts []Host) map[string][]Host {
	groups := map[string][]Host{}
	for _, host := range hosts {
		groups[host.FailureDomain] = append(groups[host.FailureDomain], host)
	}
	return groups
}

// Answer returns the addresses for a caller in a domain: of entries there or where the caller
// is directed instead, of all entries if there are none.
func (s *Spill) Answer(hosts []Host, domain string, random func() float64) []string {
	groups := byDomain(hosts)
	if near := groups[s.Domain(domain, random)]; len(near) > 0 {
		return Choose(near, random)
	}
	if near := groups[domain]; len(near) > 0 {
		return Choose(near, random)
	}
	return Choose(hosts, random)
}
