package direct

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/daemon/follow"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
)

const (
	// frequentPollers is the number of entries that poll the operator's table often. The
	// others poll rarely, because each call to the store has a cost, and rely on the
	// heartbeats of the frequent pollers for changes and outages that their own polls do not
	// show. There are several so that some are left when one fails.
	frequentPollers = 4
	// maxPollingEntries is the number of live entries up to which all of them follow all
	// tables. If there are more, only the frequent pollers do, and forward the changes.
	maxPollingEntries = 8
)

// storeWatch decides how often this entry polls the store, and handles what other entries
// report of it.
type storeWatch struct {
	self   presence.Peer
	log    *logrus.Entry
	events *follow.StoreEvents
	// followsStore is 1 while this entry follows the tables of the store itself.
	followsStore prometheus.Gauge
	// operator, targets and entries are how far the tables are known here.
	operator, targets, entries *follow.Position
	// relays hold what the frequent pollers forward, by table.
	relays map[string]*follow.Relay
	// configuration returns the number of the configuration in force, 0 before the first one.
	configuration func() uint64
	// forward sends changes to the entries that do not follow the tables.
	forward func(changes []follow.Batch, pollers []string)
	// onLost is called when this entry has lost the store.
	onLost func()

	// mu guards the fields below. Locks of the follow package are acquired while it is
	// held.
	mu sync.Mutex
	// pollers are the names of the frequent pollers.
	pollers []string
	// live is the number of live entries with this one.
	live int
	// receiving is set while this entry follows no table, because the pollers do.
	receiving bool
	// storeLost is set while this entry cannot read the store, lostBy holds the peers that
	// have last reported the same.
	storeLost bool
	lostBy    map[string]bool
}

func newStoreWatch(self presence.Peer, log *logrus.Entry) *storeWatch {
	w := &storeWatch{
		self: self, log: log, events: follow.NewStoreEvents(),
		operator: follow.NewPosition(), targets: follow.NewPosition(), entries: follow.NewPosition(),
		relays: map[string]*follow.Relay{}, configuration: func() uint64 { return 0 }, forward: func([]follow.Batch, []string) {}, onLost: func() {},
		pollers: []string{self.Name}, live: 1, lostBy: map[string]bool{},
		followsStore: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "verbenaseam_follows_store", Help: "1 while this entry follows the tables of the store itself, 0 while others do so for it.",
		}),
	}
	w.followsStore.Set(1)
	return w
}

// selectPollers returns the names of the frequent pollers: the first entry by name of each
// failure domain, then the second of each, so that the loss of a domain, or of its link to
// the store, leaves some.
func selectPollers(entries []presence.Peer) []string {
	slices.SortFunc(entries, func(a, b presence.Peer) int { return cmp.Compare(a.Name, b.Name) })
	rank, earlier := map[string]int{}, map[string]int{}
	for _, entry := range entries {
		rank[entry.Name] = earlier[entry.FailureDomain]
		earlier[entry.FailureDomain]++
	}
	slices.SortStableFunc(entries, func(a, b presence.Peer) int { return cmp.Compare(rank[a.Name], rank[b.Name]) })
	var names []string
	for _, entry := range entries[:min(frequentPollers, len(entries))] {
		names = append(names, entry.Name)
	}
	return names
}

// update derives the frequent pollers from the other live entries. Each entry judges by
// those that it hears, so that one which hears too few is a frequent poller itself. It then
// polls at once, since its poll in flight may be one that the store has lost.
func (w *storeWatch) update(alive []presence.Peer) {
	pollers := selectPollers(append([]presence.Peer{w.self}, alive...))
	w.mu.Lock()
	defer w.mu.Unlock()
	promoted := !w.polls() && slices.Contains(pollers, w.self.Name)
	w.pollers, w.live = pollers, 1+len(alive)
	receiving := w.live > maxPollingEntries && !w.polls() && !w.pollersLostStore()
	ended := w.receiving && !receiving
	if w.receiving != receiving {
		w.recordRole(receiving)
	}
	w.receiving = receiving
	if promoted || ended {
		w.operator.PollAgain()
		w.targets.PollAgain()
		if ended {
			w.entries.PollAgain()
		}
	}
}

