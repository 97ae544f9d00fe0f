package forward

import (
	"errors"
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// ran tells whether an attempt has run the request.
type ran uint8

const (
	// notRun means that the request did not run and will not.
	notRun ran = iota
	// mayHaveRun means that nothing is known.
	mayHaveRun
	// hasRun means that the target answered after it worked on the request.
	hasRun
)

// verdict is what the head of an answer, or the want of one, means.
type verdict struct {
	ran ran
	// deliver tells that the answer is the target's own and goes to the caller
	// unless another target may do better.
	deliver bool
	// success tells that it is an answer with success.
	success bool
	result  dispatch.Result
	// reason is a few words for the log.
	reason string
}

// judgeError tells what a failure to get an answer means; left tells that the
// caller has left.
func judgeError(err error, left bool) verdict {
	found := verdict{ran: mayHaveRun, result: dispatch.Failed, reason: "no answer"}
	var send *direct.SendError
	var limit *direct.LimitError
	if errors.As(err, &send) && !send.Sent {
		found.ran, found.reason = notRun, "not sent"
	}
	if errors.As(err, &limit) {
		found.result, found.reason = dispatch.Full, "no connection free"
	}
	if left {
		found.result, found.reason = dispatch.Abandoned, "caller left or time ran out"
	}
	return found
}

// judgeAnswer tells what the head of an answer of the target with the id means.
func judgeAnswer(h *Headers, status int, header http.Header, id string) verdict {
	if status == http.StatusMisdirectedRequest {
		found := verdict{ran: notRun, result: dispatch.Full, reason: "refused by the target"}
		if got := header.Get(h.Instance); got != "" && got != id {
			found.result, found.reason = dispatch.Gone, "another target has the address"
		}
		return found
	}
	if header.Get(h.NotRun) != "" {
		return verdict{ran: notRun, result: dispatch.Full, reason: "refused by the target"}
	}
	signed := header.Get(h.Signature) != "" && header.Get("Content-Encoding") == ""
	if !signed {
		return verdict{ran: mayHaveRun, result: dispatch.Failed, reason: "the answer is not signed"}
	}
	if status < http.StatusMultipleChoices {
		return verdict{ran: hasRun, deliver: true, success: true, result: dispatch.Served}
	}
	if status >= http.StatusInternalServerError {
		return verdict{ran: hasRun, deliver: true, result: dispatch.Failed, reason: "the target failed"}
	}
	return verdict{ran: hasRun, deliver: true, result: dispatch.Served}
}

// again tells whether a request may be sent to one more target.
func (c *call) again(found verdict, now time.Time) bool {
	if found.success || len(c.work.Tried) >= c.route.Direct.MaxAttempts {
		return false
	}
	if found.deliver && found.result == dispatch.Served {
		return false
	}
	if found.ran != notRun && !c.route.Idempotent {
		return false
	}
	return c.deadline.Sub(now) > leastTime
}

const (
	// silentLatencies is after how many times the route's latency a silent target
	// may be left, silentLeast and silentMost are the bounds of that time.
	silentLatencies = 2
	silentLeast     = 300 * time.Millisecond
	silentMost      = time.Second
)

// patience is how long a target may be silent before another is tried; 0 for
// requests that may not be sent to another.
func (c *call) patience() time.Duration {
	if !c.route.Idempotent || len(c.work.Tried) >= c.route.Direct.MaxAttempts {
		return 0
	}
	return min(max(silentLatencies*c.route.Direct.Latency, silentLeast), silentMost)
}

// leastTime is the least time for which another attempt is worth making.
const leastTime = 20 * time.Millisecond
