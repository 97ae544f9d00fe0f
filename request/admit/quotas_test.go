package admit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/failure"
)

func TestQuotasFollowDemandBetweenEntries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	entries := []*Quotas{NewQuotas("e1", 1, clock), NewQuotas("e2", 1, clock)}
	const quota = 20.0
	allowed := make([]int, 2)
	// The demand is 100 requests per second at the first entry and 33 at the second.
	for tick := range 100 * 30 {
		for i, every := range []int{1, 3} {
			if tick%every == 0 && entries[i].Allow("a", quota) == nil && tick >= 100*10 {
				allowed[i]++
			}
		}
		if tick%100 == 0 {
			entries[0].Merge(entries[1].Report(nil))
			entries[1].Merge(entries[0].Report(nil))
		}
		clock.Advance(10 * time.Millisecond)
	}
	total := float64(allowed[0] + allowed[1])
	require.InDelta(t, quota*20, total, quota*20*0.1, "the quota holds across both entries")
	require.InDelta(t, 0.75, float64(allowed[0])/total, 0.05, "shares follow demand")

	err := entries[0].Allow("a", 0.001)
	require.Equal(t, failure.QuotaExceeded, failure.From(err).Kind)
	require.Positive(t, failure.From(err).RetryAfter)
}

func TestQuotasMergeAndExpireReports(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := NewQuotas("e1", 1, clock)
	report := func(incarnation, sequence uint64, perSecond float64) DemandReport {
		return DemandReport{"e2", incarnation, sequence, []OrganisationDemand{{"a", perSecond}}}
	}
	share := func() float64 { return q.demandShare("a", 1, clock.Now()) }
	q.Merge(report(1, 2, 1))
	q.Merge(report(1, 1, 99))
	require.InDelta(t, 0.5, share(), 1e-9, "an older report is ignored")
	q.Merge(report(2, 1, 3))
	require.InDelta(t, 0.25, share(), 1e-9, "the report of a restarted peer replaces the old one")
	clock.Advance(peerReportTTL)
	require.InDelta(t, 1, share(), 1e-9, "the demand of a silent peer expires")
	q.Merge(report(2, 2, 3))
	q.RemovePeer("e2")
	require.InDelta(t, 1, share(), 1e-9)

	require.NoError(t, q.Allow("a", 5))
	clock.Advance(time.Minute)
	q.Report(nil)
	require.Zero(t, q.OrganisationCount(), "an idle organisation has no state")
}
