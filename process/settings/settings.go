package settings

import (
	"time"
)

// Platform says where the platform is.
type Platform struct {
	// StoreAddress is the IP:port of its store.
	StoreAddress string
}

// TLS names the files for mutual TLS between processes; all empty means plain
// TCP, which only loopback or Plain allows.
type TLS struct {
	Certificate, Key, CA string
	// Plain allows plain TCP beyond loopback. Default false.
	Plain bool
}

// Enabled tells whether mutual TLS is set.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Log says how logs are written.
type Log struct {
	// Format is "text" or "json". Default text.
	Format string
	// Level is "debug", "info", "warning" or "error". Default info.
	Level string
}

// Limits bound what callers can make a process hold.
type Limits struct {
	// BodyBytes bounds a request body. Default 4 MiB.
	BodyBytes int64
	// HeaderBytes bounds the request headers. Default 32 KiB.
	HeaderBytes int64
	// HeaderTimeout bounds reading the headers. Default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds reading the body. Default 10 s.
	BodyTimeout time.Duration
	// IdleTimeout closes idle caller connections. Default 75 s.
	IdleTimeout time.Duration
	// Connections bounds open caller connections. Default 20000.
	Connections int
	// Queue bounds requests waiting for capacity. Default 2048.
	Queue int
}

// Shutdown says how a process leaves.
type Shutdown struct {
	// Limit cuts what is still in flight. Default 60 s.
	Limit time.Duration
	// EntriesTTL is how long callers keep an answer of /v1/entries; a leaving
	// entry serves on for as long. Default 5 s.
	EntriesTTL time.Duration
}

// Entry holds the settings of verbenaseam-entry.
type Entry struct {
	Name, FailureDomain string
	// CallerAddress, OperatorAddress and LinkAddress are where it listens.
	CallerAddress, OperatorAddress, LinkAddress string
	// OperatorKeyHashes are the SHA-256 hashes of operators' keys.
	OperatorKeyHashes []string
	// Peers are link addresses of other entries known from the start.
	Peers    []string
	Platform Platform
	TLS      TLS
	Log      Log
	Limits   Limits
	Shutdown Shutdown
}

// Agent holds the settings of verbenaseam-agent.
type Agent struct {
	// Name is the target's name in the tables.
	Name, FailureDomain string
	// LinkAddress takes links of entries; StatusAddress serves metrics and health.
	LinkAddress, StatusAddress string
	// EngineURL is the base URL of the engine or plain service on this host.
	EngineURL string
	// EngineKind is "model" or "service".
	EngineKind string
	// ProbeInterval is the time between two probes of the engine. Default 250 ms.
	ProbeInterval time.Duration
	Platform      Platform
	TLS           TLS
	Log           Log
	Shutdown      Shutdown
}

const (
	shortest = time.Millisecond
	longest  = time.Hour
)

// LoadEntry reads and checks the settings of an entry.
func LoadEntry(file string) (Entry, error) {
	r, err := newReader(file)
	if err != nil {
		return Entry{}, err
	}
	s := Entry{Log: defaultLog(), Limits: DefaultLimits(), Shutdown: DefaultShutdown()}
	r.name("entry", "name", &s.Name, required)
	r.name("entry", "failure_domain", &s.FailureDomain, required)
	r.address("entry", "caller_address", &s.CallerAddress, required)
	r.address("entry", "operator_address", &s.OperatorAddress, required)
	r.address("entry", "link_address", &s.LinkAddress, required)
	r.addresses("entry", "peers", &s.Peers)
	r.hashes("operator", "key_sha256", &s.OperatorKeyHashes, required)
	readPlatform(r, &s.Platform)
	readTLS(r, &s.TLS)
	readLog(r, &s.Log)
	readLimits(r, &s.Limits)
	readShutdown(r, &s.Shutdown)
	return s, r.finish()
}

// LoadAgent reads and checks the settings of an agent.
func LoadAgent(file string) (Agent, error) {
	r, err := newReader(file)
	if err != nil {
		return Agent{}, err
	}
	s := Agent{Log: defaultLog(), Shutdown: DefaultShutdown()}
	s.EngineKind = "model"
	s.ProbeInterval = DefaultProbeInterval
	r.name("agent", "name", &s.Name, required)
	r.name("agent", "failure_domain", &s.FailureDomain, required)
	r.address("agent", "link_address", &s.LinkAddress, required)
	r.address("agent", "status_address", &s.StatusAddress, required)
	r.url("engine", "url", &s.EngineURL, required)
	r.choice("engine", "kind", &s.EngineKind, "model", "service")
	r.duration("engine", "probe_interval", &s.ProbeInterval, shortest, longest)
	readPlatform(r, &s.Platform)
	readTLS(r, &s.TLS)
	readLog(r, &s.Log)
	readShutdown(r, &s.Shutdown)
	return s, r.finish()
}

// DefaultProbeInterval is the time between two probes of an engine.
const DefaultProbeInterval = 250 * time.Millisecond

func defaultLog() Log { return Log{Format: "text", Level: "info"} }

// DefaultLimits returns the limits of an entry whose settings name none.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:     4 * MiB,
		HeaderBytes:   32 * KiB,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   10 * time.Second,
		IdleTimeout:   75 * time.Second,
		Connections:   20000,
		Queue:         2048,
	}
}

// DefaultShutdown returns how a process leaves when its settings don't say.
func DefaultShutdown() Shutdown {
	return Shutdown{Limit: 60 * time.Second, EntriesTTL: 5 * time.Second}
}

func readPlatform(r *reader, into *Platform) {
	r.address("platform", "store_address", &into.StoreAddress, required)
}

func readTLS(r *reader, into *TLS) {
	const expected = "a file name; certificate, key and ca go together"
	r.text("tls", "certificate", &into.Certificate, optional, expected)
	r.text("tls", "key", &into.Key, optional, expected)
	r.text("tls", "ca", &into.CA, optional, expected)
	r.flag("tls", "plain", &into.Plain)
	given := 0
	for _, value := range []string{into.Certificate, into.Key, into.CA} {
		if value != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		r.fault("tls", "", "", "certificate, key and ca together")
	}
}

func readLog(r *reader, into *Log) {
	r.choice("log", "format", &into.Format, "text", "json")
	r.choice("log", "level", &into.Level, "debug", "info", "warning", "error")
}

func readLimits(r *reader, into *Limits) {
	r.size("limits", "body", &into.BodyBytes, KiB, 256*MiB)
	r.size("limits", "header", &into.HeaderBytes, KiB, MiB)
	r.duration("limits", "header_timeout", &into.HeaderTimeout, shortest, longest)
	r.duration("limits", "body_timeout", &into.BodyTimeout, shortest, longest)
	r.duration("limits", "idle_timeout", &into.IdleTimeout, shortest, longest)
	r.integer("limits", "connections", &into.Connections, 1, 1000000)
	r.integer("limits", "queue", &into.Queue, 0, 1000000)
}

func readShutdown(r *reader, into *Shutdown) {
	r.duration("shutdown", "limit", &into.Limit, shortest, longest)
	r.duration("shutdown", "entries_ttl", &into.EntriesTTL, shortest, longest)
}
