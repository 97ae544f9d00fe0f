package engine

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Default values of Config.
const (
	DefaultStepBase        = 10 * time.Millisecond
	DefaultStepPerRequest  = 200 * time.Microsecond
	DefaultPrefillPerBlock = time.Millisecond
	DefaultColdFactor      = 4
	DefaultMaxBatchSize    = 32
	DefaultMaxColdInFlight = 2
	DefaultWarmupRequests  = 8
	DefaultColdGracePeriod = 2 * time.Second
	DefaultMaxWaiting      = 256
	DefaultCacheBlocks     = 4096
	DefaultResumeWindow    = 10 * time.Second
	// DefaultTokens is the answer's length in tokens when the request sets no
	// maximum.
	DefaultTokens = 16
)

// Config holds the settings of an Engine; zero values select the defaults.
type Config struct {
	// Name prefixes the incarnations; it must be unique among engines.
	Name string
	// Clock is the source of all times and timers; nil means the real clock.
	Clock clockwork.Clock
	// Model, Adapter, Version and Role are in effect at every start. An empty
	// Model serves requests for any model.
	Model, Adapter, Version, Role string

	// Instant makes the engine answer at once, without steps, for throughput
	// measurements.
	Instant bool
	// A step takes StepBase plus StepPerRequest for each running request, plus
	// PrefillPerBlock once for each prompt block that is not cached.
	StepBase, StepPerRequest, PrefillPerBlock time.Duration
	// ColdFactor multiplies the step time of a cold engine.
	ColdFactor int

	// MaxBatchSize is the maximum number of requests in a batch step.
	MaxBatchSize int
	// MaxColdInFlight is the number of requests, running and waiting, that a cold
	// engine can take; one more crashes it.
	MaxColdInFlight int
	// WarmupRequests is the number of completed requests after which a cold
	// engine is warm.
	WarmupRequests int
	// ColdGracePeriod is how long MaxColdInFlight is not enforced after
	// SetCold.
	ColdGracePeriod time.Duration
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// RestartDelay is how long a crashed engine is unavailable.
	RestartDelay time.Duration
	// PoisonMarker crashes the engine when a prompt contains it; empty disables
	// this.
	PoisonMarker string

	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// LoadLag is the age of the load fields of the status.
	LoadLag time.Duration
	// EventLag is the delay until cache events are published.
	EventLag time.Duration
	// EventLossInterval, if above 0, is the n for which every n-th cache event is
	// never published.
	EventLossInterval int64
	// ResumeWindow is how long a disconnected stream can be resumed; its
	// generation is paused meanwhile.
	ResumeWindow time.Duration

	// IgnoreFencing makes the engine carry out orders with a stale epoch too.
	IgnoreFencing bool
	// LoadTime is how long an order that loads a model, version or adapter
	// takes.
	LoadTime time.Duration
	// Group and Rank place the engine in a lock-step group. With a nil Group the
	// engine is a group of one, which advances with every batch step.
	Group *Group
	Rank  int
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Name == "" {
		c.Name = "engine"
	}
	setDefault(&c.StepBase, DefaultStepBase)
	setDefault(&c.StepPerRequest, DefaultStepPerRequest)
	setDefault(&c.PrefillPerBlock, DefaultPrefillPerBlock)
	setDefault(&c.ColdFactor, DefaultColdFactor)
	setDefault(&c.MaxBatchSize, DefaultMaxBatchSize)
	setDefault(&c.MaxColdInFlight, DefaultMaxColdInFlight)
	setDefault(&c.WarmupRequests, DefaultWarmupRequests)
	setDefault(&c.ColdGracePeriod, DefaultColdGracePeriod)
	setDefault(&c.MaxWaiting, DefaultMaxWaiting)
	setDefault(&c.CacheBlocks, DefaultCacheBlocks)
	setDefault(&c.ResumeWindow, DefaultResumeWindow)
	return c
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
