package agent

import (
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/stream"
)

// trials is a poison.Trial that is safe for concurrent use. It allows one suspected
// request at a time to run on this target.
type trials struct {
	// mu guards running. No other lock is acquired while it is held.
	mu      sync.Mutex
	running poison.Trial
}

// begin starts the trial of a suspected request. It returns false while another
// trial runs.
func (t *trials) begin(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running.Begin(fingerprint)
}

func (t *trials) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running.End()
}

// current returns the fingerprint on trial, or nil if there is none.
func (t *trials) current() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running.Current()
}

// checkPoison refuses a request that must not run here according to the crash
// evidence. It covers requests from entries that have not received the evidence
// yet.
func (a *Agent) checkPoison(head *stream.RequestHead) *failure.Error {
	verdict := a.poison.Assess(head.Fingerprint)
	if verdict.Level == poison.Held {
		return retryLater("the request is held while a crash is looked into", verdict.Until.Sub(a.clock.Now()))
	}
	if refusal := verdict.Failure(a.clock.Now()); refusal != nil {
		return refusal
	}
	if verdict.Level == poison.OnTrial && !head.Trial {
		return retryLater("the request is suspected and runs on trial only", loadPollInterval)
	}
	return nil
}

// retryLater returns a temporary refusal with a retry delay of at least
// loadPollInterval.
func retryLater(message string, wait time.Duration) *failure.Error {
	err := failure.New(failure.NotReady, failure.NotRun, message)
	err.RejectedByGate = true
	return err.WithRetryAfter(max(wait, loadPollInterval))
}

// beginTrial starts the trial if the request is marked as one. end must be called
// when the request is done.
func (a *Agent) beginTrial(head *stream.RequestHead) (end func(), refusal *failure.Error) {
	if !head.Trial {
		return func() {}, nil
	}
	if !a.trials.begin(head.Fingerprint) {
		return nil, retryLater("another suspected request is on trial here", loadPollInterval)
	}
	return a.trials.end, nil
}
