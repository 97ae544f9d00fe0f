package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// entryCommand is the command of the deploy file's role direct, settingsVariable the variable with the
// path of its settings.
const (
	entryCommand     = "target/verbenaseam-direct"
	settingsVariable = "VERBENASEAM_BOOT"
)

// settingsFormat has the sections of deploy/direct.ini, with the bounds of petal-dry.
const settingsFormat = `[entry]
name = %s
failure_domain = %s
region = bagmati
processor = 0.608
cores = 1
link = 1500
caller_address = %s
ready_address = %s
directory_address = %s
peer_address = %s
metrics_address = %s
files = 6150
memory = 414

[store]
address = %s

[bounds]
contact = 3000ms
apply = 2000ms
skew = 5000ms
drain = 2000ms
evacuate = 5000ms
grace = 8s
loss_slack = 200ms
address_reuse = 2s
retry_window = 10s
stall = 1500ms
directory_ttl = 5s
retry_share = 0.2
retry_slack = 92
warmup_share = 1.5
warmup_slack = 5
`

// zones are those of the entries and the runners.
var zones = []string{"thamel", "patan", "bhaktapur"}

// work is how long a runner works on a request.
const work = 30 * time.Millisecond

// Bounds of the users' sheet.
const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
)

// system is the entries and the stand-ins of a case.
type system struct {
	directory string
	record    *record
	store     *standin.Store
	// storeLinks are the entries' links to the store.
	storeLinks []*link
	entries    []*entry
	runners    []*runner
	closers    []func()
}

// entry is an entry process.
type entry struct {
	name, callers, ready string
	command              *exec.Cmd
}

// runner is a runner of the plain service.
type runner struct {
	*standin.Target
	address string
	// exit ends the runner's process: its connections are closed, and its address refuses new ones.
	exit func()
}

func newSystem(directory string, r *record) *system {
	return &system{directory: directory, record: r, store: standin.NewStore()}
}

// errNotReady means that the entries did not become ready in time.
var errNotReady = errors.New("the entries did not become ready")

// start starts the store, the runners and the entries, and waits until all are ready.
func (s *system) start(entries, runners int) error {
	storeAddress, _, err := s.serve(s.store)
	if err != nil {
		return err
	}
	s.configure(1)
	for n := range runners {
		if err := s.addRunner(fmt.Sprintf("i-%d", n+1), "plain", zones[n%len(zones)]); err != nil {
			return err
		}
	}
	for n := range entries {
		if err := s.addEntry(fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n/len(zones)+1), zones[n%len(zones)], storeAddress); err != nil {
			return err
		}
	}
	for giveUp := time.Now().Add(10 * time.Second); time.Now().Before(giveUp); time.Sleep(50 * time.Millisecond) {
		if s.allReady() {
			s.record.note("%d entries are ready", entries)
			return nil
		}
	}
	return errNotReady
}

// configure writes a version of the configuration, as the operator does.
func (s *system) configure(version int) {
	s.putConfiguration(standin.Configuration(version, "/look/"))
	s.record.note("the operator writes version %d of the configuration", version)
}

func (s *system) putConfiguration(value []byte) {
	s.store.Put(platform.TableOperator, platform.KeyConfiguration, value)
}

// serve serves a stand-in at a free address until end is called.
func (s *system) serve(handler http.Handler) (address string, end func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	end = func() { _ = server.Close() }
	s.closers = append(s.closers, end)
	return listener.Addr().String(), end, nil
}

func (s *system) addRunner(id, service, zone string) error {
	r := &runner{Target: &standin.Target{ID: id, Service: service, FailureDomain: zone}}
	r.SetFaults(standin.TargetFaults{Delay: work})
	var err error
	if r.address, r.exit, err = s.serve(r.Target); err != nil {
		return err
	}
	s.store.Put(platform.TableTargets, id, r.RegistrationValue(r.address, "ready"))
	s.runners = append(s.runners, r)
	return nil
}

// freeAddresses returns addresses on a loopback host whose ports are free for TCP and UDP. Other
// processes and outgoing connections have addresses of other hosts.
func freeAddresses(host string, count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		socket, err := net.ListenPacket("udp", listener.Addr().String())
		if err != nil {
			continue
		}
		defer socket.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (s *system) addEntry(name, zone, storeAddress string) error {
	storeLink, err := newLink(storeAddress)
	if err != nil {
		return err
	}
	s.storeLinks = append(s.storeLinks, storeLink)
	s.closers = append(s.closers, storeLink.close)
	addresses, err := freeAddresses(fmt.Sprintf("127.0.21.%d", len(s.entries)+1), 5)
	if err != nil {
		return err
	}
	settings := filepath.Join(s.directory, name+".ini")
	text := fmt.Sprintf(settingsFormat, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], storeLink.address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.directory, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(entryCommand)
	command.Env = append(os.Environ(), settingsVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	s.entries = append(s.entries, &entry{name: name, callers: addresses[0], ready: addresses[1], command: command})
	return nil
}

func (s *system) allReady() bool {
	for _, e := range s.entries {
		response, err := http.Get("http://" + e.ready + "/v1/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, e := range s.entries {
		_ = e.command.Process.Kill()
		_ = e.command.Wait()
	}
	for _, closer := range s.closers {
		closer()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, e := range s.entries {
			if log, err := os.ReadFile(filepath.Join(s.directory, e.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, e.name+".log"), log, 0o600)
			}
		}
	}
}
