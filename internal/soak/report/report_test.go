package report

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/soak"
)

// result returns a result of a day with some requests, one for each outcome.
func result(seed uint64, build string, outcomes ...string) soak.Result {
	day := soak.DrawDay(seed, 4*time.Second)
	played := soak.Result{Seed: seed, Build: build, Day: day, Length: 10 * time.Second}
	for n, outcome := range outcomes {
		played.Samples = append(played.Samples, soak.Sample{
			Kind: "lookup", At: time.Duration(n) * time.Second, Took: time.Duration(n+1) * time.Millisecond, Outcome: outcome,
		})
	}
	return played
}

// TestReportComparesTwoRuns guards against a page that counts wrongly, that leaves out a day, a
// broken promise or a run, or that needs other files.
func TestReportComparesTwoRuns(t *testing.T) {
	slow := result(8, "aaaaaaa", "served")
	slow.Samples[0].Took = time.Second
	first := Run{Name: "before", Results: []soak.Result{slow, result(7, "aaaaaaa", "served", "served", "503", "502")}}
	second := Run{Name: "after", Results: []soak.Result{result(7, "bbbbbbb", "served", "cut")}}
	second.Results[0].Violations = []soak.Violation{{Promise: soak.OrderRunsOnce, At: time.Second, Detail: "order-1 <ran> 2 times"}}
	var out strings.Builder
	require.NoError(t, Write(&out, first, second))
	page := out.String()
	require.Contains(t, page, "<td>before</td><td>aaaaaaa</td><td>2</td>\n<td class=\"kept\">0</td><td>5</td><td>3</td><td>2</td>")
	require.Contains(t, page, "<td>after</td><td>bbbbbbb</td><td>1</td>\n<td class=\"broken\">1</td><td>2</td><td>1</td><td>1</td>")
	require.Contains(t, page, "<td>lookup</td><td>2</td><td>0</td><td>1</td><td>1</td><td>2.0 ms</td><td>2.0 ms</td><td>2.0 ms</td>")
	require.Contains(t, page, "<td>lookup</td><td>1</td><td>1</td><td>0</td><td>0</td><td>1000.0 ms</td>")
	require.Contains(t, page, "order-1 &lt;ran&gt; 2 times")
	require.Less(t, strings.Index(page, "Seed 7"), strings.Index(page, "Seed 8"))
	require.Equal(t, 3, strings.Count(page, "<svg"))
	require.Equal(t, 2, strings.Count(page, "All promises kept."))
	require.NotRegexp(t, regexp.MustCompile(`(src|href)="?https?:`), page)
}

// TestReportOfNoDays guards against a report that fails when nothing was played.
func TestReportOfNoDays(t *testing.T) {
	var out strings.Builder
	require.NoError(t, Write(&out, Run{Name: "empty"}))
	require.Contains(t, out.String(), "<td>empty</td>")
}
