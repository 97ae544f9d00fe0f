package direct

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// minRegisterBackoff and maxRegisterBackoff limit the pause between attempts to
	// register.
	minRegisterBackoff = 200 * time.Millisecond
	maxRegisterBackoff = 2 * time.Second
)

// register writes this entry's row to the store and retries until that succeeds.
func (e *Entry) register(ctx context.Context) {
	row, err := platform.EncodePeer(e.self)
	if err != nil {
		e.log.WithError(err).Error("registration cannot be encoded; this entry does not register")
		return
	}
	for backoff := minRegisterBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRegisterBackoff) {
		if err = e.writeRow(ctx, row); err == nil {
			return
		}
		e.log.WithError(err).Warn("writing the registration to the store failed; retrying")
		select {
		case <-ctx.Done():
		case <-e.clock.After(backoff):
		}
	}
}

// registerAgain writes this entry's row again if the store was restored from an older copy,
// which may lack it, since it was written.
func (e *Entry) registerAgain(ctx context.Context) {
	written := e.rowVersion.Load()
	if written == nil || written.Era == e.store.Era() || e.leaving.Load() {
		return
	}
	e.log.WithFields(logrus.Fields{"era": e.store.Era(), "written": written.Era}).Info("store restored; registering again")
	e.register(ctx)
}

const (
	// registrationCheckInterval is the time between two checks for a restored store. An
	// entry must be registered again within 2 s.
	registrationCheckInterval = 500 * time.Millisecond
	// registerTimeout limits one attempt to register.
	registerTimeout = time.Second
	// unregisterTimeout limits the attempt to unregister, which must end within
	// shutdownMargin.
	unregisterTimeout = shutdownMargin / 2
)

func (e *Entry) writeRow(ctx context.Context, row platform.Row) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	version, err := e.store.Apply(ctx, platform.Transaction{Writes: []platform.Row{row}})
	if err == nil {
		e.rowVersion.Store(&version)
	}
	return err
}

// unregister deletes this entry's row, unless a later start of the entry has replaced
// it.
func (e *Entry) unregister() {
	row, err := platform.EncodePeer(e.self)
	written := e.rowVersion.Load()
	if err != nil || written == nil {
		return
	}
	if written.Era != e.store.Era() {
		e.log.Warn("registration not deleted: the store was restored since it was written")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	row.Value, row.Version = nil, written.Number
	_, err = e.store.Apply(ctx, platform.Transaction{Conditions: []platform.Row{row}, Deletes: []platform.Row{row}})
	if err != nil {
		e.log.WithError(err).Warn("deleting the registration from the store failed")
	}
}
