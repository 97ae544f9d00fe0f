// Package config holds the operators' configuration of a platform whose targets
// register themselves: routes and keys as a table.Snapshot, the services that the
// routes lead to, and the limits of requests. A Version is immutable.
package config

import (
	"time"

	"verbenaseam.example/verbenaseam/version/table"
)

// Version is one version of the configuration.
type Version struct {
	// Number increases from version to version, by any step.
	Number uint64
	// Routes holds the routes and the organisations' keys. The pools of a route
	// are names of services.
	Routes *table.Snapshot
	// RequireKeys means that requests of routes that are not public need a key.
	RequireKeys bool
	// Services holds the services by name.
	Services map[string]*Service
	Limits   Limits
}

// MinStreamGap returns the smallest bound on the time between two events of a
// stream (table.Direct.Gap) among the routes to a service, or 0 if no route sets
// one.
func (v *Version) MinStreamGap(service string) time.Duration {
	smallest := time.Duration(0)
	for _, route := range v.Routes.Table().Routes {
		direct := route.Direct
		if direct == nil || direct.Gap <= 0 || smallest > 0 && direct.Gap >= smallest {
			continue
		}
		for _, share := range direct.Split {
			if share.Pool == service {
				smallest = direct.Gap
			}
		}
	}
	return smallest
}

// SetMixedUrgency sets Service.MixedUrgency of all services from the urgencies of the routes
// that lead to them and of the organisations, which override those of routes.
func (v *Version) SetMixedUrgency() {
	urgencies := map[string]map[int]bool{}
	for _, route := range v.Routes.Table().Routes {
		if route.Direct == nil {
			continue
		}
		for _, share := range route.Direct.Split {
			if urgencies[share.Pool] == nil {
				urgencies[share.Pool] = map[int]bool{}
			}
			urgencies[share.Pool][route.Direct.Urgency] = true
		}
	}
	for _, organisation := range v.Routes.Table().Organisations {
		if organisation.Urgency == nil {
			continue
		}
		for _, known := range urgencies {
			known[*organisation.Urgency] = true
		}
	}
	for name, service := range v.Services {
		service.MixedUrgency = len(urgencies[name]) > 1
	}
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// HealthPath is the URL path of a target's health check.
	HealthPath string
	// MaxConnections bounds the connections to one target from all callers
	// together.
	MaxConnections int
	// Warmup is how long a target stays cold after its start. WarmupRate is the
	// number of requests per second that a cold target can take; 0 means no limit.
	Warmup     time.Duration
	WarmupRate float64
	// MixedUrgency is set if the requests of the service differ in urgency.
	MixedUrgency bool
	// Delays are the one-way delays between failure domains; nil if none are stated.
	Delays Delays
	// Engine describes the inference engines of a model service; nil for other
	// services.
	Engine *Engine
}

// Delays holds one-way delays by the failure domains of sender and receiver. The key
// AnyDomain stands for all that are not named.
type Delays map[string]map[string]time.Duration

// AnyDomain is the key of Delays for failure domains that are not named.
const AnyDomain = "*"

// Set sets the one-way delay from one failure domain to another.
func (d Delays) Set(from, to string, delay time.Duration) {
	if d[from] == nil {
		d[from] = map[string]time.Duration{}
	}
	d[from][to] = delay
}

// Between returns the one-way delay between two different failure domains; false if it is
// not stated.
func (d Delays) Between(from, to string) (time.Duration, bool) {
	for _, sender := range []string{from, AnyDomain} {
		for _, receiver := range []string{to, AnyDomain} {
			if delay, ok := d[sender][receiver]; ok {
				return delay, true
			}
		}
	}
	return 0, false
}

// Engine describes the performance and capacity of each inference engine of a model
// service.
type Engine struct {
	// MaxConcurrentRequests is the maximum number of requests that an engine runs
	// concurrently. KVCapacityTokens is the number of tokens that its KV cache holds
	// for all of them together.
	MaxConcurrentRequests, KVCapacityTokens int
	// TokensPerPass is the number of token steps in one decode pass.
	TokensPerPass int
	// StepTime is the base duration of a token step. TimePerSequence is added for
	// each request that is decoding, and TimePerThousandContextTokens for each
	// thousand tokens of context.
	StepTime, TimePerSequence, TimePerThousandContextTokens time.Duration
	// PrefillRate is the prefill rate in prompt tokens per second. PrefillChunkTokens
	// is the maximum number of prompt tokens in one step. TimePerMillionPairs is the
	// time per million pairs of tokens.
	PrefillRate         float64
	PrefillChunkTokens  int
	TimePerMillionPairs time.Duration
	// ReportLag is the age of an engine's load report when another host reads it.
	ReportLag time.Duration
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens of a prompt
	// and of an answer.
	MeanPromptTokens, MeanAnswerTokens float64
	// Experts is nil for engines that do not run in lock-step groups.
	Experts *Experts
}

// Experts describes how a group distributes its experts among its ranks.
type Experts struct {
	// Sets is the number of sets of layers. PerSet is the number of experts in each
	// set.
	Sets, PerSet int
	// SlotsPerRank is the number of experts of a set that fit on a rank. MaxNewPerMap
	// is how many of them one map may add to the rank.
	SlotsPerRank, MaxNewPerMap int
	// Megabytes is the size of one expert, CopyTime the time in which a rank copies it.
	Megabytes float64
	CopyTime  time.Duration
	// ExpertWorkShare is the fraction of a token's work that is done by the experts.
	ExpertWorkShare float64
	// FormTime is the time that a group takes to form again.
	FormTime time.Duration
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout                time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}
