package admit

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/failure"
)

const (
	// demandTimeConstant is the time constant of the exponential average of demand.
	demandTimeConstant = 5 * time.Second
	// idleDemand is the demand, in requests per second, below which an
	// organisation counts as idle.
	idleDemand = 0.01
	// peerReportTTL is how long a peer's report is used.
	peerReportTTL = 15 * time.Second
	// burstSeconds is the size of a token bucket, in seconds of the full quota. It
	// is divided between entries like the rate.
	burstSeconds = 1.0
)

// OrganisationDemand is an organisation's demand at one entry.
type OrganisationDemand struct {
	Organisation string `cbor:"1,keyasint"`
	// PerSecond is in requests per second.
	PerSecond float64 `cbor:"2,keyasint"`
}

// DemandReport is the demand at one entry, as sent to its peers.
type DemandReport struct {
	Entry string `cbor:"1,keyasint"`
	// Incarnation and Sequence order the reports of one entry, so that a late one
	// is ignored. Incarnation increases with each start of the entry.
	Incarnation uint64               `cbor:"2,keyasint"`
	Sequence    uint64               `cbor:"3,keyasint"`
	Demands     []OrganisationDemand `cbor:"4,keyasint"`
}

// Quotas limits the request rate of each organisation across all entries. Each
// entry enforces a share of the quota equal to its share of the demand, which it
// knows from its peers' reports. Organisations without demand have no state. It
// is safe for concurrent use.
type Quotas struct {
	self        string
	incarnation uint64
	clock       clockwork.Clock

	// mu guards everything below.
	mu       sync.Mutex
	buckets  map[string]*bucket
	peers    map[string]*peerDemand
	sequence uint64
}

// bucket is a token bucket with the demand at this entry.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	// demand is in requests per second, as of updatedAt.
	demand float64
}

// peerDemand is a peer's last report.
type peerDemand struct {
	incarnation, sequence uint64
	receivedAt            time.Time
	demands               map[string]float64
}

// NewQuotas returns the quotas of the entry named self. incarnation must increase
// with each start of the entry. A nil clock means the real one.
func NewQuotas(self string, incarnation uint64, clock clockwork.Clock) *Quotas {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Quotas{
		self:        self,
		incarnation: incarnation,
		clock:       clock,
		buckets:     map[string]*bucket{},
		peers:       map[string]*peerDemand{},
	}
}

// Allow counts one request of the organisation against its quota of perSecond
// requests per second across all entries; 0 means no quota. It fails with a
// *failure.Error of kind QuotaExceeded and outcome NotRun.
func (q *Quotas) Allow(organisation string, perSecond float64) error {
	if perSecond <= 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	b := q.buckets[organisation]
	if b == nil {
		b = &bucket{updatedAt: now, tokens: math.Inf(1)}
		q.buckets[organisation] = b
	}
	elapsed := b.advance(now)
	b.demand += 1 / demandTimeConstant.Seconds()
	rate := perSecond * q.demandShare(organisation, b.demand, now)
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), max(rate*burstSeconds, 1))
	if b.tokens >= 1 {
		b.tokens--
		return nil
	}
	wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return failure.New(failure.QuotaExceeded, failure.NotRun, "the organisation is over its quota").WithRetryAfter(wait)
}

// demandAt returns the bucket's demand, decayed to a later time.
func (b *bucket) demandAt(now time.Time) float64 {
	elapsed := max(now.Sub(b.updatedAt), 0)
	return b.demand * math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
}

// advance decays the demand to now and returns the time since the last call.
func (b *bucket) advance(now time.Time) time.Duration {
	elapsed := max(now.Sub(b.updatedAt), 0)
	b.demand = b.demandAt(now)
	b.updatedAt = now
	return elapsed
}

// demandShare returns this entry's share of the organisation's demand. The caller
// holds mu.
func (q *Quotas) demandShare(organisation string, own float64, now time.Time) float64 {
	total := own
	for _, peer := range q.peers {
		if now.Sub(peer.receivedAt) < peerReportTTL {
			total += peer.demands[organisation]
		}
	}
	return own / total
}

// Report returns the demand at this entry for the organisations that include
// accepts (nil means all), and removes the state of idle ones. An entry sends it
// to the peers that serve the same organisations, several times a minute.
func (q *Quotas) Report(include func(organisation string) bool) DemandReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.sequence++
	report := DemandReport{Entry: q.self, Incarnation: q.incarnation, Sequence: q.sequence}
	for organisation, b := range q.buckets {
		demand := b.demandAt(now)
		if demand < idleDemand {
			delete(q.buckets, organisation)
			continue
		}
		if include == nil || include(organisation) {
			report.Demands = append(report.Demands, OrganisationDemand{organisation, demand})
		}
	}
	return report
}

// Merge stores a peer's report. Merging is idempotent, and a report older than
// the last one of the same peer is ignored.
func (q *Quotas) Merge(report DemandReport) {
	if report.Entry == q.self {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	last := q.peers[report.Entry]
	if last != nil && !last.olderThan(report) {
		return
	}
	demands := make(map[string]float64, len(report.Demands))
	for _, d := range report.Demands {
		demands[d.Organisation] = d.PerSecond
	}
	q.peers[report.Entry] = &peerDemand{
		incarnation: report.Incarnation,
		sequence:    report.Sequence,
		receivedAt:  q.clock.Now(),
		demands:     demands,
	}
}

// olderThan reports whether p is older than the report.
func (p *peerDemand) olderThan(report DemandReport) bool {
	if p.incarnation != report.Incarnation {
		return p.incarnation < report.Incarnation
	}
	return p.sequence < report.Sequence
}

// RemovePeer removes the report of an entry that left.
func (q *Quotas) RemovePeer(entry string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.peers, entry)
}

// OrganisationCount returns the number of organisations with state at this entry.
func (q *Quotas) OrganisationCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.buckets)
}
