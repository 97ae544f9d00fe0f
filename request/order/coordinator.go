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
	// DefaultRetention is the life of a record.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxWindow bounds the time in which a dispatch may start.
	DefaultMaxWindow = 10 * time.Minute
	// DefaultMaxAttempts bounds the attempts that one call makes.
	DefaultMaxAttempts = 3
	// DefaultMaxResultBytes bounds the answer body that a record keeps.
	DefaultMaxResultBytes = 64 << 10
	// DefaultQueryAfter is how long another entry's attempt is left alone.
	DefaultQueryAfter = time.Second
	// DefaultOrphanAfter is how long an attempt that its agent has not seen is
	// left before it gets a tombstone.
	DefaultOrphanAfter = 2 * time.Second
	// DefaultFollowUp is how long an entry goes on asking for the end of an
	// order whose caller has been answered.
	DefaultFollowUp = time.Minute
	// DefaultMaxFollowUps bounds the orders followed up at once.
	DefaultMaxFollowUps = 1024
)

const (
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// windowsPerRetention is the least number of windows in a retention.
	windowsPerRetention = 10
	// callTimeout bounds one query or tombstone.
	callTimeout = 250 * time.Millisecond
	// pollFirst and pollLast bound the pause between two looks at an order.
	pollFirst = 25 * time.Millisecond
	pollLast  = 500 * time.Millisecond
	// retryTime is the least time worth another attempt.
	retryTime = 20 * time.Millisecond
	// resolveShare is the share of a call's time kept back to find out about an
	// order whose dispatch did not return.
	resolveShare = 5
	// resolveMost bounds that time.
	resolveMost = 500 * time.Millisecond
)

// Config sets up a Coordinator; zero values mean the defaults.
type Config struct {
	Table  platform.Table
	Writer Writer
	// Reader reads the records of waiting calls; nil means a BatchReader.
	Reader     Reader
	Dispatcher Dispatcher
	Clock      clockwork.Clock
	// Retention is the life of a record, MaxWindow the longest time in which a
	// dispatch may start; a retention is at least ten windows.
	Retention, MaxWindow    time.Duration
	MaxAttempts             int
	MaxResultBytes          int
	QueryAfter, OrphanAfter time.Duration
	FollowUp                time.Duration
	MaxFollowUps            int
	// NewNonce returns a unique string; nil means random UUIDs.
	NewNonce func() string
	// Random returns a number in [0,1) for jitter; nil means math/rand.
	Random func() float64
}

// Request is one order of a caller.
type Request struct {
	Organisation string
	// Key is the caller's idempotency key; without one the order is made at
	// most once and leaves no record.
	Key string
	// Fingerprint identifies method, path and body.
	Fingerprint [32]byte
	// Payload goes to the Dispatcher untouched.
	Payload any
	// Timeout is the caller's remaining time.
	Timeout time.Duration
}

// Answer is the answer to an order that ran.
type Answer struct {
	Result Result
	// Repeated tells that the order had run before this call.
	Repeated bool
}

// Coordinator is an entry's side of once-only orders. It is safe for concurrent
// use.
type Coordinator struct {
	config    Config
	clock     timer
	followUps chan struct{}
	// spawn runs a function beside the caller.
	spawn func(func())
}

// timer is what the coordinator uses of a clock.
type timer interface {
	Now() time.Time
	// Sleep returns early with an error when ctx ends.
	Sleep(ctx context.Context, wait time.Duration) error
}

// clockTimer is a timer on a clock.
type clockTimer struct{ clock clockwork.Clock }

func (t clockTimer) Now() time.Time { return t.clock.Now() }

func (t clockTimer) Sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-t.clock.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewCoordinator returns a coordinator, or ErrWindow.
func NewCoordinator(config Config) (*Coordinator, error) {
	config = config.withDefaults()
	if config.Retention < windowsPerRetention*config.MaxWindow {
		return nil, ErrWindow
	}
	return &Coordinator{
		config:    config,
		clock:     clockTimer{clock: config.Clock},
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
	setDefault(&c.MaxWindow, DefaultMaxWindow)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.MaxResultBytes, DefaultMaxResultBytes)
	setDefault(&c.QueryAfter, DefaultQueryAfter)
	setDefault(&c.OrphanAfter, DefaultOrphanAfter)
	setDefault(&c.FollowUp, DefaultFollowUp)
	setDefault(&c.MaxFollowUps, DefaultMaxFollowUps)
	return c
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// Run makes an order at most once and returns its answer. Any error is a
// *failure.Error whose outcome says whether the order ran.
func (c *Coordinator) Run(ctx context.Context, request Request) (Answer, error) {
	if err := request.check(); err != nil {
		return Answer{}, err
	}
	k := &call{
		Coordinator: c,
		request:     request,
		deadline:    c.clock.Now().Add(request.Timeout),
	}
	if request.Key == "" {
		return k.runUnrecorded(ctx)
	}
	return k.run(ctx)
}

// check refuses what cannot be recorded.
func (r Request) check() error {
	if len(r.Key) > MaxKeyBytes {
		return failure.New(failure.BadRequest, failure.NotRun, "the idempotency key is too long")
	}
	for _, letter := range r.Key {
		if letter < ' ' {
			return failure.New(failure.BadRequest, failure.NotRun, "the idempotency key holds a control character")
		}
	}
	if r.Timeout <= 0 {
		return failure.New(failure.DeadlineExceeded, failure.Unknown, "no time was left to look the order up")
	}
	return nil
}

// Show returns the record of an order.
func (c *Coordinator) Show(ctx context.Context, organisation, key string) (Record, error) {
	rows, err := c.config.Table.Get(ctx, RowKey(organisation, key))
	if err != nil {
		return Record{}, failure.New(failure.PlatformDown, failure.Unknown, "the order record cannot be read").WithCause(err)
	}
	if len(rows) == 0 {
		return Record{}, failure.New(failure.NotFound, failure.Unknown, "there is no record of this order")
	}
	return Decode(rows[0].Value)
}
