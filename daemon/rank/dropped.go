package rank

import (
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/version/rebalance"
)

// dropReason is the reason why a datagram was dropped: a value of the metric label
// "reason".
type dropReason string

// Reasons for dropping datagrams.
const (
	// dropUndecodable means that the datagram is not a valid message.
	dropUndecodable dropReason = "undecodable"
	// dropNoGroup means that the datagram names no group: its sender runs a release
	// without group names.
	dropNoGroup dropReason = "no_group"
	// dropVersion means that the datagram has a version that this build does not speak.
	dropVersion dropReason = "version"
	// dropOtherGroup means that the sender belongs to another group of the service, or
	// to another incarnation of this group.
	dropOtherGroup dropReason = "other_group"
	// dropInvalid means that the contents do not fit the group.
	dropInvalid dropReason = "invalid"
	// dropQueueFull means that the receive queue was full.
	dropQueueFull dropReason = "queue_full"
)

// dropReasonOf returns the reason for dropping a datagram that rebalance.Decode refused.
func dropReasonOf(err error) dropReason {
	var version *rebalance.VersionError
	switch {
	case errors.Is(err, rebalance.ErrNoGroup):
		return dropNoGroup
	case errors.As(err, &version):
		return dropVersion
	}
	return dropUndecodable
}

// dropLogInterval is the shortest time between two log lines on datagrams that were
// dropped for the same reason.
const dropLogInterval = 10 * time.Second

// droppedDatagrams counts and logs the datagrams that were dropped. It is safe for
// concurrent use.
type droppedDatagrams struct {
	log     *logrus.Entry
	counter *prometheus.CounterVec

	// mu guards the fields below.
	mu sync.Mutex
	// unlogged counts the datagrams since the last log line, by reason.
	unlogged map[dropReason]int
	loggedAt map[dropReason]time.Time
}

func newDroppedDatagrams(registry prometheus.Registerer, log *logrus.Entry) *droppedDatagrams {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenaseam_rank_datagrams_dropped_total",
		Help: "Datagrams of other agents that were dropped, by reason.",
	}, []string{"reason"})
	registry.MustRegister(counter)
	return &droppedDatagrams{log: log, counter: counter, unlogged: map[dropReason]int{}, loggedAt: map[dropReason]time.Time{}}
}

// record counts a datagram and logs it, at most once per dropLogInterval and reason. err
// is nil if the reason says all.
func (d *droppedDatagrams) record(reason dropReason, from netip.AddrPort, err error, now time.Time) {
	d.counter.WithLabelValues(string(reason)).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unlogged[reason]++
	if last, logged := d.loggedAt[reason]; logged && now.Sub(last) < dropLogInterval {
		return
	}
	entry := d.log.WithFields(logrus.Fields{"reason": string(reason), "from": from.String(), "count": d.unlogged[reason]})
	if err != nil {
		entry = entry.WithError(err)
	}
	d.unlogged[reason], d.loggedAt[reason] = 0, now
	if reason == dropOtherGroup {
		// Expected while a planner does not know the hosts of its ranks yet.
		entry.Info("datagrams dropped")
		return
	}
	entry.Warn("datagrams dropped")
}
