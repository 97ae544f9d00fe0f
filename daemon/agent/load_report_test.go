package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/request/stream"
)

// TestLoadReportSchedule guards against load reports sent too often while the load
// is steady, and against changes that matter to entries being delayed.
func TestLoadReportSchedule(t *testing.T) {
	base := stream.LoadReport{EngineIncarnation: "a", Open: true, Version: 1, Credits: 3, Limit: 4}
	with := func(change func(*stream.LoadReport)) stream.LoadReport {
		changed := base
		change(&changed)
		return changed
	}
	cases := []struct {
		desc    string
		report  stream.LoadReport
		entries int
		age     time.Duration
		send    bool
	}{
		{"unchanged, sent recently", base, 2, changedReportInterval, false},
		{"unchanged for the full interval", base, 2, unchangedReportInterval, true},
		{"new entry", base, 3, 0, true},
		{"load changed within the minimum interval", with(func(r *stream.LoadReport) { r.InFlight = 1 }), 2, changedReportInterval - 1, false},
		{"load changed after the minimum interval", with(func(r *stream.LoadReport) { r.InFlight = 1 }), 2, changedReportInterval, true},
		{"credits exhausted", with(func(r *stream.LoadReport) { r.Credits = 0 }), 2, 0, true},
		{"gate closed", with(func(r *stream.LoadReport) { r.Open = false }), 2, 0, true},
		{"engine restarted", with(func(r *stream.LoadReport) { r.EngineIncarnation = "b" }), 2, 0, true},
		{"new configuration", with(func(r *stream.LoadReport) { r.Version = 2 }), 2, 0, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var scheduler loadReportScheduler
			require.True(t, scheduler.shouldSend(base, 2, start))
			require.Equal(t, c.send, scheduler.shouldSend(c.report, c.entries, start.Add(c.age)))
		})
	}
}
