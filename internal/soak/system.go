package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/internal/freeport"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	failureDomain = "z1"
	// streamEvents and streamPause are the number of events of a stream and the time
	// between them.
	streamEvents = 20
	streamPause  = 20 * time.Millisecond
	// stepTime is the time of a step of the lock-step group.
	stepTime = 20 * time.Millisecond
	// shiftInterval is the time after which other experts are in demand.
	shiftInterval = 2 * time.Second
	ranks         = 3
)

// Bounds is the section of all settings with the platform's bounds.
const Bounds = `
[bounds]
contact = 1500ms
apply = 2s
drain = 2s
grace = 6s
directory_ttl = 5s
retry_window = 10s
retry_share = 0.2
retry_slack = 92
warmup_share = 1.5
warmup_slack = 5
`

// system is the processes and stand-ins of a run.
type system struct {
	records             *records
	directory, binaries string
	store               *standin.Store
	storeAddress        string
	group               *standin.Group
	rankTargets         []*standin.Target
	plain               []*plainTarget
	entries, agents     []*process
	// storeLinks are the links of the processes to the store, entries first.
	storeLinks []*proxy
	// directories are the addresses of the entries' directories, callerAddresses those for
	// callers.
	directories, callerAddresses []string
	closers                      []func()

	// mu guards configuration, the version of the newest configuration.
	mu            sync.Mutex
	configuration int
}

// startSystem starts the stand-ins and processes. Close ends them, also after an error.
func startSystem(directory, binaries string, entries, targets int, r *records) (*system, error) {
	s := &system{records: r, directory: directory, binaries: binaries, store: standin.NewStore()}
	address, err := s.serve("127.0.0.1:0", s.store)
	if err != nil {
		return s, err
	}
	s.storeAddress = address
	s.newConfiguration()
	for n := range targets {
		if err := s.addPlainTarget(n); err != nil {
			return s, err
		}
	}
	for n := range entries {
		if err := s.addEntry(n); err != nil {
			return s, err
		}
	}
	return s, s.addGroup()
}

func (s *system) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// newConfiguration gives out the next version of the configuration.
func (s *system) newConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration++
	s.putConfiguration()
}

// putConfiguration writes the newest configuration. The caller holds mu.
func (s *system) putConfiguration() {
	s.store.Put(platform.TableOperator, platform.KeyConfiguration, standin.Configuration(s.configuration, "/look/"))
}

func (s *system) addPlainTarget(n int) error {
	address, err := freeport.Address("127.0.0.1")
	if err != nil {
		return err
	}
	link, err := s.newLink(address)
	if err != nil {
		return err
	}
	target := &plainTarget{number: n, store: s.store, link: link, address: address}
	target.onCrash = func() { go s.replace(target, crashRestart) }
	if err := target.start(); err != nil {
		return err
	}
	s.plain = append(s.plain, target)
	s.closers = append(s.closers, target.close)
	return nil
}

