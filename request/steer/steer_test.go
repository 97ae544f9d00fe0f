package steer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func makeEntries(n, domains int) []Entry {
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = Entry{Name: fmt.Sprintf("entry-%04d", i), FailureDomain: fmt.Sprint("d", i%domains)}
	}
	return entries
}

func nameSet(entries []Entry) map[string]bool {
	set := map[string]bool{}
	for _, entry := range entries {
		set[entry.Name] = true
	}
	return set
}

func TestSelectEntriesSpreadsOverFailureDomains(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(rt, "entries")
		domains := rapid.IntRange(1, 5).Draw(rt, "domains")
		entries := makeEntries(n, domains)
		leaving := 0
		for i := range entries {
			entries[i].Leaving = rapid.IntRange(0, 3).Draw(rt, "leaving") == 0
			if entries[i].Leaving {
				leaving++
			}
		}
		organisation := Organisation{Name: rapid.String().Draw(rt, "organisation"), Weight: rapid.Float64Range(0, 4).Draw(rt, "weight")}
		answer := SelectEntries(organisation, entries, Config{})
		require.Len(rt, nameSet(answer.Entries), len(answer.Entries), "the entries are distinct")
		require.NotEmpty(rt, answer.Entries)
		if leaving == n {
			return
		}
		perDomain := map[string]int{}
		for _, entry := range answer.Entries {
			require.False(rt, entry.Leaving)
			perDomain[entry.FailureDomain]++
		}
		for domain, chosen := range perDomain {
			others := 0
			for _, entry := range entries {
				if !entry.Leaving && entry.FailureDomain != domain {
					others++
				}
			}
			half := (len(answer.Entries) + 1) / 2
			require.LessOrEqual(rt, chosen, max(half, len(answer.Entries)-others), "half of the entries survive the loss of a failure domain")
		}
		if leaving > 0 {
			require.Equal(rt, LeavingTTL, answer.TTL)
		}
	})
}

func TestSelectEntriesReplacesAtMostOneEntry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := makeEntries(rapid.IntRange(2, 40).Draw(rt, "entries"), rapid.IntRange(1, 4).Draw(rt, "domains"))
		cfg := Config{Count: rapid.IntRange(1, 5).Draw(rt, "count")}
		organisation := Organisation{Name: rapid.String().Draw(rt, "organisation")}
		before := nameSet(SelectEntries(organisation, entries, cfg).Entries)
		removed := rapid.IntRange(0, len(entries)-1).Draw(rt, "removed")
		entries[removed].Leaving = true
		after := nameSet(SelectEntries(organisation, entries, cfg).Entries)
		added := 0
		for name := range after {
			if !before[name] {
				added++
			}
		}
		if before[entries[removed].Name] {
			require.LessOrEqual(rt, added, 1)
		} else {
			require.Zero(rt, added)
		}
	})
}

func TestSelectEntriesFollowsWeights(t *testing.T) {
	entries := makeEntries(4, 1)
	entries[0].Weight = 0.25
	counts := map[string]int{}
	for i := range 4000 {
		for _, entry := range SelectEntries(Organisation{Name: fmt.Sprint("o", i)}, entries, Config{Count: 1}).Entries {
			counts[entry.Name]++
		}
	}
	require.InDelta(t, 4000*0.25/3.25, counts["entry-0000"], 60)
	require.Len(t, SelectEntries(Organisation{Name: "large", Weight: 4}, entries, Config{Count: 1}).Entries, 4)
}

func TestSelectEntriesReturnsLeavingEntriesWhenAllLeave(t *testing.T) {
	entries := makeEntries(2, 1)
	entries[0].Leaving, entries[1].Leaving = true, true
	require.Len(t, SelectEntries(Organisation{Name: "a"}, entries, Config{}).Entries, 2)
	require.Empty(t, SelectEntries(Organisation{Name: "a"}, nil, Config{}).Entries)
}
