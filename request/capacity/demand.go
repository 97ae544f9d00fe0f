package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// rateHalfLife is the time in which half of the arrivals expire from a rate. A burst
	// shows within a second; the arrivals of a quiet second do not.
	rateHalfLife = time.Second
	// reportFresh and reportExpiry are the ages up to which a process's report counts in full
	// and from which it does not count; between them it counts less and less. Reports arrive
	// every 100 to 300 ms, and a process counts as dead after 1 s.
	reportFresh  = 400 * time.Millisecond
	reportExpiry = time.Second
)

// Rate counts events by a decaying sum. The zero value has counted none.
type Rate struct {
	sum float64
	at  time.Time
}

// Add counts events.
func (r *Rate) Add(events float64, now time.Time) { r.sum, r.at = r.sumAt(now)+events, now }

func (r *Rate) sumAt(now time.Time) float64 { return decayed(r.sum, now.Sub(r.at), rateHalfLife) }

// PerSecond returns the recent number of events per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.sumAt(now) * math.Ln2 / rateHalfLife.Seconds()
}

// Claim is what one process, or all, have to serve of one urgency of a service.
type Claim struct {
	Urgency int
	// PerSecond is the number of requests that arrive per second, Waiting how many wait that
	// can still be in time.
	PerSecond, Waiting float64
}

// Demand is what the processes that share a service's targets have to serve, by urgency. The
// zero value is that of a process without peers and without requests.
type Demand struct {
	// own holds the arrivals at this process, by urgency.
	own     map[int]*Rate
	reports map[string]claimReport
}

type claimReport struct {
	claims []Claim
	at     time.Time
}

// maxUrgencies is the maximum number of urgencies that are told apart for a service; further
// ones do not count. Configurations use ten.
const maxUrgencies = 32

// RecordArrival counts a request that has arrived at this process.
func (d *Demand) RecordArrival(urgency int, now time.Time) {
	if d.own == nil {
		d.own = map[int]*Rate{}
	}
	rate := d.own[urgency]
	if rate == nil {
		if len(d.own) >= maxUrgencies {
			return
		}
		rate = &Rate{}
		d.own[urgency] = rate
	}
	rate.Add(1, now)
}

// SetReport records what another process reports. It replaces that process's earlier report.
func (d *Demand) SetReport(process string, claims []Claim, now time.Time) {
	if len(claims) == 0 {
		delete(d.reports, process)
		return
	}
	if d.reports == nil {
		d.reports = map[string]claimReport{}
	}
	d.reports[process] = claimReport{claims: claims[:min(len(claims), maxUrgencies)], at: now}
}

// Own returns the claims of this process, sorted by urgency. waiting is the number of requests
// in its queue that can be in time, by urgency.
func (d *Demand) Own(waiting map[int]int, now time.Time) []Claim {
	var claims []Claim
	for urgency, rate := range d.own {
		claims = append(claims, Claim{Urgency: urgency, PerSecond: rate.PerSecond(now), Waiting: float64(waiting[urgency])})
	}
	slices.SortFunc(claims, func(a, b Claim) int { return a.Urgency - b.Urgency })
	return claims
}

// Others returns the claims of all other processes together, sorted by urgency.
func (d *Demand) Others(now time.Time) []Claim {
	var all []Claim
	for _, report := range d.reports {
		weight := reportWeight(now.Sub(report.at))
		if weight == 0 {
			continue
		}
		for _, claim := range report.claims {
			all = addClaim(all, claim, weight)
		}
	}
	return all
}

// Rank returns how many processes, this one included, have requests that wait, as far as
// known, and the position of this one among them in the order of their names.
func (d *Demand) Rank(self string, now time.Time) (position, count int) {
	count = 1
	for process, report := range d.reports {
		waits := slices.ContainsFunc(report.claims, func(c Claim) bool { return c.Waiting > 0 })
		if !waits || reportWeight(now.Sub(report.at)) == 0 {
			continue
		}
		count++
		if process < self {
			position++
		}
	}
	return position, count
}

// reportWeight returns how far a report of the given age counts, from 0 to 1.
func reportWeight(age time.Duration) float64 {
	return min(max(float64(reportExpiry-age)/float64(reportExpiry-reportFresh), 0), 1)
}

// addClaim adds a weighted claim to that of the same urgency.
func addClaim(all []Claim, claim Claim, weight float64) []Claim {
	at, found := slices.BinarySearchFunc(all, claim.Urgency, func(c Claim, urgency int) int { return c.Urgency - urgency })
	if !found {
		all = slices.Insert(all, at, Claim{Urgency: claim.Urgency})
	}
	all[at].PerSecond += weight * max(claim.PerSecond, 0)
	all[at].Waiting += weight * max(claim.Waiting, 0)
	return all
}
