package engine

import (
	"slices"
	"time"
)

// stepLoop runs batch steps until the engine is closed.
func (e *Engine) stepLoop() {
	for {
		stepTime, wake := e.planStep()
		if stepTime < 0 {
			select {
			case <-wake:
			case <-e.closed:
				return
			}
			continue
		}
		select {
		case <-e.clock.After(stepTime):
		case <-e.closed:
			return
		}
		if !e.awaitGroupStep() {
			return
		}
		e.finishStep()
	}
}

// awaitGroupStep advances the group of an engine without a configured group and
// waits while a hold or stall prevents it; it returns false when the engine is
// closed. A configured group is advanced by its owner.
func (e *Engine) awaitGroupStep() bool {
	if e.config.Group != nil {
		return true
	}
	for {
		changed := e.group.Changed()
		if e.group.Advance() {
			return true
		}
		select {
		case <-changed:
		case <-e.closed:
			return false
		}
	}
}

// planStep fills the batch and returns the duration of the step. A negative
// duration means that there is nothing to do until the returned channel closes.
func (e *Engine) planStep() (time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoadLocked()
	if e.stalled {
		return -1, e.wake
	}
	prefillBlocks := e.fillBatchLocked()
	if len(e.running) == 0 {
		return -1, e.wake
	}
	if e.config.Instant {
		return 0, nil
	}
	stepTime := e.config.StepBase + time.Duration(len(e.running))*e.config.StepPerRequest
	stepTime += time.Duration(prefillBlocks) * e.config.PrefillPerBlock
	if e.cold {
		stepTime *= time.Duration(e.config.ColdFactor)
	}
	return stepTime, nil
}

// enqueueLocked inserts a sequence into the waiting queue, ordered by priority
// and arrival.
func (e *Engine) enqueueLocked(seq *sequence) {
	seq.state = stateWaiting
	at, _ := slices.BinarySearchFunc(e.waiting, seq, func(queued, added *sequence) int {
		if queued.before(added) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, seq)
}

// fillBatchLocked moves waiting sequences into the batch and returns the number
// of prompt blocks that must be computed for them.
func (e *Engine) fillBatchLocked() int {
	missingBlocks := 0
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatchSize {
		seq := e.waiting[0]
		if e.crashIfPoisonedLocked(seq) {
			return 0
		}
		e.waiting = e.waiting[1:]
		missingBlocks += e.addToBatchLocked(seq)
	}
	return missingBlocks
}

// addToBatchLocked adds the sequence to the batch and returns the number of its
// prompt blocks that were not cached.
func (e *Engine) addToBatchLocked(seq *sequence) int {
	seq.state = stateRunning
	if !seq.started && !seq.probe {
		e.counters.Started++
	}
	seq.started = true
	e.running = append(e.running, seq)
	return e.cache.lookupAndStore(seq.blocks)
}

// finishStep produces one token for each running sequence.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled {
		return
	}
	now := e.clock.Now()
	batch := e.running
	e.running = nil
	for _, seq := range batch {
		e.produceTokenLocked(seq, now)
		if seq.state == stateRunning {
			e.running = append(e.running, seq)
		}
	}
	e.failExpiredLocked(now)
}

func (e *Engine) produceTokenLocked(seq *sequence, now time.Time) {
	if seq.produced == 0 {
		seq.firstTokenAt = now
	}
	seq.produced++
	e.counters.Tokens++
	if seq.produced == len(seq.tokens) {
		e.completeSequenceLocked(seq)
	}
	seq.notifyLocked()
}

func (e *Engine) completeSequenceLocked(seq *sequence) {
	seq.state = stateFinished
	if seq.probe {
		delete(e.byID, seq.id)
		return
	}
	e.counters.Completed++
	e.warmupCompleted++
	if e.cold && e.warmupCompleted >= e.config.WarmupRequests {
		e.cold = false
	}
}

// failExpiredLocked fails every running or waiting request past its deadline.
func (e *Engine) failExpiredLocked(now time.Time) {
	for id, seq := range e.byID {
		inFlight := seq.state == stateRunning || seq.state == stateWaiting
		if !inFlight || seq.deadline.IsZero() || now.Before(seq.deadline) {
			continue
		}
		e.counters.Cancelled++
		e.removeFromQueuesLocked(seq)
		delete(e.byID, id)
		seq.failLocked(ErrDeadline)
	}
}

// completeInstantlyLocked produces the whole answer at once, without a step.
func (e *Engine) completeInstantlyLocked(seq *sequence) error {
	if e.crashIfPoisonedLocked(seq) {
		return ErrCrashed
	}
	e.removeFromQueuesLocked(seq)
	e.addToBatchLocked(seq)
	e.removeFromQueuesLocked(seq)
	seq.firstTokenAt = e.clock.Now()
	seq.produced = len(seq.tokens)
	e.counters.Tokens += int64(len(seq.tokens))
	e.completeSequenceLocked(seq)
	seq.notifyLocked()
	e.recordLoadLocked()
	return nil
}

func (e *Engine) removeFromQueuesLocked(seq *sequence) {
	same := func(other *sequence) bool { return other == seq }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// recordLoadLocked adds a sample to the load history if one is due.
func (e *Engine) recordLoadLocked() {
	now := e.clock.Now()
	if e.loadHistory.due(now) {
		e.loadHistory.add(now, e.currentLoadLocked())
	}
}

func (e *Engine) currentLoadLocked() loadReport {
	report := loadReport{
		running:  len(e.running),
		waiting:  len(e.waiting),
		kvUsed:   e.cache.blocks.Len(),
		hitRatio: e.cache.hitRatio(),
	}
	for _, seq := range e.running {
		report.inFlight = append(report.inFlight, seq.id)
	}
	for _, seq := range e.waiting {
		report.inFlight = append(report.inFlight, seq.id)
	}
	return report
}
