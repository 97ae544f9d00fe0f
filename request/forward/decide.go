package forward

import (
	"errors"
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// verdict is what the head of an answer, or the want of one, means.
type verdict struct {
	// failure is why the answer is not the request's, or nil. Its outcome tells
	// whether the target may have run the request.
	failure *failure.Error
	// deliver tells that the answer is the target's own and goes to the caller
	// unless another target may do better.
	deliver bool
	// result is what the attempt says of the target.
	result dispatch.Result
	// reason is a few words for the log.
	reason string
}

// success tells whether the answer is one that the caller wanted.
func (v verdict) success() bool { return v.failure == nil }

// refused is the verdict on an attempt that did not run.
func refused(result dispatch.Result, reason string) verdict {
	return verdict{
		failure: failure.New(failure.Overloaded, failure.NotRun, "the targets refused the request"),
		result:  result, reason: reason,
	}
}

// noAnswer is the verdict on an attempt that may have run.
func noAnswer(result dispatch.Result, reason string) verdict {
	return verdict{
		failure: failure.New(failure.Incomplete, failure.Unknown, "the target gave no whole answer"),
		result:  result, reason: reason,
	}
}

// brokeOff tells whether the target ended an attempt that may have run.
func (v verdict) brokeOff() bool {
	return v.result == dispatch.Failed && v.failure != nil && v.failure.Outcome != failure.NotRun
}

// abandoned is the verdict on an attempt that the caller, or the end of the
// request's time, ended; it keeps whether the attempt may have run.
func (v verdict) abandoned() verdict {
	outcome := failure.Unknown
	if v.failure != nil {
		outcome = v.failure.Outcome
	}
	return verdict{
		failure: failure.New(failure.DeadlineExceeded, outcome, timeUpMessage),
		result:  dispatch.Abandoned, reason: "caller left or time ran out",
	}
}

// timeUpMessage is for calls whose time has passed.
const timeUpMessage = "the request's time ran out"

// judgeError tells what a failure to get an answer means; left tells that the
// caller has left.
func judgeError(err error, left bool) verdict {
	found := noAnswer(dispatch.Failed, "no answer")
	var send *direct.SendError
	var limit *direct.LimitError
	if errors.As(err, &send) && !send.Sent {
		found = refused(dispatch.Failed, "not sent")
	}
	if errors.As(err, &limit) {
		found = refused(dispatch.Full, "no connection free")
	}
	if left {
		return found.abandoned()
	}
	return found
}

// judgeAnswer tells what the head of an answer of the target with the id means.
func judgeAnswer(h *Headers, status int, header http.Header, id string) verdict {
	if status == http.StatusMisdirectedRequest {
		if got := header.Get(h.Instance); got != "" && got != id {
			return refused(dispatch.Gone, "another target has the address")
		}
		return refused(dispatch.Full, "refused by the target")
	}
	if header.Get(h.NotRun) != "" {
		return refused(dispatch.Full, "refused by the target")
	}
	signed := header.Get(h.Signature) != "" && header.Get("Content-Encoding") == ""
	if !signed {
		return noAnswer(dispatch.Failed, "the answer is not signed")
	}
	if status < http.StatusMultipleChoices {
		return verdict{deliver: true, result: dispatch.Served}
	}
	if status >= http.StatusInternalServerError {
		failed := failure.New(failure.EngineFailed, failure.Unknown, "the target failed")
		return verdict{failure: failed, deliver: true, result: dispatch.Failed, reason: failed.Message}
	}
	// Another target would answer the same.
	return verdict{failure: failure.New(failure.BadRequest, failure.Unknown, "the target refused the request for good"), deliver: true, result: dispatch.Served}
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
	if !c.route.Idempotent || c.attempts.Started() >= c.route.Direct.MaxAttempts {
		return 0
	}
	return min(max(silentLatencies*c.route.Direct.Latency, silentLeast), silentMost)
}
