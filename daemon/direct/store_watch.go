package direct

import (
	"slices"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/daemon/follow"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
)

// frequentPollers is the number of entries that poll the operator's table often. The others
// poll rarely, because each call to the store has a cost, and rely on the heartbeats of the
// frequent pollers for changes and outages that their own polls do not show. There are
// several so that some are left when one fails.
const frequentPollers = 4

// storeWatch decides how often this entry polls the store, and handles what other entries
// report of it.
type storeWatch struct {
	self              string
	events            *follow.StoreEvents
	operator, targets *follow.Position

	// mu guards the fields below. Locks of the follow package are acquired while it is
	// held.
	mu sync.Mutex
	// pollers are the names of the frequent pollers.
	pollers []string
	// storeLost is set while this entry cannot read the store, lostBy holds the peers that
	// have last reported the same.
	storeLost bool
	lostBy    map[string]bool
}

func newStoreWatch(self string) *storeWatch {
	return &storeWatch{
		self: self, events: follow.NewStoreEvents(), operator: follow.NewPosition(), targets: follow.NewPosition(),
		pollers: []string{self}, lostBy: map[string]bool{},
	}
}

// update derives the frequent pollers from the other live entries: the first entries by
// name are. Each entry judges by those that it hears, so that one which hears too few is
// a frequent poller itself. It then polls at once, since its poll in flight may be one
// that the store has lost.
func (w *storeWatch) update(alive []presence.Peer) {
	names := []string{w.self}
	for _, peer := range alive {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	names = names[:min(frequentPollers, len(names))]
	w.mu.Lock()
	defer w.mu.Unlock()
	promoted := !slices.Contains(w.pollers, w.self) && slices.Contains(names, w.self)
	w.pollers = names
	if promoted {
		w.operator.PollAgain()
		w.targets.PollAgain()
	}
}

// feedWait returns how long a poll of the operator's table waits for a change: the given
// time on frequent pollers.
func (w *storeWatch) feedWait(frequent time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.pollers, w.self) {
		return frequent
	}
	return max(frequent, follow.LongFeedWait)
}

// setStoreLost records whether this entry can read the store.
func (w *storeWatch) setStoreLost(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeLost = lost
}

// status returns what this entry's heartbeats report of the store.
func (w *storeWatch) status() presence.StoreStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	operator, targets := w.operator.Change(), w.targets.Change()
	return presence.StoreStatus{
		OperatorChange: operator.Number, OperatorEra: operator.Era,
		TargetsChange: targets.Number, TargetsEra: targets.Era, Lost: w.storeLost,
	}
}

// handleStatus polls again if a peer knows of changes that this entry does not. If a
// frequent poller has lost the store, it checks the store, unless this entry polls
// frequently too.
func (w *storeWatch) handleStatus(peer string, status presence.StoreStatus) {
	w.operator.Hint(platform.Version{Era: status.OperatorEra, Number: status.OperatorChange})
	w.targets.Hint(platform.Version{Era: status.TargetsEra, Number: status.TargetsChange})
	w.mu.Lock()
	defer w.mu.Unlock()
	newlyLost := status.Lost && !w.lostBy[peer]
	w.lostBy[peer] = status.Lost
	if newlyLost && slices.Contains(w.pollers, peer) && !slices.Contains(w.pollers, w.self) {
		w.events.Interrupt()
	}
}
