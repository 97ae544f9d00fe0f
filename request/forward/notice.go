package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/request/dispatch"
)

// notice is what a target says of itself in the head of a response.
type notice struct {
	// leaving is set if the target is about to exit and wants no new requests.
	leaving bool
	// pause is for how long it wants no requests from this process; 0 for no pause.
	pause time.Duration
	// limit says whether it names a limit, limitPerSecond is that limit.
	limit          limitStatement
	limitPerSecond float64
}

// limitStatement is what a response says of the target's limit.
type limitStatement uint8

const (
	// limitUnstated means that the response says nothing about a limit.
	limitUnstated limitStatement = iota
	// limitNamed means that it names one.
	limitNamed
	// limitNone means that the target has none.
	limitNone
)

// decodeNotice returns what the target with the given ID says in the head of a response.
// A response of another target at its address says nothing of it.
func decodeNotice(h *Headers, status int, header http.Header, id string) notice {
	if got := header.Get(h.Instance); status == http.StatusMisdirectedRequest && got != "" && got != id {
		return notice{}
	}
	n := notice{leaving: header.Get(h.Leaving) == LeavingValue}
	if status == http.StatusServiceUnavailable {
		n.pause = parsePause(header.Get(h.RetryAfter))
	}
	n.limit, n.limitPerSecond = decodeLimit(h, header)
	return n
}

// decodeLimit returns what the head of a response says of the target's limit. Without the
// header it says that there is none, if the target itself has made the response.
func decodeLimit(h *Headers, header http.Header) (limitStatement, float64) {
	text := strings.TrimSpace(header.Get(h.Limit))
	if text == "" {
		if header.Get(h.Signature) == "" && header.Get(h.NotRun) == "" {
			return limitUnstated, 0
		}
		return limitNone, 0
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !dispatch.ValidRate(perSecond) {
		return limitUnstated, 0
	}
	return limitNamed, perSecond
}

// LeavingValue is the value of Headers.Leaving in the responses of a leaving target.
const LeavingValue = "1"

// parsePause parses a number of seconds, capped at dispatch.MaxPause. Anything that is not
// a positive number means no pause, also a date: clocks differ by seconds.
func parsePause(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	if seconds >= dispatch.MaxPause.Seconds() {
		return dispatch.MaxPause
	}
	return time.Duration(seconds * float64(time.Second))
}

// recordOwnNotice is recordNotice for the response to a call itself, which is whole, or a stream that has begun.
func (h *Handler) recordOwnNotice(c *call, src *streamSource) {
	h.recordNotice(c, src.target, src.sent, src.response.Status, src.response.Header)
}

// recordNotice passes on what a target says in the head of a response to a call, or to an
// earlier request on the connection. sent is when the call was sent.
func (h *Handler) recordNotice(c *call, t *dispatch.Target, sent time.Time, status int, header http.Header) {
	n := decodeNotice(&h.headers, status, header, t.ID())
	now := h.clock.Now()
	log := h.log.WithFields(logrus.Fields{"request": c.id, "target": t.ID(), "incarnation": t.Incarnation(), "source": "response"})
	if n.leaving && h.dispatcher.RecordLeaving(t, now) {
		h.metrics.CountTargetNotice(t.Service(), "leaving")
		log.Info("target leaves")
	}
	if n.pause > 0 {
		h.metrics.CountTargetNotice(t.Service(), "pause")
		if h.dispatcher.Pause(t, n.pause, now) {
			log.WithField("for_ms", n.pause.Milliseconds()).Info("target pauses")
		}
	}
	switch {
	case n.limit == limitNamed && h.dispatcher.RecordLimit(t, n.limitPerSecond, now):
		h.metrics.CountTargetNotice(t.Service(), "limit")
		log.WithField("per_second", n.limitPerSecond).Info("target limits its requests")
	case n.limit == limitNone && header.Get(h.headers.Attempt) == c.id && h.dispatcher.RecordNoLimit(t, sent, now):
		h.metrics.CountTargetNotice(t.Service(), "limit_lifted")
		log.Info("target no longer limits its requests")
	}
}
