package lease

import (
	"errors"
	"math/rand/v2"
	"time"

	"verbenaseam.example/verbenaseam/process/platform"
)

const (
	// ClockMargin is the fraction of a duration by which two clocks may differ. It
	// leaves room over the 1% by which clock rates are known to differ.
	ClockMargin = 0.02
	// safetyMargin is the fraction of the TTL by which a holder stops before the
	// TTL has elapsed, in addition to ClockMargin.
	safetyMargin = 0.1
	// renewAfter is the fraction of the TTL after which a holder renews.
	renewAfter = 1.0 / 3
)

// Step is the action that a Machine asks its caller to take next.
type Step int

const (
	// StepNone means that there is nothing to do before a later call of Next.
	StepNone Step = iota
	// StepRead asks the caller to read the row and call ReadDone.
	StepRead
	// StepWrite asks the caller to write the row of Machine.Pending, on condition that
	// the stored row is at the revision returned with it, and call WriteDone.
	StepWrite
)

// Machine decides when to read and write a lease row and whether the lease is
// held. It is a pure state machine: the caller passes in the time of a monotonic
// clock with each call. One step runs at a time. It is not safe for concurrent use.
type Machine struct {
	self   string
	ttl    time.Duration
	random *rand.Rand

	// row and revision are the last known state of the row; known is false before
	// the first read and after a write conflict. seenAt is when this revision was
	// first observed: the end of the read that found it or of the write that made it.
	row      Row
	revision platform.Revision
	known    bool
	seenAt   time.Time

	// validUntil is when this process stops relying on the lease; zero while it is
	// not held.
	validUntil time.Time
	epoch      uint64
	// era is the latest era of the platform that is known. confirmUntil is set if the lease
	// was held when the platform returned from an older copy: until then the lease may be
	// confirmed in the new era, since no other process can have acquired it.
	era          uint64
	confirmUntil time.Time
	// releasing is set when the lease is to be released and not acquired again.
	releasing bool

	// stepInFlight is set between a StepRead or StepWrite and its completion.
	stepInFlight bool
	nextRead     time.Time
	nonce        uint64
	// pending is the most recent write and pendingAt the time it was decided on;
	// unresolved is set while the effect of that write is unknown.
	pending    Row
	pendingAt  time.Time
	unresolved bool
}

// NewMachine returns a machine for the process with the holder name self.
func NewMachine(self string, ttl time.Duration, random *rand.Rand) *Machine {
	return &Machine{self: self, ttl: ttl, random: random}
}

// Held returns the current epoch and whether the lease is held at the given time.
func (m *Machine) Held(now time.Time) (uint64, bool) {
	return m.epoch, !m.validUntil.IsZero() && now.Before(m.validUntil)
}

// eraShift is the number of bits of an epoch below those of its era.
const eraShift = 40

// eraOf returns the era in which an epoch was given out.
func eraOf(epoch uint64) uint64 { return epoch >> eraShift }

// nextEpoch returns an epoch above all that any process has had. After a restoration the row
// may come from an older copy, or from a write of an earlier era that took effect late; the
// era and the revision of the row do not go back.
func (m *Machine) nextEpoch() uint64 {
	if m.era == 0 {
		return m.row.Epoch + 1
	}
	return max(m.row.Epoch, m.era<<eraShift|uint64(m.revision.Number)) + 1
}

// ObserveEra takes the platform's era. After a restoration the lease does not count as held
// until it is confirmed, and nothing that was known of the row holds any more.
func (m *Machine) ObserveEra(now time.Time, era uint64) {
	if era <= m.era {
		return
	}
	m.era = era
	if _, held := m.Held(now); held {
		m.confirmUntil = m.validUntil
	}
	m.validUntil = time.Time{}
	m.known, m.unresolved = false, false
	m.nextRead = now
}

// ValidUntil returns when this process stops relying on the lease unless it renews it;
// zero while it is not held.
func (m *Machine) ValidUntil() time.Time { return m.validUntil }

// Pending returns the row to write and the revision that the stored row must have.
func (m *Machine) Pending() (Row, platform.Revision) { return m.pending, m.revision }

// Release makes the machine release the lease and not acquire it again.
func (m *Machine) Release() { m.releasing = true }

// Released reports whether Release was called and the release has completed.
func (m *Machine) Released(now time.Time) bool {
	_, held := m.Held(now)
	return m.releasing && !held && !m.stepInFlight
}

