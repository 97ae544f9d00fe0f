package order

import "time"

// queuedWrite is a write that waits for a transaction.
type queuedWrite struct {
	write   Write
	since   time.Time
	started bool
	// done receives the result; it is buffered, so that sending never blocks.
	done chan WriteResult
}

// writeQueue holds waiting writes in order of arrival. It is not safe for
// concurrent use; Recorder.mu guards it.
type writeQueue struct {
	limit   int
	waiting []*queuedWrite
	// inFlight holds the rows of transactions under way.
	inFlight map[string]bool
}

func newWriteQueue(limit int) writeQueue {
	return writeQueue{limit: limit, inFlight: map[string]bool{}}
}

// push adds a write; it returns false if the queue is full.
func (q *writeQueue) push(item *queuedWrite) bool {
	if len(q.waiting) >= q.limit {
		return false
	}
	q.waiting = append(q.waiting, item)
	return true
}

// take removes up to maxItems writes and marks their rows as in flight. All are
// to different rows, none of which is in flight already.
func (q *writeQueue) take(maxItems int) []*queuedWrite {
	var taken, remaining []*queuedWrite
	for _, item := range q.waiting {
		if len(taken) >= maxItems || q.inFlight[item.write.Key] {
			remaining = append(remaining, item)
			continue
		}
		q.inFlight[item.write.Key] = true
		item.started = true
		taken = append(taken, item)
	}
	q.waiting = remaining
	return taken
}

// release marks the rows of a finished transaction as no longer in flight.
func (q *writeQueue) release(items []*queuedWrite) {
	for _, item := range items {
		delete(q.inFlight, item.write.Key)
	}
}

// remove withdraws a write from the queue; it returns false if a transaction with
// it has started.
func (q *writeQueue) remove(item *queuedWrite) bool {
	if item.started {
		return false
	}
	for i, waiting := range q.waiting {
		if waiting == item {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Limits of the pacer.
const (
	// pacerBurst is the number of transactions that may start at once.
	pacerBurst = 4
	// maxPacerSlowdown bounds the factor by which rate-limit rejections slow the
	// pacer down.
	maxPacerSlowdown = 4
	// pacerRecoveryDivisor is the inverse of the share of the slowdown that one
	// success removes.
	pacerRecoveryDivisor = 8
)

// pacer limits the rate of transactions to an entry's share of the platform's
// writes; it slows down when the platform rejects calls because of its rate
// limit. The zero value is not usable.
type pacer struct {
	interval time.Duration
	// slowdown multiplies the interval; it is at least 1.
	slowdown float64
	// nextStart is the earliest start of the next transaction. It may lie up to
	// pacerBurst-1 intervals in the past, which permits a burst.
	nextStart time.Time
}

func newPacer(perSecond float64) pacer {
	p := pacer{slowdown: 1}
	p.setRate(perSecond)
	return p
}

func (p *pacer) setRate(perSecond float64) {
	p.interval = time.Duration(float64(time.Second) / perSecond)
}

// reserve reserves one start and returns how long to wait for it.
func (p *pacer) reserve(now time.Time) time.Duration {
	interval := time.Duration(float64(p.interval) * p.slowdown)
	earliest := now.Add(-(pacerBurst - 1) * interval)
	if p.nextStart.Before(earliest) {
		p.nextStart = earliest
	}
	wait := p.nextStart.Sub(now)
	p.nextStart = p.nextStart.Add(interval)
	return max(0, wait)
}

// onRateLimited doubles the slowdown after a rate-limit rejection.
func (p *pacer) onRateLimited() { p.slowdown = min(p.slowdown*2, maxPacerSlowdown) }

// onSuccess removes part of the slowdown after a success.
func (p *pacer) onSuccess() {
	p.slowdown = max(1, p.slowdown-(p.slowdown-1)/pacerRecoveryDivisor)
}
