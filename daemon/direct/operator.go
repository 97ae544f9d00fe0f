package direct

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
)

// operatorObserver applies the rows that operators write: the configuration and the
// failure domains taken out of service.
type operatorObserver struct {
	entry *Entry
	log   *logrus.Entry

	// mu guards the fields below. The dispatcher's lock is acquired while it is held.
	mu sync.Mutex
	// domainsOut holds the failure domains that are taken out of service.
	domainsOut map[string]bool
	// missingUntil holds, for those of domainsOut that the last snapshot lacked, when they are back in
	// service.
	missingUntil map[string]time.Time
	// named holds the failure domains that a row has named, in or out of service.
	named map[string]bool
	// peersOut holds the failure domains that peers keep out of service although the store lacks them, and
	// until when they are believed without a further word.
	peersOut map[string]time.Time
	// started is when this process started, era the era of the store at the last snapshot.
	started time.Time
	era     uint64
	// value is the configuration in force as operators wrote it.
	value []byte
}

// restoredGrace is how long a failure domain that was taken out of service stays so although a store
// that was restored from an older copy lacks it. Operators write it again within that time; if they put
// it back into service meanwhile, they may find no row to delete.
const restoredGrace = 30 * time.Second

// maxDomainsOut bounds the failure domains that are taken from one heartbeat.
const maxDomainsOut = 64

func newOperatorObserver(e *Entry) *operatorObserver {
	return &operatorObserver{
		entry: e, log: logs.Component(e.logger, "operator"),
		domainsOut: map[string]bool{}, missingUntil: map[string]time.Time{}, named: map[string]bool{}, peersOut: map[string]time.Time{},
		started: e.clock.Now(), era: e.storeEra(),
	}
}

// OnSnapshot implements follow.Observer. Domains that the snapshot lacks stay out of service
// for removalGrace, or restoredGrace if the store has been restored: its copy may be older than they.
func (o *operatorObserver) OnSnapshot(rows []platform.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	grace := removalGrace
	if era := o.entry.storeEra(); era != o.era {
		o.era, grace = era, restoredGrace
	}
	for domain := range o.domainsOut {
		if _, missing := o.missingUntil[domain]; !missing {
			o.missingUntil[domain] = o.entry.clock.Now().Add(grace)
		}
	}
	for _, row := range rows {
		o.apply(row)
	}
	o.publishDomainsOut()
}

// tick puts domains back into service that no snapshot or change has named for
// their time of grace.
func (o *operatorObserver) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.entry.clock.Now()
	for domain, until := range o.missingUntil {
		if now.Before(until) {
			continue
		}
		delete(o.missingUntil, domain)
		delete(o.domainsOut, domain)
		o.log.WithField("failure_domain", domain).Info("failure domain no longer listed; back in service")
		o.publishDomainsOut()
	}
	for domain, until := range o.peersOut {
		if !now.Before(until) {
			delete(o.peersOut, domain)
			o.log.WithField("failure_domain", domain).Info("peers no longer keep the failure domain out of service")
			o.publishDomainsOut()
		}
	}
}

// missing returns the failure domains that stay out of service although the store lacks them, sorted.
func (o *operatorObserver) missing() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.missingUntil))
}

// mergeDomainsOut takes failure domains out of service that a peer keeps so although the store lacks them.
// It does so only for restoredGrace from the start of this process: one that runs for longer has known them
// itself.
func (o *operatorObserver) mergeDomainsOut(domains []string, peer string) {
	if len(domains) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.entry.clock.Now()
	if now.Sub(o.started) >= restoredGrace {
		return
	}
	for _, domain := range domains[:min(len(domains), maxDomainsOut)] {
		if o.domainsOut[domain] || o.named[domain] {
			continue
		}
		_, known := o.peersOut[domain]
		o.peersOut[domain] = now.Add(peerTimeout)
		if !known {
			o.log.WithFields(logrus.Fields{"failure_domain": domain, "source": peer}).Info("failure domain out of service at a peer; the store lacks it")
			o.publishDomainsOut()
		}
	}
}

// OnChanges implements follow.Observer.
func (o *operatorObserver) OnChanges(rows []platform.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range rows {
		o.apply(row)
	}
	o.publishDomainsOut()
}

func (o *operatorObserver) apply(row platform.Row) {
	if domain, ok := platform.EvacuatedDomain(row.Key); ok {
		delete(o.domainsOut, domain)
		delete(o.missingUntil, domain)
		delete(o.peersOut, domain)
		o.named[domain] = true
		if !row.Deleted {
			o.domainsOut[domain] = true
		}
		o.log.WithFields(logrus.Fields{"failure_domain": domain, "out": !row.Deleted, "version": row.Version}).Info("failure domain changed")
		return
	}
	if row.Key == platform.KeyConfiguration && !row.Deleted {
		o.applyConfiguration(row)
	}
}

// applyConfiguration brings the configuration of a row into force, unless it is older than the
// one in force.
func (o *operatorObserver) applyConfiguration(row platform.Row) {
	o.bringIntoForce(row.Value, o.log.WithField("version", row.Version))
}

// bringIntoForce brings a configuration into force, unless it is older than the one in force. The caller
// holds mu.
func (o *operatorObserver) bringIntoForce(value []byte, log *logrus.Entry) {
	next, err := platform.DecodeConfiguration(value)
	if err != nil {
		log.WithError(err).Error("configuration cannot be decoded and is not applied")
		return
	}
	if next.Number < o.entry.configurationNumber() {
		return
	}
	o.entry.dispatcher.SetServices(next.Services, o.entry.clock.Now())
	o.entry.version.Store(next)
	o.value = value
	log.WithField("configuration", next.Number).Info("configuration in force")
}

// adopt brings a configuration into force that a peer has sent, because the store no longer holds it.
func (o *operatorObserver) adopt(value []byte, peer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bringIntoForce(value, o.log.WithField("source", peer))
}

// configuration returns the number of the configuration in force and how operators wrote it.
func (o *operatorObserver) configuration() (number uint64, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entry.configurationNumber(), o.value
}

// allOut returns the failure domains that are out of service here. The caller holds mu.
func (o *operatorObserver) allOut() map[string]bool {
	all := maps.Clone(o.domainsOut)
	for domain := range o.peersOut {
		all[domain] = true
	}
	return all
}

func (o *operatorObserver) publishDomainsOut() {
	o.entry.dispatcher.SetDomainsOut(o.allOut(), o.entry.clock.Now())
}

// OnStoreLost implements follow.Observer. The last valid configuration stays in force.
func (o *operatorObserver) OnStoreLost() { o.entry.storeWatch.setStoreLost(true) }

// OnStoreRegained implements follow.Observer.
func (o *operatorObserver) OnStoreRegained() { o.entry.storeWatch.setStoreLost(false) }