func (s *system) newLink(target string) (*proxy, error) {
	address, err := freeport.Address("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return newProxy(address, target)
}

// storeLink returns the address of a new link to the store.
func (s *system) storeLink() (string, error) {
	link, err := s.newLink(s.storeAddress)
	if err != nil {
		return "", err
	}
	s.storeLinks = append(s.storeLinks, link)
	s.closers = append(s.closers, link.close)
	return link.address(), nil
}

// entryMemory is the memory of an entry's host in MB, the smallest of the users' sheets.
const entryMemory = 112

func (s *system) addEntry(n int) error {
	var addresses [4]string
	for i := range addresses {
		address, err := freeport.Address("127.0.0.1")
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	store, err := s.storeLink()
	if err != nil {
		return err
	}
	settings := fmt.Sprintf("[entry]\nname = edge-%d\nfailure_domain = %s\ncaller_address = %s\nready_address = %s\ndirectory_address = %s\npeer_address = %s\nmemory = %d\n[store]\naddress = %s\n",
		n, failureDomain, addresses[0], addresses[1], addresses[2], addresses[3], entryMemory, store)
	entry, err := newProcess(s.directory, s.binaries, entryProgram, fmt.Sprintf("edge-%d", n), settings+Bounds, s.exited)
	if err != nil {
		return err
	}
	s.directories = append(s.directories, addresses[2])
	s.callerAddresses = append(s.callerAddresses, addresses[0])
	s.entries = append(s.entries, entry)
	return nil
}

// addGroup starts a lock-step group of targets, each on a loopback host of its own with its
// agent.
func (s *system) addGroup() error {
	peerAddress, err := freeport.Address("127.0.0.1")
	if err != nil {
		return err
	}
	_, peerPort, err := net.SplitHostPort(peerAddress)
	if err != nil {
		return err
	}
	for n := range ranks {
		if err := s.addRank(n, peerPort); err != nil {
			return err
		}
	}
	s.group = standin.NewGroup(1, 2*ranks, s.rankTargets...)
	return nil
}

func (s *system) addRank(n int, peerPort string) error {
	host := fmt.Sprintf("127.0.0.%d", 11+n)
	target := &standin.Target{ID: fmt.Sprintf("rank-%d", n), Service: "model", FailureDomain: failureDomain, Events: streamEvents, Pause: streamPause}
	address, err := s.serve(host+":0", target)
	if err != nil {
		return err
	}
	s.rankTargets = append(s.rankTargets, target)
	s.store.Put(platform.TableTargets, target.ID, target.RegistrationValue(address, "ready"))
	store, err := s.storeLink()
	if err != nil {
		return err
	}
	settings := fmt.Sprintf("[rank]\nname = side-%d\nfailure_domain = %s\ntarget_address = %s\nservice = model\npeer_address = %s:%s\n[store]\naddress = %s\n",
		n, failureDomain, address, host, peerPort, store)
	agent, err := newProcess(s.directory, s.binaries, agentProgram, fmt.Sprintf("side-%d", n), settings+Bounds, s.exited)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, agent)
	return nil
}

// exited records a process that ended by itself.
func (s *system) exited(name string, err error) {
	s.records.broken(ProcessesStay, "%s ended by itself: %v", name, err)
}

// ErrNotReady means that the system did not become ready in time.
var ErrNotReady = errors.New("the entries did not become ready")

// awaitReady waits until every entry's directory names all entries.
func (s *system) awaitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, directory := range s.directories {
			if len(standin.QueryDirectory(directory, failureDomain)) == len(s.entries) {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNotReady
		case <-time.After(stepTime):
		}
	}
}

// runGroup lets the group execute steps until ctx is done, while the experts in demand shift.
func (s *system) runGroup(ctx context.Context) {
	demands := [][]uint64{{100, 1, 1, 90, 1, 1}, {1, 90, 1, 1, 100, 1}, {1, 1, 95, 1, 1, 95}}
	for started := time.Now(); ctx.Err() == nil; time.Sleep(stepTime) {
		s.group.Step(demands[int(time.Since(started)/shiftInterval)%len(demands)])
	}
}

// processes returns all processes, entries first.
func (s *system) processes() []*process {
	return append(append([]*process{}, s.entries...), s.agents...)
}

// check checks the promises that only the whole run shows.
func (s *system) check(day Day, started time.Time) {
	var executed []standin.ExecutedRequest
	for _, target := range s.plain {
		executed = append(executed, target.executed()...)
	}
	for _, target := range s.rankTargets {
		executed = append(executed, target.Executed()...)
	}
	s.records.checkExecuted(executed)
	s.records.checkCuts(executed, day)
	s.records.checkCrashingPart(executed, day, started)
	for _, arrivals := range s.arrivals() {
		s.records.checkRest(arrivals, day, started)
		s.records.checkLimit(arrivals, day, started)
	}
	if _, _, mixed := s.group.State(); mixed > 0 {
		s.records.broken(OneMapPerStep, "%d steps on different maps", mixed)
	}
}

// arrivals returns what has reached each incarnation of a target.
func (s *system) arrivals() [][]standin.Arrival {
	var all [][]standin.Arrival
	for _, place := range s.plain {
		place.mu.Lock()
		for _, incarnation := range place.all {
			all = append(all, incarnation.Arrivals())
		}
		place.mu.Unlock()
	}
	for _, target := range s.rankTargets {
		all = append(all, target.Arrivals())
	}
	return all
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, p := range s.processes() {
		p.stop()
	}
	for _, closer := range s.closers {
		closer()
	}
}

// restart ends a process and starts it again after a pause.
func (s *system) restart(p *process, signal syscall.Signal, pause time.Duration) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	if !p.end(signal) {
		s.records.broken(ProcessesStay, "%s did not exit within %v", p.name, exitTimeout)
	}
	time.Sleep(pause)
	if err := p.start(); err != nil {
		s.records.broken(ProcessesStay, "%s did not start again: %v", p.name, err)
	}
}
