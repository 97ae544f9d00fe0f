package direct

import (
	"maps"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
)

// operatorObserver applies the rows that operators write: the configuration and the
// failure domains taken out of service.
type operatorObserver struct {
	entry *Entry
	log   *logrus.Entry
	// domainsOut holds the failure domains that are taken out of service. Only the
	// follower's goroutine uses it.
	domainsOut map[string]bool
}

// OnSnapshot implements follow.Observer.
func (o *operatorObserver) OnSnapshot(rows []platform.Row) {
	o.domainsOut = map[string]bool{}
	for _, row := range rows {
		o.apply(row)
	}
	o.publishDomainsOut()
}

// OnChanges implements follow.Observer.
func (o *operatorObserver) OnChanges(rows []platform.Row) {
	for _, row := range rows {
		o.apply(row)
	}
	o.publishDomainsOut()
}

func (o *operatorObserver) apply(row platform.Row) {
	if domain, ok := platform.EvacuatedDomain(row.Key); ok {
		delete(o.domainsOut, domain)
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
