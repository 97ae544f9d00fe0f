package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench is what all cases share: the record, the processes and the stand-ins' servers.
type bench struct {
	trouble bool
	started time.Time
	// temp holds the settings and logs of the processes.
	temp    string
	servers []*http.Server
	// addresses are those that servers serve, in the same order.
	addresses []string

	// mu guards the fields below.
	mu        sync.Mutex
	out       *os.File
	processes []*process
}

func newBench(folder string) (*bench, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "verbenaseam-review-")
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), temp: temp, out: out}
	b.record("start, trouble %v", b.trouble)
	return b, nil
}

// record writes a line to record.txt.
func (b *bench) record(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.out, "%9.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and servers.
func (b *bench) close() {
	b.mu.Lock()
	processes := b.processes
	b.mu.Unlock()
	for _, p := range processes {
		p.stop(syscall.SIGKILL)
	}
	for _, server := range b.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.temp)
	} else {
		b.record("logs in the temporary folder %s", filepath.Base(b.temp))
	}
	_ = b.out.Close()
}

// endOnSignal ends all processes when this one is told to end.
func (b *bench) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		b.record("result: the case was ended by a signal")
		b.close()
		os.Exit(exitFailed)
	}()
}

// serve serves a handler at an address and returns the address, with the port that was chosen.
func (b *bench) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	b.servers, b.addresses = append(b.servers, server), append(b.addresses, listener.Addr().String())
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// process is one process of the project, which is started again when it has been killed.
type process struct {
	bench            *bench
	name, program    string
	settings         string
	command          *exec.Cmd
	ended            chan struct{}
	mu               sync.Mutex
	starts           int
	stoppedOnPurpose bool
}

// errProgramMissing means that the build of the deploy file has not been made.
var errProgramMissing = errors.New("target/ has no programs; build the deploy file first")

// start starts a program of the deploy file with the given settings.
func (b *bench) start(name, program, settings string) (*process, error) {
	if _, err := os.Stat(filepath.Join("target", program)); err != nil {
		return nil, errProgramMissing
	}
	file := filepath.Join(b.temp, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{bench: b, name: name, program: program, settings: file}
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	return p, p.run()
}

// run starts the process, the first time or again.
func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	log, err := os.Create(filepath.Join(p.bench.temp, fmt.Sprintf("%s.%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join("target", p.program))
	command.Env = append(os.Environ(), "VERBENASEAM_BOOT="+p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.stoppedOnPurpose = command, ended, false
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		purpose := p.stoppedOnPurpose
		p.mu.Unlock()
		if !purpose {
			p.bench.record("process %s ended by itself: %v", p.name, err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// stop sends a signal that ends the process and waits for its end.
func (p *process) stop(signal syscall.Signal) {
	p.mu.Lock()
	p.stoppedOnPurpose = true
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	<-ended
}

// freePort returns a port that is free for TCP and UDP on all hosts.
func freePort(hosts ...string) (string, error) {
	for range 100 {
		port, ok := tryPort(hosts)
		if ok {
			return port, nil
		}
	}
	return "", errors.New("no free port")
}

func tryPort(hosts []string) (string, bool) {
	first, err := net.Listen("tcp", net.JoinHostPort(hosts[0], "0"))
	if err != nil {
		return "", false
	}
	_, port, _ := net.SplitHostPort(first.Addr().String())
	_ = first.Close()
	for _, host := range hosts {
		tcp, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err != nil {
			return "", false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", net.JoinHostPort(host, port))
		if err != nil {
			return "", false
		}
		_ = udp.Close()
	}
	return port, true
}

// boundsOf are the bounds of the settings, as in the sheets of the small deployments.
var boundsOf = strings.TrimSpace(`
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
retry_slack = 88
warmup_share = 1.5
warmup_slack = 5
`) + "\n"

// servedAt returns the address of the stand-in that was served at the given position, from 0.
func (b *bench) servedAt(position int) string { return b.addresses[position] }