// Next returns the step to take now. After StepRead or StepWrite it returns StepNone until
// ReadDone or WriteDone has been called.
func (m *Machine) Next(now time.Time) Step {
	if m.stepInFlight {
		return StepNone
	}
	_, held := m.Held(now)
	switch {
	case m.unresolved || !m.known:
		return m.readIfDue(now)
	case held && m.releasing:
		// Another process may acquire the lease as soon as the write takes effect.
		m.validUntil = time.Time{}
		return m.write(now, Row{Epoch: m.epoch, TTLMillis: m.ttl.Milliseconds()})
	case held && now.After(m.pendingAt.Add(scale(m.ttl, renewAfter))):
		return m.write(now, m.rowForEpoch(m.epoch))
	case held || m.releasing:
		return StepNone
	case now.Before(m.confirmUntil) || m.available(now):
		return m.write(now, m.rowForEpoch(m.nextEpoch()))
	default:
		return m.readIfDue(now)
	}
}

// available reports whether the lease may be acquired: it has no holder, or its
// row has been unchanged for longer than the TTL on the clock of any holder. A row of an
// earlier era may come from an older copy and not name the holder.
func (m *Machine) available(now time.Time) bool {
	fromCopy := eraOf(m.row.Epoch) < m.era
	if !fromCopy && (m.revision.IsAbsent() || m.row.Holder == "") {
		return true
	}
	return now.Sub(m.seenAt) > scale(max(m.ttl, m.row.TTL()), 1+ClockMargin)
}

func (m *Machine) rowForEpoch(epoch uint64) Row {
	return Row{Holder: m.self, Epoch: epoch, TTLMillis: m.ttl.Milliseconds()}
}

func (m *Machine) readIfDue(now time.Time) Step {
	if now.Before(m.nextRead) {
		return StepNone
	}
	m.stepInFlight = true
	return StepRead
}

func (m *Machine) write(now time.Time, row Row) Step {
	m.nonce++
	row.Nonce = m.nonce
	m.pending, m.pendingAt = row, now
	m.stepInFlight = true
	return StepWrite
}

// ReadDone reports the result of StepRead; the revision of an absent row is absent. A row that
// cannot be decoded must not keep the lease from all processes. It counts as one of an earlier
// era, so that its holder may be any process; an epoch above all others is known only if the
// platform has an era.
func (m *Machine) ReadDone(now time.Time, row Row, revision platform.Revision, err error) {
	m.stepInFlight = false
	m.nextRead = now.Add(scale(m.ttl, renewAfter*(0.5+m.random.Float64())))
	var malformed *RowCodecError
	if errors.As(err, &malformed) && m.era > 0 {
		row, err = Row{}, nil
	}
	if err != nil || m.ofEarlierEra(revision) {
		return
	}
	if !m.known || revision != m.revision {
		m.row, m.revision, m.known, m.seenAt = row, revision, true, now
	}
	if m.unresolved {
		m.unresolved = false
		m.resolvePendingWrite(row)
	}
}

// resolvePendingWrite decides from the row read back whether the pending write, whose
// effect is unknown, took effect. A write that has not may still take effect later, but
// only while the row is at the revision of its condition. The row then names this
// process as holder although this process does not consider itself the holder; that
// is safe and only delays the next acquisition, also one by this process.
func (m *Machine) resolvePendingWrite(row Row) {
	if row == m.pending && eraOf(row.Epoch) == m.era {
		m.startTerm()
		return
	}
	if row.Holder != m.self || row.Epoch != m.epoch {
		m.validUntil = time.Time{}
	}
}

// WriteDone reports the result of StepWrite: whether it was committed and at
// which revision. effectUnknown means that the write failed or its reply was lost, so
// that it may or may not have taken effect.
func (m *Machine) WriteDone(now time.Time, committed bool, revision platform.Revision, effectUnknown bool) {
	m.stepInFlight = false
	switch {
	case effectUnknown:
		m.unresolved = true
		m.nextRead = now
	case committed && !m.ofEarlierEra(revision):
		m.row, m.revision, m.seenAt = m.pending, revision, now
		m.startTerm()
	default:
		m.known = false
		m.nextRead = now
		m.validUntil = time.Time{}
	}
}

// startTerm starts or renews the term of the lease after the pending write took
// effect. The term counts from before the write was sent. After a write that
// released the lease, it ends the term.
func (m *Machine) startTerm() {
	if m.pending.Holder != m.self {
		m.validUntil = time.Time{}
		return
	}
	m.epoch = m.pending.Epoch
	m.confirmUntil = time.Time{}
	m.validUntil = m.pendingAt.Add(scale(m.ttl, 1-ClockMargin-safetyMargin))
}

// ofEarlierEra reports whether a row was read or written before the platform returned from
// an older copy.
func (m *Machine) ofEarlierEra(revision platform.Revision) bool {
	return !revision.IsAbsent() && revision.Era < m.era
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
