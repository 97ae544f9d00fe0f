package settings

import "time"

// Bounds are the times and shares that the platform's operators hold every
// process to.
type Bounds struct {
	// Contact is how long a process must have been undisturbed before it counts
	// as reachable.
	Contact time.Duration
	// Apply is the time from an accepted configuration to its being in force.
	Apply time.Duration
	// Skew stretches Apply while the store is disturbed.
	Skew time.Duration
	// Drain is the time after which a leaving target gets nothing new.
	Drain time.Duration
	// Evacuate is the time after which a failure domain taken out gets nothing.
	Evacuate time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// LossSlack is how soon after its last byte a request that was cut must have
	// been answered.
	LossSlack time.Duration
	// AddressReuse is when the address of an ended target may be another's.
	AddressReuse time.Duration
	// RetryShare and RetrySlack bound the repeats to a service within RetryWindow:
	// RetryShare for each request and RetrySlack besides, over all entries.
	RetryShare  float64
	RetrySlack  int
	RetryWindow time.Duration
	// WarmupShare and WarmupSlack bound the requests a second to a cold target:
	// its own rate times WarmupShare, and WarmupSlack besides, over all entries.
	WarmupShare float64
	WarmupSlack int
	// Stall is how long work waits for a rank that is gone.
	Stall time.Duration
	// DirectoryTTL is the longest time for which callers may keep an answer of
	// the directory.
	DirectoryTTL time.Duration
}

// Direct holds the settings of verbenaseam-direct.
type Direct struct {
	Name, FailureDomain, Region string
	// CallerAddress takes requests, ReadyAddress the checks of readiness,
	// DirectoryAddress callers that ask where to connect, and PeerAddress the
	// datagrams of other entries.
	CallerAddress, ReadyAddress, DirectoryAddress, PeerAddress string
	// MetricsAddress serves metrics; empty for none.
	MetricsAddress string
	// StoreAddress is the platform's store.
	StoreAddress string
	// Files bounds the process's open files.
	Files  int
	Bounds Bounds
	Log    Log
}

// Rank holds the settings of verbenaseam-rank.
type Rank struct {
	Name, FailureDomain string
	// TargetAddress is the target on this host, Service the service it belongs to.
	TargetAddress, Service string
	// PeerAddress takes the datagrams of the other ranks' agents, which all use
	// the same port.
	PeerAddress string
	// MetricsAddress serves metrics; empty for none.
	MetricsAddress string
	StoreAddress   string
	Bounds         Bounds
	Log            Log
}

// LoadDirect reads and checks the settings of a direct entry.
func LoadDirect(file string) (Direct, error) {
	r, err := newReader(file)
	if err != nil {
		return Direct{}, err
	}
	s := Direct{Log: jsonLog(), Files: 1024}
	r.name("entry", "name", &s.Name, required)
	r.name("entry", "failure_domain", &s.FailureDomain, required)
	r.text("entry", "region", &s.Region, optional, "a region")
	r.address("entry", "caller_address", &s.CallerAddress, required)
	r.address("entry", "ready_address", &s.ReadyAddress, required)
	r.address("entry", "directory_address", &s.DirectoryAddress, required)
	r.address("entry", "peer_address", &s.PeerAddress, required)
	r.address("entry", "metrics_address", &s.MetricsAddress, optional)
	r.integer("entry", "files", &s.Files, 64, 1<<24)
	r.address("store", "address", &s.StoreAddress, required)
	readBounds(r, &s.Bounds)
	readLog(r, &s.Log)
	return s, r.finish()
}

// LoadRank reads and checks the settings of a rank's agent.
func LoadRank(file string) (Rank, error) {
	r, err := newReader(file)
	if err != nil {
		return Rank{}, err
	}
	s := Rank{Log: jsonLog()}
	r.name("rank", "name", &s.Name, required)
	r.name("rank", "failure_domain", &s.FailureDomain, required)
	r.address("rank", "target_address", &s.TargetAddress, required)
	r.text("rank", "service", &s.Service, required, "the name of a service")
	r.address("rank", "peer_address", &s.PeerAddress, required)
	r.address("rank", "metrics_address", &s.MetricsAddress, optional)
	r.address("store", "address", &s.StoreAddress, required)
	readBounds(r, &s.Bounds)
	readLog(r, &s.Log)
	return s, r.finish()
}

func jsonLog() Log { return Log{Format: "json", Level: "info"} }

func readBounds(r *reader, into *Bounds) {
	duration := func(key string, into *time.Duration) {
		r.duration("bounds", key, into, 0, longest)
	}
	duration("contact", &into.Contact)
	duration("apply", &into.Apply)
	duration("skew", &into.Skew)
	duration("drain", &into.Drain)
	duration("evacuate", &into.Evacuate)
	duration("grace", &into.Grace)
	duration("loss_slack", &into.LossSlack)
	duration("address_reuse", &into.AddressReuse)
	duration("retry_window", &into.RetryWindow)
	duration("stall", &into.Stall)
	duration("directory_ttl", &into.DirectoryTTL)
	r.number("bounds", "retry_share", &into.RetryShare, 0, 100)
	r.integer("bounds", "retry_slack", &into.RetrySlack, 0, 1<<30)
	r.number("bounds", "warmup_share", &into.WarmupShare, 0, 1000)
	r.integer("bounds", "warmup_slack", &into.WarmupSlack, 0, 1<<30)
}
