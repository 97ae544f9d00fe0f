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
}

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
	return n
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

// recordNotice passes on what a target says in the head of a response.
func (h *Handler) recordNotice(c *call, t *dispatch.Target, status int, header http.Header) {
	n := decodeNotice(&h.headers, status, header, t.ID())
	now := h.clock.Now()
	fields := logrus.Fields{"request": c.id, "target": t.ID(), "incarnation": t.Incarnation(), "source": "response"}
	if n.leaving && h.dispatcher.RecordLeaving(t, now) {
		h.metrics.CountTargetNotice(t.Service(), "leaving")
		h.log.WithFields(fields).Info("target leaves")
	}
	if n.pause <= 0 {
		return
	}
	h.metrics.CountTargetNotice(t.Service(), "pause")
	if h.dispatcher.Pause(t, n.pause, now) {
		fields["for_ms"] = n.pause.Milliseconds()
		h.log.WithFields(fields).Info("target pauses")
	}
}
