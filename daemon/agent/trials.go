package agent

import (
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/stream"
)

// trials lets one suspected request at a time run on this target.
type trials struct {
	// mu guards running; it is a leaf.
	mu      sync.Mutex
	running poison.Trials
}

// begin starts a suspect's trial; false while another runs.
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

// current returns the fingerprint on trial, if any.
func (t *trials) current() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running.Current()
}

// suspected refuses what the evidence says must not run here now: it guards
// against entries that have not heard of a crash yet.
func (a *Agent) suspected(head *stream.RequestHead) *failure.Error {
	verdict := a.poison.Assess(head.Fingerprint)
	if verdict.Level == poison.Held {
		return later("the request is held while a crash is looked into", verdict.Until.Sub(a.clock.Now()))
	}
	if refusal := verdict.Failure(a.clock.Now()); refusal != nil {
		return refusal
	}
	if verdict.Level == poison.OnTrial && !head.Trial {
		return later("the request is suspected and runs on trial only", reportInterval)
	}
	return nil
}

// later is a refusal that passes by itself: the request is worth sending again
// after the wait.
func later(message string, wait time.Duration) *failure.Error {
	err := failure.New(failure.NotReady, failure.NotRun, message)
	err.RejectedByGate = true
	return err.WithRetryAfter(max(wait, reportInterval))
}

// onTrial takes the place of a suspect, if the request is one; end gives it
// back.
func (a *Agent) onTrial(head *stream.RequestHead) (end func(), refusal *failure.Error) {
	if !head.Trial {
		return func() {}, nil
	}
	if !a.trials.begin(head.Fingerprint) {
		return nil, later("another suspected request is on trial here", reportInterval)
	}
	return a.trials.end, nil
}
