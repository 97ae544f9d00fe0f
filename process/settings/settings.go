package settings

import (
	"time"
)

// Platform holds the address of the platform.
type Platform struct {
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string
}

// TLS names the files for mutual TLS between processes. If all are empty, processes
// use plain TCP, which is allowed only on loopback or with Plain.
type TLS struct {
	Certificate, Key, CA string
	// Plain allows plain TCP on other than loopback addresses. Default false.
	Plain bool
}

// Enabled reports whether mutual TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Log configures logging.
type Log struct {
	// Format is "text" or "json". Default text.
	Format string
	// Level is "debug", "info", "warning" or "error". Default info.
	Level string
}

// Limits bound the resources that callers can make a process use.
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

// Shutdown configures the shutdown of a process.
type Shutdown struct {
	// Timeout is the time after which requests in flight are aborted. Default 60 s.
	Timeout time.Duration
	// EntriesTTL is how long callers cache a response of /v1/entries. A leaving entry
	// continues to serve for this time. Default 5 s.
	EntriesTTL time.Duration
}

// Entry holds the settings of verbenaseam-entry.
type Entry struct {
	Name, FailureDomain string
	// CallerAddress, OperatorAddress and LinkAddress are the addresses on which the
	// entry accepts callers, operators and links.
	CallerAddress, OperatorAddress, LinkAddress string
	// OperatorKeyHashes are the SHA-256 hashes of the operators' keys.
	OperatorKeyHashes []string
	// Peers are the link addresses of other entries to contact at startup.
	Peers    []string
	Platform Platform
	TLS      TLS
	Log      Log
	Limits   Limits
	Shutdown Shutdown
	// IgnoredKeys are the keys of the file that this build does not know and that the file
	// allows to be ignored.
	IgnoredKeys []string
}

// Agent holds the settings of verbenaseam-agent.
type Agent struct {
	// Name is the name of the target in the configuration tables.
	Name, FailureDomain string
	// LinkAddress accepts links from entries; StatusAddress serves metrics and health.
	LinkAddress, StatusAddress string
	// EngineURL is the base URL of the model engine or other service on this host.
	EngineURL string
	// EngineKind is "model" or "service".
	EngineKind string
	// ProbeInterval is the interval between probes of the engine. Default 250 ms.
	ProbeInterval time.Duration
	Platform      Platform
	TLS           TLS
	Log           Log
	Shutdown      Shutdown
	// IgnoredKeys are the keys of the file that this build does not know and that the file
	// allows to be ignored.
	IgnoredKeys []string
}

const (
	minDuration = time.Millisecond
	maxDuration = time.Hour
)

// LoadEntry reads and validates the settings of verbenaseam-entry.
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
	err = r.finish()
	s.IgnoredKeys = r.ignored
	return s, err
}

// LoadAgent reads and validates the settings of verbenaseam-agent.
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
	r.duration("engine", "probe_interval", &s.ProbeInterval, minDuration, maxDuration)
	readPlatform(r, &s.Platform)
	readTLS(r, &s.TLS)
	readLog(r, &s.Log)
	readShutdown(r, &s.Shutdown)
	err = r.finish()
	s.IgnoredKeys = r.ignored
	return s, err
}

// DefaultProbeInterval is the default of Agent.ProbeInterval.
const DefaultProbeInterval = 250 * time.Millisecond

func defaultLog() Log { return Log{Format: "text", Level: "info"} }

// DefaultLimits returns the default limits of an entry.
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

// DefaultShutdown returns the default shutdown settings.
func DefaultShutdown() Shutdown {
	return Shutdown{Timeout: 60 * time.Second, EntriesTTL: 5 * time.Second}
}

func readPlatform(r *reader, dest *Platform) {
	r.address("platform", "store_address", &dest.StoreAddress, required)
}

func readTLS(r *reader, dest *TLS) {
	const expected = "a file name; certificate, key and ca must be set together"
	r.text("tls", "certificate", &dest.Certificate, optional, expected)
	r.text("tls", "key", &dest.Key, optional, expected)
	r.text("tls", "ca", &dest.CA, optional, expected)
	r.boolean("tls", "plain", &dest.Plain)
	set := 0
	for _, value := range []string{dest.Certificate, dest.Key, dest.CA} {
		if value != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		r.addError("tls", "", "", "certificate, key and ca to be set together")
	}
}

func readLog(r *reader, dest *Log) {
	r.choice("log", "format", &dest.Format, "text", "json")
	r.choice("log", "level", &dest.Level, "debug", "info", "warning", "error")
}

func readLimits(r *reader, dest *Limits) {
	r.size("limits", "body", &dest.BodyBytes, KiB, 256*MiB)
	r.size("limits", "header", &dest.HeaderBytes, KiB, MiB)
	r.duration("limits", "header_timeout", &dest.HeaderTimeout, minDuration, maxDuration)
	r.duration("limits", "body_timeout", &dest.BodyTimeout, minDuration, maxDuration)
	r.duration("limits", "idle_timeout", &dest.IdleTimeout, minDuration, maxDuration)
	r.integer("limits", "connections", &dest.Connections, 1, 1000000)
	r.integer("limits", "queue", &dest.Queue, 0, 1000000)
}

func readShutdown(r *reader, dest *Shutdown) {
	r.duration("shutdown", "limit", &dest.Timeout, minDuration, maxDuration)
	r.duration("shutdown", "entries_ttl", &dest.EntriesTTL, minDuration, maxDuration)
}
