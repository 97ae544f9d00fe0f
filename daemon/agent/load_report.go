package agent

import (
	"time"

	"verbenaseam.example/verbenaseam/request/stream"
)

const (
	// changedReportInterval is the minimum time between two reports while the load
	// changes, except for the changes that shouldSend reports at once.
	changedReportInterval = 250 * time.Millisecond
	// unchangedReportInterval is the time between reports of an unchanged load.
	unchangedReportInterval = time.Second
)

// loadReportScheduler decides when to send a load report, so that small changes
// cost little traffic. It is used by a single goroutine, Agent.runLoadReports.
type loadReportScheduler struct {
	last    stream.LoadReport
	entries int
	sentAt  time.Time
}

// shouldSend returns whether to send the report now and, if so, records it as
// sent. Changes that let an entry start or stop sending requests are reported at
// once, as is the first report to a new entry.
func (r *loadReportScheduler) shouldSend(report stream.LoadReport, entries int, now time.Time) bool {
	age := now.Sub(r.sentAt)
	send := entries != r.entries || r.urgent(report) ||
		(age >= changedReportInterval && r.changed(report)) || age >= unchangedReportInterval
	if send {
		r.last, r.entries, r.sentAt = report, entries, now
	}
	return send
}

func (r *loadReportScheduler) urgent(report stream.LoadReport) bool {
	return report.EngineIncarnation != r.last.EngineIncarnation ||
		report.Open != r.last.Open ||
		report.Version != r.last.Version ||
		(report.Credits == 0) != (r.last.Credits == 0)
}

func (r *loadReportScheduler) changed(report stream.LoadReport) bool {
	return report.Limit != r.last.Limit || report.InFlight != r.last.InFlight ||
		report.Credits != r.last.Credits || report.Running != r.last.Running ||
		report.Waiting != r.last.Waiting
}