// recordRole logs and exports that this entry begins or ends to follow the store itself. The
// caller holds mu.
func (w *storeWatch) recordRole(receiving bool) {
	log := w.log.WithFields(logrus.Fields{"pollers": w.pollers, "live": w.live})
	if receiving {
		w.followsStore.Set(0)
		log.Info("other entries follow the store for this one")
		return
	}
	w.followsStore.Set(1)
	log.Info("this entry follows the store itself")
}

// polls reports whether this entry is a frequent poller. The caller holds mu.
func (w *storeWatch) polls() bool { return slices.Contains(w.pollers, w.self.Name) }

// pollersLostStore reports whether no frequent poller can read the store. The caller holds mu.
func (w *storeWatch) pollersLostStore() bool {
	return !slices.ContainsFunc(w.pollers, func(name string) bool { return !w.lostBy[name] })
}

// receives reports whether other entries follow the tables for this one.
func (w *storeWatch) receives() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.receiving
}

// liveEntries returns the number of live entries with this one.
func (w *storeWatch) liveEntries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live
}

// forwardChanges sends changes to the entries that follow no table, if this entry does so for
// them.
func (w *storeWatch) forwardChanges(changes []follow.Batch) {
	w.mu.Lock()
	forwards, pollers := w.live > maxPollingEntries && w.polls(), w.pollers
	w.mu.Unlock()
	if forwards {
		w.forward(changes, pollers)
	}
}

// relay returns the relay of a table, which it creates.
func (w *storeWatch) relay(cfg follow.RelayConfig) *follow.Relay {
	cfg.Receives, cfg.Forward = w.receives, w.forwardChanges
	r := follow.NewRelay(cfg)
	w.relays[cfg.Table] = r
	return r
}

// offer takes over changes that a peer has forwarded.
func (w *storeWatch) offer(changes follow.Batch) {
	if r := w.relays[changes.Table]; r != nil {
		r.Offer(changes)
	}
}

// feedWait returns how long a poll of the operator's table waits for a change: the given
// time on frequent pollers.
func (w *storeWatch) feedWait(frequent time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.polls() || w.live > maxPollingEntries && w.pollersLostStore() {
		return frequent
	}
	return max(frequent, follow.LongFeedWait)
}

// setStoreLost records whether this entry can read the store.
func (w *storeWatch) setStoreLost(lost bool) {
	w.mu.Lock()
	w.storeLost = lost
	w.mu.Unlock()
	if lost {
		w.onLost()
	}
}

// status returns what this entry's heartbeats report of the store.
func (w *storeWatch) status() presence.StoreStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	operator, targets, entries := w.operator.Change(), w.targets.Change(), w.entries.Change()
	return presence.StoreStatus{
		OperatorChange: operator.Number, OperatorEra: operator.Era,
		TargetsChange: targets.Number, TargetsEra: targets.Era,
		EntriesChange: entries.Number, EntriesEra: entries.Era, Configuration: w.configuration(), Lost: w.storeLost,
	}
}

// handleStatus polls again if a peer knows of changes that this entry does not. If a
// frequent poller has lost the store, it checks the store, unless this entry polls
// frequently too.
func (w *storeWatch) handleStatus(peer string, status presence.StoreStatus) {
	w.hint(platform.TableOperator, w.operator, platform.Version{Era: status.OperatorEra, Number: status.OperatorChange})
	w.hint(platform.TableTargets, w.targets, platform.Version{Era: status.TargetsEra, Number: status.TargetsChange})
	if w.receives() {
		w.hint(platform.TableEntries, w.entries, platform.Version{Era: status.EntriesEra, Number: status.EntriesChange})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	newlyLost := status.Lost && !w.lostBy[peer]
	w.lostBy[peer] = status.Lost
	if newlyLost && slices.Contains(w.pollers, peer) && !w.polls() {
		w.events.Interrupt()
	}
}

// hint tells the follower of a table that a peer knows of a change, unless it is about to be
// delivered.
func (w *storeWatch) hint(table string, position *follow.Position, change platform.Version) {
	if r := w.relays[table]; r == nil || !r.Covers(change) {
		position.Hint(change)
	}
}
