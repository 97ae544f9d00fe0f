package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// ErrorBody is the JSON body of every failure response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	// RetryAfterMillis is the time to wait before another request; it is
	// omitted if there is no advice.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// NewErrorBody returns the response body of a failure. It omits the cause, which
// may name hosts.
func NewErrorBody(err *failure.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Type: string(err.Kind), Message: err.Message, Outcome: string(err.Outcome),
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
	}}
}

// WriteFailure writes a failure as the response to a request.
func WriteFailure(w http.ResponseWriter, err *failure.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(err.Outcome))
	if err.RetryAfter > 0 {
		seconds := math.Ceil(err.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(max(seconds, 1))))
	}
	w.WriteHeader(err.Kind.Status())
	_ = json.NewEncoder(w).Encode(NewErrorBody(err))
}

// defaultRetryAfter is the retry advice when no better estimate is known.
const defaultRetryAfter = 250 * time.Millisecond

// outcomeWriter sets the outcome header on the responses of Config.API, which is
// generated code: a request that fails there did not run.
type outcomeWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *outcomeWriter) WriteHeader(status int) {
	outcome := failure.Done
	if status >= http.StatusBadRequest {
		outcome = failure.NotRun
	}
	w.Header().Set(HeaderOutcome, string(outcome))
	w.ResponseWriter.WriteHeader(status)
}
