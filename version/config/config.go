// Package config holds what operators set on a platform whose targets register
// themselves: routes and keys as a table.Snapshot, the services behind the
// routes, and what callers may send. A Version is immutable.
package config

import (
	"time"

	"verbenaseam.example/verbenaseam/version/table"
)

// Version is one version of the configuration.
type Version struct {
	// Number grows from version to version, by any step.
	Number uint64
	// Routes holds the routes and the organisations' keys. A route's pools are
	// names of services.
	Routes *table.Snapshot
	// KeysNeeded tells that requests of routes that are not public need a key.
	KeysNeeded bool
	// Services are filed by name.
	Services map[string]*Service
	Limits   Limits
}

// LeastGap is the least of the longest pauses that the routes to a service allow
// their streams; 0 if none says one.
func (v *Version) LeastGap(service string) time.Duration {
	least := time.Duration(0)
	for _, route := range v.Routes.Table().Routes {
		direct := route.Direct
		if direct == nil || direct.Gap <= 0 || least > 0 && direct.Gap >= least {
			continue
		}
		for _, share := range direct.Split {
			if share.Pool == service {
				least = direct.Gap
			}
		}
	}
	return least
}

// Service is a set of equal targets.
type Service struct {
	Name string
	// HealthPath is the path of a target's health check.
	HealthPath string
	// MaxConnections bounds the connections to one target, over all callers.
	MaxConnections int
	// Warmup is how long a target stays cold after its start, and WarmupRate the
	// requests a second that it bears meanwhile; 0 for targets that bear all.
	Warmup     time.Duration
	WarmupRate float64
	// Engine tells how a model's engine runs; nil for a plain service.
	Engine *Engine
}

// Engine tells how the engines of a model service run.
type Engine struct {
	// Capacity is the requests that run at once, and MemoryTokens the tokens that
	// they may hold together.
	Capacity, MemoryTokens int
	// Stride is the token steps of a pass that writes.
	Stride int
	// StepTime is the time of a token step, Sequence what each writing request
	// adds, and ContextPerThousand what a thousand tokens of context add.
	StepTime, Sequence, ContextPerThousand time.Duration
	// ReadRate is the prompt tokens read a second, Chunk the most in one step, and
	// PairsPerMillion the time of a million pairs of tokens.
	ReadRate        float64
	Chunk           int
	PairsPerMillion time.Duration
	// ReportLag is the age of a report that another host reads.
	ReportLag time.Duration
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt, UsualAnswer float64
	// Experts is nil for engines that do not run in lock-step groups.
	Experts *Experts
}

// Experts tells how a group shares its experts out.
type Experts struct {
	// Sets is the number of sets of layers, each with PerSet experts.
	Sets, PerSet int
	// Slots is how many experts of a set a rank can hold, and Spare how many of
	// them may be new to it in one map.
	Slots, Spare int
	// Megabytes is the size of one expert.
	Megabytes float64
	// WorkShare is the part of a token's work that the experts do.
	WorkShare float64
	// FormTime is how long a group takes to form anew.
	FormTime time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}
