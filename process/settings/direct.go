package settings

import "time"

// Bounds are the limits on times and rates that the operators of the platform require
// every process to meet.
type Bounds struct {
	// Contact is how long a process must have run without a disturbance before it
	// counts as reachable.
	Contact time.Duration
	// Apply is the time from the acceptance of a configuration until it is in force.
	Apply time.Duration
	// Skew is the time by which Apply is extended during a disturbance of the store.
	Skew time.Duration
	// Drain is the time after which a leaving target receives no new requests.
	Drain time.Duration
	// Evacuate is the time after which a failure domain that was taken out of service
	// receives no requests.
	Evacuate time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// LossSlack is the time after the last byte of an interrupted request within
	// which the request must have been answered.
	LossSlack time.Duration
	// AddressReuse is the time after which the address of an ended target may belong
	// to another target.
	AddressReuse time.Duration
	// RetryShare and RetrySlack bound the retries to a service within RetryWindow,
	// over all entries: RetryShare per request, plus RetrySlack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmupShare and WarmupSlack bound the requests per second to a cold target,
	// over all entries: its own rate times WarmupShare, plus WarmupSlack.
	WarmupShare float64
	WarmupSlack float64
	// Stall is the maximum time for which work waits for a lost rank.
	Stall time.Duration
	// DirectoryTTL is the maximum time for which callers may cache a response of the
	// directory.
	DirectoryTTL time.Duration
}

// Crossing holds what the operators state about traffic between failure domains. Both are
// optional.
type Crossing struct {
	// Delay is the one-way delay where the configuration of a service states none; without
	// it the delay is observed.
	Delay time.Duration
	// Price is the latency that is worth a megabyte of such traffic.
	Price time.Duration
}

// Direct holds the settings of verbenaseam-direct.
type Direct struct {
	Name, FailureDomain, Region string
	// CallerAddress accepts requests, ReadyAddress readiness checks, DirectoryAddress
	// look-ups of the entries to connect to, and PeerAddress the datagrams of other
	// entries.
	CallerAddress, ReadyAddress, DirectoryAddress, PeerAddress string
	// MetricsAddress serves metrics; empty for none.
	MetricsAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MaxOpenFiles is the maximum number of open files of the process.
	MaxOpenFiles int
	// Memory is the memory of the host for the process, in megabytes; 0 for no bound on what it
	// holds for requests.
	Memory float64
	// Processor is the processor time per second that the process may use, in cores, Cores the
	// number of cores, Link the bandwidth of the host's network link in Mbit/s; 0 or less if not
	// stated. Callers are directed to entries in proportion to them.
	Processor, Cores, Link float64
	Bounds                 Bounds
	Crossing               Crossing
	Log                    Log
	// IgnoredKeys are the keys of the file that this build does not know and that the file
	// allows to be ignored.
	IgnoredKeys []string
}

// Rank holds the settings of verbenaseam-rank.
type Rank struct {
	Name, FailureDomain string
	// TargetAddress is the address of the target on this host, Service the name of the
	// service that the target belongs to.
	TargetAddress, Service string
	// PeerAddress accepts the datagrams of the agents of the other ranks; all agents
	// use the same port.
	PeerAddress string
	// MetricsAddress serves metrics; empty for none.
	MetricsAddress string
	// Bandwidth is that of the host's network link, in Mbit/s.
	Bandwidth    float64
	StoreAddress string
	Bounds       Bounds
	Log          Log
	// IgnoredKeys are the keys of the file that this build does not know and that the file
	// allows to be ignored.
	IgnoredKeys []string
}

