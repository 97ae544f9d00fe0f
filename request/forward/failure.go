package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
)

// httpStatus maps a failure to an HTTP status. 503 (like 429, which is not used here)
// guarantees that the request has not run and will not run; 502 and 504 guarantee
// nothing.
func httpStatus(err *failure.Error) int {
	switch err.Kind {
	case failure.NoRoute:
		return http.StatusNotFound
	case failure.Unauthorized:
		return http.StatusUnauthorized
	case failure.TooLarge:
		return http.StatusRequestEntityTooLarge
	case failure.HeadersTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case failure.BadRequest:
		return http.StatusBadRequest
	}
	if err.Outcome == failure.NotRun {
		return http.StatusServiceUnavailable
	}
	if err.Kind == failure.DeadlineExceeded {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// respondFailure sends a failure to the caller. c is nil if the request failed
// before a call was created for it.
func (h *Handler) respondFailure(w http.ResponseWriter, r *http.Request, c *call, err *failure.Error) {
	status := httpStatus(err)
	h.metrics.CountFailure(string(err.Kind))
	if id := r.Header.Get(h.headers.Attempt); id != "" {
		w.Header().Set(h.headers.Attempt, id)
	}
	if status == http.StatusServiceUnavailable && err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if h.guard.Ending() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	if c != nil {
		h.recordEnd(c, string(err.Kind), err.Message)
	}
}

// recordDelivery records the end of a call whose response was written to the caller, perhaps not
// wholly.
func (h *Handler) recordDelivery(c *call) {
	if c.undelivered != nil {
		h.recordEnd(c, "cut", c.undelivered.Error())
		return
	}
	h.recordEnd(c, "answered", "")
}

// recordEnd logs how a call ended and counts it in the metrics.
func (h *Handler) recordEnd(c *call, outcome, reason string) {
	fields := logrus.Fields{
		"request": c.id, "outcome": outcome, "version": c.version.Number,
		"took_ms": h.clock.Since(c.started).Milliseconds(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.organisation != nil {
		fields["organisation"] = c.organisation.Name
	}
	if c.target != "" {
		fields["target"] = c.target
		fields["attempts"] = len(c.work.Tried)
	}
	if assessment, _ := h.poison.AssessRequest(c.subject); assessment.Level != poison.Clear {
		fields["fingerprint"] = c.subject.Fingerprint
		fields["parts"] = poison.FormatParts(c.subject.Parts)
		fields["on_trial"] = c.trial != 0
	}
	if c.queueWait > time.Millisecond {
		fields["waited_ms"] = c.queueWait.Milliseconds()
	}
	if c.startedLate {
		fields["started_late"] = true
	}
	if c.work.Timing.Age > 0 {
		fields["first_tried_ms"] = c.work.Timing.Age.Milliseconds()
	}
	if reason != "" {
		fields["reason"] = reason
	}
	if c.route != nil {
		h.metrics.ObserveRequest(c.organisationName(), c.class(), outcome, h.clock.Since(c.started))
	}
	h.log.WithFields(fields).Info("request done")
}
