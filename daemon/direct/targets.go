package direct

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
)

// removalGrace is how long after an outage of the store targets may renew registrations
// that were deleted during the outage or since. Targets that do not are removed.
const removalGrace = 2 * time.Second

// targetObserver registers targets with the dispatcher as their rows in the store say,
// and keeps the connection pools to them.
type targetObserver struct {
	dispatcher *dispatch.Dispatcher
	clock      clockwork.Clock
	log        *logrus.Entry
	// onEnd is called when the registrations show that a target's incarnation has ended;
	// may be nil.
	onEnd func(t *dispatch.Target, sign poison.CrashSign)

	// mu guards the fields below. The dispatcher's lock may be acquired while it is held.
	mu sync.Mutex
	// pools holds the connection pools by target and address.
	pools map[poolKey]*direct.Pool
	// invalidRows holds the versions of rows that name no target, by key, so that each
	// version is logged once.
	invalidRows map[string]uint64
	// graceUntil is the end of removalGrace after an outage of the store. Before it, and
	// while storeLost is set, targets whose registrations were deleted are kept.
	graceUntil time.Time
	// storeLost is set while the store cannot be read.
	storeLost bool
	// deletedAt holds, by target ID, when the registrations of targets that are kept for
	// the time being were deleted.
	deletedAt map[string]time.Time
	// processes is the number of entries, which share the connections to a target.
	processes int
}

// poolKey identifies a connection pool by target ID and address. The ID names one
// incarnation of a target, but a restarted target can reuse it at another address.
type poolKey struct{ id, address string }

func newTargetObserver(dispatcher *dispatch.Dispatcher, clock clockwork.Clock, log *logrus.Entry) *targetObserver {
	return &targetObserver{
		dispatcher: dispatcher, clock: clock, log: log,
		pools: map[poolKey]*direct.Pool{}, invalidRows: map[string]uint64{}, deletedAt: map[string]time.Time{},
		processes: 1,
	}
}

// setProcesses sets the number of entries. Connection pools that exist keep their limits.
func (o *targetObserver) setProcesses(count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.processes = count
}

// OnSnapshot implements follow.Observer.
func (o *targetObserver) OnSnapshot(rows []platform.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	registered := map[string]bool{}
	for _, row := range rows {
		if o.register(row) {
			registered[row.Key] = true
		}
	}
	for _, id := range o.dispatcher.TargetIDs() {
		if !registered[id] {
			o.removeOrMark(id)
		}
	}
}

// OnChanges implements follow.Observer.
func (o *targetObserver) OnChanges(rows []platform.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range rows {
		if row.Deleted || !o.register(row) {
			o.removeOrMark(row.Key)
		}
	}
}

// register registers a target with the dispatcher. It returns false for a row that names
// no target.
func (o *targetObserver) register(row platform.Row) bool {
	registration, err := platform.DecodeRegistration(row)
	if err != nil {
		if o.invalidRows[row.Key] != row.Version {
			o.invalidRows[row.Key] = row.Version
			o.log.WithError(err).WithField("row", row.Key).Warn("registration names no target")
		}
		return false
	}
	delete(o.deletedAt, row.Key)
	if replaced := o.dispatcher.Register(registration, o.clock.Now()); replaced != nil {
		o.ended(replaced, poison.RegistrationReplaced)
	}
	o.log.WithFields(logrus.Fields{
		"target": registration.ID, "service": registration.Service, "address": registration.Address,
		"leaving": registration.Leaving, "version": row.Version,
	}).Info("target registered")
	return true
}

// removeOrMark removes a target whose registration was deleted. During an outage of the
// store and for removalGrace afterwards it only marks the target in deletedAt, because
// live targets renew registrations that lapsed in the outage.
func (o *targetObserver) removeOrMark(id string) {
	now := o.clock.Now()
	if o.storeLost || now.Before(o.graceUntil) {
		if _, marked := o.deletedAt[id]; !marked {
			o.deletedAt[id] = now
		}
		return
	}
	o.remove(id)
}

func (o *targetObserver) remove(id string) {
	if removed := o.dispatcher.Remove(id); removed != nil {
		o.ended(removed, poison.RegistrationDeleted)
	}
	delete(o.deletedAt, id)
	for key, pool := range o.pools {
		if key.id == id {
			pool.Close()
			delete(o.pools, key)
		}
	}
	o.log.WithField("target", id).Info("target gone")
}

// ended reports the end of a target that was removed from the dispatcher.
func (o *targetObserver) ended(t *dispatch.Target, sign poison.CrashSign) {
	if o.onEnd != nil {
		o.onEnd(t, sign)
	}
}

// OnStoreLost implements follow.Observer.
func (o *targetObserver) OnStoreLost() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.storeLost = true
}

// OnStoreRegained implements follow.Observer.
func (o *targetObserver) OnStoreRegained() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.storeLost = false
	o.graceUntil = o.clock.Now().Add(removalGrace)
}

// tick removes, once removalGrace is over, the targets that have not renewed their
// registrations.
func (o *targetObserver) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if o.storeLost || now.Before(o.graceUntil) {
		return
	}
	for id := range o.deletedAt {
		o.remove(id)
	}
}

// connectionPool returns the connection pool of a target, and creates it on first use.
func (o *targetObserver) connectionPool(target *dispatch.Target) *direct.Pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := poolKey{target.ID(), target.Address()}
	pool := o.pools[key]
	if pool == nil {
		pool = direct.NewPool(target.Address(), target.ConnectionLimit(o.processes), func(took time.Duration) {
			o.dispatcher.RecordConnection(target, took)
		})
		o.pools[key] = pool
	}
	return pool
}
