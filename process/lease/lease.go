package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/platform"
)

const (
	// DefaultTTL is the time to live of a lease unless configured otherwise.
	DefaultTTL = 10 * time.Second
	// stepInterval is how often Run advances the state machine.
	stepInterval = 100 * time.Millisecond
)

// Config configures a Lease; every field but Logger is required.
type Config struct {
	Table  platform.Table
	Clock  clockwork.Clock
	Random *rand.Rand
	// Name is the name of the lease. Holder identifies one run of this process; a
	// restarted process must use a new value.
	Name, Holder string
	TTL          time.Duration
	// Logger receives log entries; nil means logrus's standard logger.
	Logger *logrus.Logger
}

// Lease campaigns for one lease while Run is running. It is safe for concurrent
// use.
type Lease struct {
	config Config
	log    *logrus.Entry

	// mu guards machine. It is a leaf lock; the table is not called and nothing is logged
	// while it is held. Table.Era makes no call.
	mu      sync.Mutex
	machine *Machine
}

// New returns a Lease; Run starts the campaign.
func New(config Config) *Lease {
	return &Lease{
		config:  config,
		log:     logs.Component(logs.OrDefault(config.Logger), "lease").WithField("lease", config.Name),
		machine: NewMachine(config.Holder, config.TTL, config.Random),
	}
}

// Epoch returns the epoch of the lease, which each order to an engine must carry as
// its fencing token. Call it immediately before each order. It fails with ErrNotHeld
// while this process does not hold the lease.
func (l *Lease) Epoch() (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	l.machine.ObserveEra(now, l.config.Table.Era())
	epoch, held := l.machine.Held(now)
	if !held {
		return 0, ErrNotHeld
	}
	return epoch, nil
}

// Run campaigns until ctx is done, then releases the lease; the release takes at
// most one TTL. It always returns nil.
func (l *Lease) Run(ctx context.Context) error {
	ticker := l.config.Clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
		}
	}
	l.release()
	return nil
}

// release frees the lease so that the next holder need not wait for its expiry.
func (l *Lease) release() {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.TTL)
	defer cancel()
	l.mu.Lock()
	l.machine.Release()
	l.mu.Unlock()
	l.step(ctx)
}

func (l *Lease) step(ctx context.Context) {
	l.mu.Lock()
	now := l.config.Clock.Now()
	l.machine.ObserveEra(now, l.config.Table.Era())
	step := l.machine.Next(now)
	row, revision := l.machine.Pending()
	l.mu.Unlock()
	switch step {
	case StepRead:
		l.read(ctx)
	case StepWrite:
		l.write(ctx, row, revision)
	}
}

func (l *Lease) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.config.TTL)
	defer cancel()
	row, revision, err := readRow(ctx, l.config.Table, l.config.Name)
	var malformed *RowCodecError
	if errors.As(err, &malformed) {
		l.log.WithError(err).Warn("the lease row is invalid; it is replaced once its holder must have stopped")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.ReadDone(l.config.Clock.Now(), row, revision, err)
}

func readRow(ctx context.Context, table platform.Table, name string) (Row, platform.Revision, error) {
	found, err := table.Get(ctx, Key(name))
	if err != nil {
		return Row{}, platform.Revision{}, err
	}
	return decodeRow(name, found)
}

func (l *Lease) write(ctx context.Context, row Row, expectedRevision platform.Revision) {
	ctx, cancel := context.WithTimeout(ctx, l.config.TTL)
	defer cancel()
	txn, err := encodeTxn(l.config.Name, row, expectedRevision)
	var result platform.TxnResult
	if err == nil {
		result, err = l.config.Table.Commit(ctx, txn)
	}
	l.mu.Lock()
	_, heldBefore := l.machine.Held(l.config.Clock.Now())
	l.machine.WriteDone(l.config.Clock.Now(), result.Committed, result.Revision, err != nil)
	epoch, heldAfter := l.machine.Held(l.config.Clock.Now())
	l.mu.Unlock()
	if heldBefore != heldAfter {
		l.log.WithField("epoch", epoch).WithField("held", heldAfter).Info("lease ownership changed")
	}
	var unknownEffect *platform.UnknownEffectError
	if errors.As(err, &unknownEffect) {
		l.log.Warn("reply to the lease write was lost; reading the row back")
	}
}
