package engine

import "time"

// maxRetainedStreams bounds the streams retained for a resume.
const maxRetainedStreams = 4096

// detachClient is called when a client has disconnected or has the whole answer.
// A stream is paused and retained for a resume; any other request is removed if
// it has finished and cancelled if not.
func (e *Engine) detachClient(seq *sequence, streaming bool) {
	if !streaming && e.removeFinished(seq) {
		return
	}
	if !streaming {
		e.cancel(seq.id, ErrCancelled)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byID[seq.id] != seq {
		return
	}
	if seq.state != stateFinished {
		e.removeFromQueuesLocked(seq)
		seq.state = statePaused
		seq.notifyLocked()
	}
	now := e.clock.Now()
	seq.retainUntil = now.Add(e.config.ResumeWindow)
	e.retained = append(e.retained, retainedStream{seq: seq, until: seq.retainUntil})
	e.pruneRetainedLocked(now)
}

// removeFinished removes a request that has finished; it returns false if the
// request is in another state.
func (e *Engine) removeFinished(seq *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if seq.state != stateFinished {
		return false
	}
	delete(e.byID, seq.id)
	return true
}

// retainedStream is a stream that can be resumed before a point in time.
type retainedStream struct {
	seq   *sequence
	until time.Time
}

// pruneRetainedLocked discards the streams whose resume window has passed, and
// the oldest ones beyond maxRetainedStreams.
func (e *Engine) pruneRetainedLocked(now time.Time) {
	for len(e.retained) > 0 {
		oldest := e.retained[0]
		if len(e.retained) <= maxRetainedStreams && now.Before(oldest.until) {
			return
		}
		e.retained = e.retained[1:]
		e.discardRetainedLocked(oldest)
	}
}

// discardRetainedLocked removes a stream unless it has been resumed since it was
// retained.
func (e *Engine) discardRetainedLocked(stream retainedStream) {
	seq := stream.seq
	if e.byID[seq.id] != seq || !seq.retainUntil.Equal(stream.until) {
		return
	}
	if seq.state == statePaused {
		e.counters.Cancelled++
	}
	delete(e.byID, seq.id)
	seq.failLocked(ErrUnknownStream)
}

// resume continues a paused stream and attaches the client to it; a stream that
// still runs or has finished is attached to as it is.
func (e *Engine) resume(id string) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.pruneRetainedLocked(now)
	seq, ok := e.byID[id]
	if !ok {
		return nil, ErrUnknownStream
	}
	seq.retainUntil = time.Time{}
	if seq.state == statePaused {
		if err := e.admitLocked(now); err != nil {
			return nil, err
		}
		e.enqueueLocked(seq)
		e.wakeLoopLocked()
	}
	return seq, nil
}
