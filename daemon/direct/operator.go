package direct

import (
	"maps"
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
	// era is the era of the store at the last snapshot.
	era uint64
}

// restoredGrace is how long a failure domain that was taken out of service stays so although a store
// that was restored from an older copy lacks it. Operators write it again within that time; if they put
// it back into service meanwhile, they may find no row to delete.
const restoredGrace = 30 * time.Second

func newOperatorObserver(e *Entry) *operatorObserver {
	return &operatorObserver{
		entry: e, log: logs.Component(e.logger, "operator"),
		domainsOut: map[string]bool{}, missingUntil: map[string]time.Time{}, era: e.storeEra(),
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

// applyConfiguration brings a configuration into force, unless it is older than the
// one in force.
func (o *operatorObserver) applyConfiguration(row platform.Row) {
	next, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		o.log.WithError(err).WithField("version", row.Version).Error("configuration cannot be decoded and is not applied")
		return
	}
	current := o.entry.version.Load()
	if current != nil && next.Number < current.Number {
		return
	}
	o.entry.dispatcher.SetServices(next.Services, o.entry.clock.Now())
	o.entry.version.Store(next)
	o.log.WithFields(logrus.Fields{"configuration": next.Number, "version": row.Version}).Info("configuration in force")
}

func (o *operatorObserver) publishDomainsOut() {
	o.entry.dispatcher.SetDomainsOut(maps.Clone(o.domainsOut), o.entry.clock.Now())
}

// OnStoreLost implements follow.Observer. The last valid configuration stays in force.
func (o *operatorObserver) OnStoreLost() { o.entry.storeWatch.setStoreLost(true) }

// OnStoreRegained implements follow.Observer.
func (o *operatorObserver) OnStoreRegained() { o.entry.storeWatch.setStoreLost(false) }
