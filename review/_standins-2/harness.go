package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// harness runs one case: the project's processes, the stand-ins, and the record of what was
// sent, answered and run.
type harness struct {
	// trouble is unset if the case is played without its disruption.
	trouble bool
	// folder holds the settings, the logs and nothing that is kept.
	folder  string
	network byte
	store   *standin.Store
	// storeAddress is the address of the store.
	storeAddress string
	started      time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*exec.Cmd
}

// newHarness creates the record in the folder of the case and starts the store.
func newHarness(caseFolder string) (*harness, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	h := &harness{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, network: byte(20 + os.Getpid()%200),
		store: standin.NewStore(), record: bufio.NewWriter(file), file: file, started: time.Now(),
	}
	listener, err := net.Listen("tcp", h.ip(1)+":0")
	if err != nil {
		return nil, err
	}
	h.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, h.store) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		h.close()
		os.Exit(exitNotRun)
	}()
	return h, nil
}

// ip returns a loopback address of a machine.
func (h *harness) ip(machine int) string { return fmt.Sprintf("127.%d.7.%d", h.network, machine) }

// note writes a line with the time since the start into the record.
func (h *harness) note(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%8.3f ", time.Since(h.started).Seconds())
	fmt.Fprintf(h.record, format+"\n", arguments...)
}

// say is note, also on standard output.
func (h *harness) say(format string, arguments ...any) {
	h.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// close ends all processes that were started and removes the temporary folder.
func (h *harness) close() {
	h.mu.Lock()
	processes := h.processes
	h.mu.Unlock()
	for _, process := range processes {
		// Both fail only for a process that has ended.
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.record.Flush()
	_ = h.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(h.folder)
	}
}

// entry is a process of the role direct.
type entry struct {
	name string
	// callers, ready and directory are its addresses.
	callers, ready, directory string
	process                   *exec.Cmd
	// settings and log are the paths of its files.
	settings, log string
}

// startEntry starts an entry with the command and the template of the deploy file.
func (h *harness) startEntry(machine int, name, zone string, memoryMB float64) (*entry, error) {
	ip := h.ip(machine)
	e := &entry{
		name: name, callers: freeAddress(ip), ready: freeAddress(ip), directory: freeAddress(ip),
		settings: filepath.Join(h.folder, name+".ini"), log: filepath.Join(h.folder, name+".log"),
	}
	values := map[string]string{
		"node_name": name, "zone": zone, "region": "bagmati", "ip": ip,
		"limits.cpu_quota": "0.608", "limits.cpu_cores": "1", "limits.bandwidth_mbps": "1500.0", "limits.max_fds": "6150",
		"limits.memory_mb": fmt.Sprint(memoryMB), "listen.frontend": e.callers, "listen.ready": e.ready, "listen.registry": e.directory,
		"internal_ports.0": portOf(freeUDP(ip)), "platform.address": h.storeAddress,
	}
	command, err := h.render("direct", values, e.settings)
	if err != nil {
		return nil, err
	}
	e.process, err = h.start(command, e.settings, e.log)
	return e, err
}

// bounds are those of the sheet of petal-dry.
var bounds = map[string]string{
	"contact_ms": "3000", "config_apply_ms": "2000", "max_skew_ms": "5000", "drain_ms": "2000", "evacuate_ms": "5000", "grace_s": "8",
	"loss_slack_ms": "200", "reuse_after_s": "2", "retry_window_s": "10", "stall_ms": "1500", "ttl_max_s": "5",
	"retry_budget_ratio": "0.2", "budget_slack": "92", "warmup_overage": "1.5", "warmup_tolerance": "5",
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// render fills in the template of a role into a file and returns the role's command.
func (h *harness) render(role string, values map[string]string, into string) (command string, err error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	template := ""
	inRole := false
	for _, line := range strings.Split(string(deploy), "\n") {
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+role+"]"
		}
		if key, value, found := strings.Cut(line, " = "); inRole && found {
			switch key {
			case "run":
				command = strings.Trim(value, `"`)
			case "template":
				template = strings.Trim(value, `"`)
			}
		}
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(match string) string {
		name := placeholder.FindStringSubmatch(match)[1]
		if bound, found := strings.CutPrefix(name, "bounds."); found {
			return bounds[bound]
		}
		return values[name]
	})
	return command, os.WriteFile(into, []byte(filled), 0o600)
}

// start starts a process with its settings file and log.
func (h *harness) start(command, settings, log string) (*exec.Cmd, error) {
	words := strings.Fields(command)
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENASEAM_BOOT=" + settings}
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes = append(h.processes, process)
	return process, nil
}

// awaitReady waits until an entry says that it is ready.
func (h *harness) awaitReady(e *entry) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// freeAddress returns an address with a free TCP port.
func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return ip + ":0"
	}
	defer listener.Close()
	return listener.Addr().String()
}

// freeUDP returns an address with a free UDP port.
func freeUDP(ip string) string {
	socket, err := net.ListenPacket("udp", ip+":0")
	if err != nil {
		return ip + ":0"
	}
	defer socket.Close()
	return socket.LocalAddr().String()
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}
