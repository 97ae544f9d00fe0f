package direct

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// absence is how long a registration that went while the store was disturbed may
// take to come back before its target counts as gone.
const absence = 2 * time.Second

// targets takes in the targets' registrations and keeps the connections to them.
type targets struct {
	dispatcher *dispatch.Dispatcher
	clock      clockwork.Clock
	log        *logrus.Entry

	// mu guards all below; the dispatcher's lock is taken under it.
	mu sync.Mutex
	// pools holds the connections by incarnation and address.
	pools map[poolKey]*direct.Pool
	// unreadable holds the rows that name no target, by key, so that each is
	// logged once.
	unreadable map[string]uint64
	// disturbedUntil is until when registrations that go may come back.
	disturbedUntil time.Time
	lost           bool
	// absent holds when registrations went that may come back.
	absent map[string]time.Time
}

type poolKey struct{ id, address string }

func newTargets(dispatcher *dispatch.Dispatcher, clock clockwork.Clock, log *logrus.Entry) *targets {
	return &targets{
		dispatcher: dispatcher, clock: clock, log: log,
		pools: map[poolKey]*direct.Pool{}, unreadable: map[string]uint64{}, absent: map[string]time.Time{},
	}
}

// Whole implements follow.Observer.
func (t *targets) Whole(rows []platform.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	for _, row := range rows {
		if t.take(row) {
			seen[row.Key] = true
		}
	}
	for _, id := range t.dispatcher.TargetIDs() {
		if !seen[id] {
			t.went(id)
		}
	}
}

// Changed implements follow.Observer.
func (t *targets) Changed(rows []platform.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		if row.Deleted || !t.take(row) {
			t.went(row.Key)
		}
	}
}

// take takes in a registration; it returns false for a row that names no target.
func (t *targets) take(row platform.Row) bool {
	registration, err := platform.DecodeRegistration(row)
	if err != nil {
		if t.unreadable[row.Key] != row.Version {
			t.unreadable[row.Key] = row.Version
			t.log.WithError(err).WithField("row", row.Key).Warn("registration names no target")
		}
		return false
	}
	delete(t.absent, row.Key)
	t.dispatcher.Register(registration, t.clock.Now())
	t.log.WithFields(logrus.Fields{
		"target": registration.ID, "service": registration.Service, "address": registration.Address,
		"leaving": registration.Leaving, "version": row.Version,
	}).Info("target registered")
	return true
}

// went takes in that a registration is gone: at once, or after some time if the
// store was disturbed, when those of live targets come back.
func (t *targets) went(id string) {
	now := t.clock.Now()
	if t.lost || now.Before(t.disturbedUntil) {
		if _, known := t.absent[id]; !known {
			t.absent[id] = now
		}
		return
	}
	t.remove(id)
}

func (t *targets) remove(id string) {
	t.dispatcher.Remove(id)
	delete(t.absent, id)
	for key, pool := range t.pools {
		if key.id == id {
			pool.Close()
			delete(t.pools, key)
		}
	}
	t.log.WithField("target", id).Info("target gone")
}

// Lost implements follow.Observer.
func (t *targets) Lost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = true
}

// Regained implements follow.Observer.
func (t *targets) Regained() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = false
	t.disturbedUntil = t.clock.Now().Add(absence)
}

// tick removes the targets whose registrations did not come back.
func (t *targets) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.lost || now.Before(t.disturbedUntil) {
		return
	}
	for id := range t.absent {
		t.remove(id)
	}
}

// connections returns the connections to a target.
func (t *targets) connections(to *dispatch.Target) *direct.Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := poolKey{to.ID(), to.Address()}
	pool := t.pools[key]
	if pool == nil {
		pool = direct.NewPool(to.Address(), to.ConnectionLimit(mostEntries), nil)
		t.pools[key] = pool
	}
	return pool
}