// LoadDirect reads and validates the settings of verbenaseam-direct.
func LoadDirect(file string) (Direct, error) {
	r, err := newReader(file)
	if err != nil {
		return Direct{}, err
	}
	s := Direct{Log: defaultJSONLog(), MaxOpenFiles: 1024}
	r.name("entry", "name", &s.Name, required)
	r.name("entry", "failure_domain", &s.FailureDomain, required)
	r.text("entry", "region", &s.Region, optional, "a region")
	r.number("entry", "processor", &s.Processor, unlimited, maxCores)
	r.number("entry", "cores", &s.Cores, unlimited, maxCores)
	r.number("entry", "link", &s.Link, unlimited, maxBandwidth)
	r.address("entry", "caller_address", &s.CallerAddress, required)
	r.address("entry", "ready_address", &s.ReadyAddress, required)
	r.address("entry", "directory_address", &s.DirectoryAddress, required)
	r.address("entry", "peer_address", &s.PeerAddress, required)
	r.address("entry", "metrics_address", &s.MetricsAddress, optional)
	files := float64(s.MaxOpenFiles)
	r.number("entry", "files", &files, 64, 1<<24)
	s.MaxOpenFiles = int(files)
	r.number("entry", "memory", &s.Memory, minMemory, maxMemory)
	r.address("store", "address", &s.StoreAddress, required)
	readBounds(r, &s.Bounds)
	r.duration("crossing", "delay", &s.Crossing.Delay, 0, maxDuration)
	r.duration("crossing", "price", &s.Crossing.Price, 0, maxDuration)
	readLog(r, &s.Log)
	err = r.finish()
	s.IgnoredKeys = r.ignored
	return s, err
}

// LoadRank reads and validates the settings of verbenaseam-rank.
func LoadRank(file string) (Rank, error) {
	r, err := newReader(file)
	if err != nil {
		return Rank{}, err
	}
	s := Rank{Log: defaultJSONLog(), Bandwidth: defaultBandwidth}
	r.name("rank", "name", &s.Name, required)
	r.name("rank", "failure_domain", &s.FailureDomain, required)
	r.address("rank", "target_address", &s.TargetAddress, required)
	r.text("rank", "service", &s.Service, required, "the name of a service")
	r.address("rank", "peer_address", &s.PeerAddress, required)
	r.address("rank", "metrics_address", &s.MetricsAddress, optional)
	r.number("rank", "bandwidth", &s.Bandwidth, minBandwidth, maxBandwidth)
	r.address("store", "address", &s.StoreAddress, required)
	readBounds(r, &s.Bounds)
	readLog(r, &s.Log)
	err = r.finish()
	s.IgnoredKeys = r.ignored
	return s, err
}

// Memory of a host, in megabytes.
const (
	minMemory = 16
	maxMemory = 1 << 24
)

// maxCores is the largest plausible number of cores. Platforms state unlimited resources as
// unlimited.
const (
	unlimited = -1
	maxCores  = 1 << 20
)

// Bandwidths of network links, in Mbit/s.
const (
	defaultBandwidth = 100
	minBandwidth     = 0.1
	maxBandwidth     = 1e6
)

func defaultJSONLog() Log { return Log{Format: "json", Level: "info"} }

func readBounds(r *reader, dest *Bounds) {
	duration := func(key string, dest *time.Duration) {
		r.duration("bounds", key, dest, 0, maxDuration)
	}
	duration("contact", &dest.Contact)
	duration("apply", &dest.Apply)
	duration("skew", &dest.Skew)
	duration("drain", &dest.Drain)
	duration("evacuate", &dest.Evacuate)
	duration("grace", &dest.Grace)
	duration("loss_slack", &dest.LossSlack)
	duration("address_reuse", &dest.AddressReuse)
	duration("retry_window", &dest.RetryWindow)
	duration("stall", &dest.Stall)
	duration("directory_ttl", &dest.DirectoryTTL)
	r.number("bounds", "retry_share", &dest.RetryShare, 0, 100)
	r.number("bounds", "retry_slack", &dest.RetrySlack, 0, 1<<30)
	r.number("bounds", "warmup_share", &dest.WarmupShare, 0, 1000)
	r.number("bounds", "warmup_slack", &dest.WarmupSlack, 0, 1<<30)
}
