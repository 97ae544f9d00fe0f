package direct

import (
	"maps"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
)

// operator takes in what operators write.
type operator struct {
	entry *Entry
	log   *logrus.Entry
	// out holds the failure domains that are taken out. Only the follower's
	// goroutine uses it.
	out map[string]bool
}

// Whole implements follow.Observer.
func (o *operator) Whole(rows []platform.Row) {
	o.out = map[string]bool{}
	for _, row := range rows {
		o.take(row)
	}
	o.publish()
}

// Changed implements follow.Observer.
func (o *operator) Changed(rows []platform.Row) {
	for _, row := range rows {
		o.take(row)
	}
	o.publish()
}

func (o *operator) take(row platform.Row) {
	if domain, ok := platform.EvacuatedDomain(row.Key); ok {
		delete(o.out, domain)
		if !row.Deleted {
			o.out[domain] = true
		}
		o.log.WithFields(logrus.Fields{"failure_domain": domain, "out": !row.Deleted, "version": row.Version}).Info("failure domain changed")
		return
	}
	if row.Key == platform.KeyConfiguration && !row.Deleted {
		o.configure(row)
	}
}

// configure brings a configuration into force; older ones than that in force are
// passed over.
func (o *operator) configure(row platform.Row) {
	next, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		o.log.WithError(err).WithField("version", row.Version).Error("configuration cannot be read")
		return
	}
	before := o.entry.version.Load()
	if before != nil && next.Number < before.Number {
		return
	}
	o.entry.dispatcher.SetServices(next.Services, o.entry.clock.Now())
	o.entry.version.Store(next)
	o.log.WithFields(logrus.Fields{"configuration": next.Number, "version": row.Version}).Info("configuration in force")
}

func (o *operator) publish() {
	o.entry.dispatcher.SetDomainsOut(maps.Clone(o.out), o.entry.clock.Now())
}

// Lost implements follow.Observer: the last good configuration stays in force.
func (o *operator) Lost() {}

// Regained implements follow.Observer.
func (o *operator) Regained() {}
