package forward

import (
	"errors"
	"net/http"
	"strconv"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/retry"
)

// verdict classifies the head of a response, or the error that came instead.
type verdict struct {
	// failure is why the attempt did not succeed, or nil. Its outcome tells whether
	// the target may have run the request.
	failure *failure.Error
	// deliver is set if the response was produced by the target itself and goes to
	// the caller unless the request is retried on another target.
	deliver bool
	// result is reported to the dispatcher.
	result dispatch.Result
	// reason is a short explanation for the log.
	reason string
}

// success reports whether the request succeeded.
func (v verdict) success() bool { return v.failure == nil }

// notRun returns the verdict on an attempt that did not run.
func notRun(result dispatch.Result, reason string) verdict {
	return verdict{
		failure: failure.New(failure.Overloaded, failure.NotRun, "the targets refused the request"),
		result:  result, reason: reason,
	}
}

// incomplete returns the verdict on an attempt that may have run but has no
// complete response.
func incomplete(result dispatch.Result, reason string) verdict {
	return verdict{
		failure: failure.New(failure.IncompleteAnswer, failure.Unknown, "the target gave no whole answer"),
		result:  result, reason: reason,
	}
}

// failedAfterSend reports whether the target ended an attempt that may have run.
func (v verdict) failedAfterSend() bool {
	return v.result == dispatch.Failed && v.failure != nil && v.failure.Outcome != failure.NotRun
}

// refused reports whether the target states that the request has not run.
func (v verdict) refused() bool { return v.failure != nil && v.failure.Outcome == failure.NotRun }

// final reports whether the response is a failure that goes to the caller without another attempt.
func (v verdict) final() bool {
	return v.failure != nil && v.deliver && !retry.Retriable(v.failure.Kind)
}

// noAnswer reports whether the target failed without an answer that may be delivered.
func (v verdict) noAnswer() bool { return v.result == dispatch.Failed && !v.deliver }

// missedTarget reports whether a request did not reach the target that it was for: it was not sent, as
// err shows, or another target has its address.
func (v verdict) missedTarget(err error) bool {
	if v.result == dispatch.AddressReused {
		return true
	}
	return err != nil && v.refused()
}

// abandoned returns the verdict on an attempt that ended because the caller
// disconnected or the deadline passed. It keeps the outcome of v; that of a success
// becomes Unknown.
func (v verdict) abandoned() verdict {
	outcome := failure.Unknown
	if v.failure != nil {
		outcome = v.failure.Outcome
	}
	return verdict{
		failure: failure.New(failure.DeadlineExceeded, outcome, deadlineExceededMessage),
		result:  dispatch.Abandoned, reason: "caller disconnected or deadline exceeded",
	}
}

// deadlineExceededMessage is the message of failures of calls past their deadline.
const deadlineExceededMessage = "the request's time ran out"

// classifyError returns the verdict on an attempt that failed without a response.
// callDone is set if the caller has disconnected or its deadline has passed.
func classifyError(err error, callDone bool) verdict {
	v := incomplete(dispatch.Failed, err.Error())
	var exchange *direct.ExchangeError
	var connectionLimit *direct.ConnectionLimitError
	var mismatch *direct.ResponseMismatchError
	if errors.As(err, &exchange) && !exchange.Sent {
		v = notRun(dispatch.Failed, "request not sent")
	}
	if errors.As(err, &mismatch) {
		v = incomplete(dispatch.Failed, "response belongs to another request, or does not say to which")
	}
	var stalled *direct.StalledError
	if errors.As(err, &stalled) {
		v = incomplete(dispatch.Silent, stalled.Error())
	}
	if errors.As(err, &connectionLimit) {
		v = notRun(dispatch.Full, "no free connection")
	}
	if callDone {
		return v.abandoned()
	}
	return v
}

// statesNotRun reports whether a status states to callers that a request has not run and never
// will.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// classifyResponse returns the verdict on the head of a response to a request that
// was sent to the target with the given ID.
func classifyResponse(h *Headers, status int, header http.Header, id string) verdict {
	if status == http.StatusMisdirectedRequest {
		if got := header.Get(h.Instance); got != "" && got != id {
			return notRun(dispatch.AddressReused, "address belongs to another target")
		}
		return notRun(dispatch.Full, "refused by the target")
	}
	if header.Get(h.NotRun) != "" {
		return notRun(dispatch.Full, "refused by the target")
	}
	signed := header.Get(h.Signature) != "" && header.Get("Content-Encoding") == ""
	if !signed {
		return incomplete(dispatch.Failed, "response is not signed")
	}
	if statesNotRun(status) {
		// Without Headers.NotRun the request may have run, here or at an earlier target.
		return incomplete(dispatch.Failed, "target responded "+strconv.Itoa(status)+" without stating that the request has not run")
	}
	if status < http.StatusMultipleChoices {
		return verdict{deliver: true, result: dispatch.Served}
	}
	if status >= http.StatusInternalServerError {
		failed := failure.New(failure.EngineFailed, failure.Unknown, "the target failed")
		return verdict{failure: failed, deliver: true, result: dispatch.Failed, reason: failed.Message}
	}
	// Not retried: another target would respond the same.
	return verdict{failure: failure.New(failure.BadRequest, failure.Unknown, "the target refused the request for good"), deliver: true, result: dispatch.Served}
}
