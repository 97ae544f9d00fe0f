package order

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// Defaults of Config.
const (
	// DefaultRetention is the lifetime of a record.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxStartWindow bounds the time within which a dispatched attempt may
	// start.
	DefaultMaxStartWindow = 10 * time.Minute
	// DefaultMaxAttempts bounds the attempts made by one call.
	DefaultMaxAttempts = 3
	// DefaultMaxResultBytes bounds the response body stored in a record.
	DefaultMaxResultBytes = 64 << 10
	// DefaultQueryAfter is how long a call waits for an attempt of another call
	// before it queries the agent.
	DefaultQueryAfter = time.Second
	// DefaultOrphanAfter is how long a call waits before it requests a tombstone
	// for an attempt that its agent has not seen.
	DefaultOrphanAfter = 2 * time.Second
	// DefaultFollowUpDuration is how long an entry continues to resolve an order
	// whose caller has been answered.
	DefaultFollowUpDuration = time.Minute
	// DefaultMaxFollowUps bounds the orders followed up concurrently.
	DefaultMaxFollowUps = 1024
)

const (
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// minWindowsPerRetention is the minimum ratio of Retention to MaxStartWindow.
	minWindowsPerRetention = 10
	// agentCallTimeout bounds one query or tombstone request.
	agentCallTimeout = 250 * time.Millisecond
	// minPollInterval and maxPollInterval bound the interval between two polls of
	// an order.
	minPollInterval = 25 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// minRetryTime is the least remaining time in which another attempt is made.
	minRetryTime = 20 * time.Millisecond
	// resolveReserveDivisor is the inverse of the share of a call's remaining time
	// that is held back to resolve a dispatch that does not return.
	resolveReserveDivisor = 5
	// maxResolveReserve bounds the time held back.
	maxResolveReserve = 500 * time.Millisecond
)

// Config sets up a Coordinator; zero values mean the defaults.
type Config struct {
	Table  platform.Table
	Writer Writer
	// Reader reads the records of waiting calls; nil means a BatchReader.
	Reader     Reader
	Dispatcher Dispatcher
	Clock      clockwork.Clock
	// Retention is the lifetime of a record; MaxStartWindow bounds the time within
	// which a dispatched attempt may start. Retention must be at least ten times
	// MaxStartWindow.
	Retention, MaxStartWindow time.Duration
	MaxAttempts               int
	MaxResultBytes            int
	QueryAfter, OrphanAfter   time.Duration
	FollowUpDuration          time.Duration
	MaxFollowUps              int
	// NewNonce returns a unique string; nil means that random UUIDs are used.
	NewNonce func() string
	// Random returns a number in [0,1) for jitter; nil means that math/rand is
	// used.
	Random func() float64
}

// Request is a caller's request to run an order.
type Request struct {
	Organisation string
	// Key is the caller's idempotency key; an order without a key runs at most
	// once and has no record.
	Key string
	// Fingerprint identifies method, path and body.
	Fingerprint [32]byte
	// Payload is passed to the Dispatcher unchanged.
	Payload any
	// Timeout is the caller's remaining time.
	Timeout time.Duration
}

// Answer is what Run returns for an order that ran.
type Answer struct {
	Result Result
	// Repeated is set if Result is the recorded result of a run made by another
	// call.
	Repeated bool
}

// Coordinator runs orders at most once on behalf of an entry. It is safe for
// concurrent use.
type Coordinator struct {
	config Config
	clock  contextClock
	// followUps holds one token for each order that is being followed up.
	followUps chan struct{}
	// spawn runs a function concurrently with the caller.
	spawn func(func())
}

// contextClock is a clock whose Sleep can be cancelled.
type contextClock interface {
	Now() time.Time
	// Sleep returns an error if ctx ends before the wait is over.
	Sleep(ctx context.Context, wait time.Duration) error
}

// clockworkClock implements contextClock on a clockwork.Clock.
type clockworkClock struct{ clock clockwork.Clock }

func (c clockworkClock) Now() time.Time { return c.clock.Now() }

func (c clockworkClock) Sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-c.clock.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewCoordinator returns a coordinator. It fails with ErrRetentionTooShort if
// Retention is less than ten times MaxStartWindow.
func NewCoordinator(config Config) (*Coordinator, error) {
	config = config.withDefaults()
	if config.Retention < minWindowsPerRetention*config.MaxStartWindow {
		return nil, ErrRetentionTooShort
	}
	return &Coordinator{
		config:    config,
		clock:     clockworkClock{clock: config.Clock},
		followUps: make(chan struct{}, config.MaxFollowUps),
		spawn:     func(run func()) { go run() },
	}, nil
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Reader == nil {
		c.Reader = NewBatchReader(c.Table, c.Clock)
	}
	if c.NewNonce == nil {
		c.NewNonce = uuid.NewString
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.MaxStartWindow, DefaultMaxStartWindow)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.MaxResultBytes, DefaultMaxResultBytes)
	setDefault(&c.QueryAfter, DefaultQueryAfter)
	setDefault(&c.OrphanAfter, DefaultOrphanAfter)
	setDefault(&c.FollowUpDuration, DefaultFollowUpDuration)
	setDefault(&c.MaxFollowUps, DefaultMaxFollowUps)
	return c
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// Run runs an order at most once and returns its answer. Any error is a
// *failure.Error whose outcome tells whether the order ran.
func (c *Coordinator) Run(ctx context.Context, request Request) (Answer, error) {
	if err := request.validate(); err != nil {
		return Answer{}, err
	}
	newCall := &call{
		Coordinator: c,
		request:     request,
		deadline:    c.clock.Now().Add(request.Timeout),
	}
	if request.Key == "" {
		return newCall.runUnrecorded(ctx)
	}
	return newCall.run(ctx)
}

// validate rejects requests whose key cannot be recorded or that have no time
// left.
func (r Request) validate() error {
	if len(r.Key) > MaxKeyBytes {
		return failure.New(failure.BadRequest, failure.NotRun, "the idempotency key is too long")
	}
	for _, char := range r.Key {
		if char < ' ' {
			return failure.New(failure.BadRequest, failure.NotRun, "the idempotency key holds a control character")
		}
	}
	if r.Timeout <= 0 {
		return failure.New(failure.DeadlineExceeded, failure.Unknown, "no time was left to look the order up")
	}
	return nil
}

// GetRecord returns the record of an order.
func (c *Coordinator) GetRecord(ctx context.Context, organisation, key string) (Record, error) {
	rows, err := c.config.Table.Get(ctx, RowKey(organisation, key))
	if err != nil {
		return Record{}, failure.New(failure.PlatformUnavailable, failure.Unknown, "the order record cannot be read").WithCause(err)
	}
	if len(rows) == 0 {
		return Record{}, failure.New(failure.NotFound, failure.Unknown, "there is no record of this order")
	}
	return Decode(rows[0].Value)
}
