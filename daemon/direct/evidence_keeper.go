package direct

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/request/poison"
)

const (
	// evidenceCheckInterval is the time between two checks for a restored store, which may
	// lack what was written, and for a write that failed.
	evidenceCheckInterval = 500 * time.Millisecond
	// maxStoredCrashes is the maximum number of crashes in an entry's row; it holds the
	// newest ones.
	maxStoredCrashes = 64
	// maxDeletedRows is the maximum number of rows that one transaction deletes.
	maxDeletedRows = 50
	// evidenceCallTimeout limits one call to the store.
	evidenceCallTimeout = time.Second
)

// evidenceKeeper keeps the evidence about requests that do not run freely in the store, so
// that it outlives the entries that know of it. An entry writes a row of its own when it
// has noticed a crash or begins a trial, and reads the rows of all entries when it starts.
type evidenceKeeper struct {
	entry *Entry
	log   *logrus.Entry
	// wake asks for a write.
	wake chan struct{}
	// pending is set while something is to be written; written is the version of this
	// entry's row, nil if it has none. Both are used by run only.
	pending bool
	written *platform.Version
}

func newEvidenceKeeper(e *Entry) *evidenceKeeper {
	return &evidenceKeeper{entry: e, log: logs.Component(e.logger, "evidence"), wake: make(chan struct{}, 1)}
}

// changed asks for the evidence to be written, without waiting for that.
func (k *evidenceKeeper) changed() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run reads the stored evidence and then writes that of this entry until ctx is done.
func (k *evidenceKeeper) run(ctx context.Context) {
	if !k.load(ctx) {
		return
	}
	ticker := k.entry.clock.NewTicker(evidenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			k.pending = true
		case <-ticker.Chan():
			if k.written != nil && k.written.Era != k.entry.store.Era() {
				k.pending = true
			}
		}
		if k.pending {
			k.pending = !k.write(ctx)
		}
	}
}

// load reads the evidence of all entries and retries until that succeeds or ctx is done. It
// reports whether it succeeded.
func (k *evidenceKeeper) load(ctx context.Context) bool {
	for backoff := minRegisterBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRegisterBackoff) {
		if rows, version, err := k.read(ctx); err == nil {
			k.merge(ctx, rows, version)
			k.entry.evidenceLoaded.Store(true)
			return true
		} else if ctx.Err() == nil {
			k.log.WithError(err).Warn("reading the evidence of crashes from the store failed; retrying")
		}
		select {
		case <-ctx.Done():
		case <-k.entry.clock.After(backoff):
		}
	}
	return false
}

func (k *evidenceKeeper) read(ctx context.Context) ([]platform.Row, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceCallTimeout)
	defer cancel()
	return k.entry.store.Read(ctx, platform.TableCrashEvidence)
}

// merge adds the evidence of rows, read at a version, and deletes the rows that are too old
// to matter.
func (k *evidenceKeeper) merge(ctx context.Context, rows []platform.Row, version platform.Version) {
	now := k.entry.clock.Now()
	var expired []platform.Row
	for _, row := range rows {
		evidence, age, err := platform.DecodeCrashEvidence(row, now)
		if err != nil {
			k.log.WithError(err).Warn("stored evidence of crashes cannot be decoded; ignored")
			continue
		}
		if age > poison.DefaultRefuseFor {
			expired = append(expired, row)
			continue
		}
		changed := k.entry.poison.Merge(evidence)
		k.log.WithFields(logrus.Fields{
			"entry": row.Key, "crashes": len(evidence.Crashes), "age_ms": age.Milliseconds(), "new": changed,
		}).Info("stored evidence of crashes read")
	}
	if len(expired) > 0 && version.Era == k.entry.store.Era() {
		k.deleteRows(ctx, expired[:min(len(expired), maxDeletedRows)])
	}
}

// deleteRows deletes rows unless one of them has been written again. Rows that stay are
// deleted at the next start of an entry.
func (k *evidenceKeeper) deleteRows(ctx context.Context, rows []platform.Row) {
	for i := range rows {
		rows[i].Value = nil
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceCallTimeout)
	defer cancel()
	if _, err := k.entry.store.Apply(ctx, platform.Transaction{Conditions: rows, Deletes: rows}); err != nil {
		k.log.WithError(err).Info("expired evidence of crashes not deleted")
	}
}

// write writes this entry's row, if any request does not run freely, and reports whether
// nothing is left to be written.
func (k *evidenceKeeper) write(ctx context.Context) bool {
	evidence := k.entry.poison.Restricted(maxStoredCrashes)
	if evidence.IsEmpty() {
		return true
	}
	row, err := platform.EncodeCrashEvidence(k.entry.self.Name, evidence, k.entry.clock.Now())
	if err != nil {
		k.log.WithError(err).Error("evidence of crashes cannot be encoded; it is not kept in the store")
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceCallTimeout)
	defer cancel()
	version, err := k.entry.store.Apply(ctx, platform.Transaction{Writes: []platform.Row{row}})
	if err != nil {
		k.log.WithError(err).Warn("writing the evidence of crashes to the store failed; retrying")
		return false
	}
	k.written = &version
	k.log.WithField("crashes", len(evidence.Crashes)).Info("evidence of crashes written to the store")
	return true
}
