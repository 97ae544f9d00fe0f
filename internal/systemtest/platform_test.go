package systemtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const platformBounds = `
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

// platformSystem is the whole system on stand-ins of the platform.
type platformSystem struct {
	t       *testing.T
	store   *standin.Store
	address string
	group   *standin.Group
	ranks   []*standin.Target
	plain   *standin.Target
	entries []*platformProcess
}

// platformProcess is one program.
type platformProcess struct {
	command *exec.Cmd
	done    chan struct{}
	// callers, ready and directory are an entry's addresses.
	callers, ready, directory string
	mu                        sync.Mutex
	output                    bytes.Buffer
}

// Write implements io.Writer.
func (p *platformProcess) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(data)
}

func (p *platformProcess) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// freeAddress returns a free port on a loopback address.
func freeAddress(t *testing.T, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", host+":0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func serveAt(t *testing.T, address string, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// start starts a program with settings.
func (s *platformSystem) start(program, settings string, process *platformProcess) {
	s.t.Helper()
	file := filepath.Join(s.t.TempDir(), "settings.ini")
	require.NoError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	process.command = exec.Command(filepath.Join(builtPrograms(s.t), program), "--config", file)
	process.command.Stdout, process.command.Stderr = process, process
	process.done = make(chan struct{})
	require.NoError(s.t, process.command.Start())
	go func() {
		// The status is that of a signal when the test ends it.
		_ = process.command.Wait()
		close(process.done)
	}()
	s.t.Cleanup(func() {
		_ = process.command.Process.Kill()
		<-process.done
		if s.t.Failed() {
			s.t.Log(program + ":\n" + process.log())
		}
	})
}

func startPlatformSystem(t *testing.T) *platformSystem {
	t.Helper()
	s := &platformSystem{t: t, store: standin.NewStore()}
	s.address = serveAt(t, "127.0.0.1:0", s.store)
	s.configure(1, "/look/")
	agents := freeAddress(t, "127.0.0.1")
	_, port, err := net.SplitHostPort(agents)
	require.NoError(t, err)
	for n := range 3 {
		s.addRank(n, port)
	}
	s.plain = &standin.Target{ID: "plain-1", Service: "plain", Zone: "z1"}
	s.store.Put(platform.TableTargets, "plain-1", s.plain.Row(serveAt(t, "127.0.0.1:0", s.plain), "ready"))
	s.store.Put(platform.TableTargets, "junk", []byte("no registration"))
	s.group = standin.NewGroup(1, 6, s.ranks...)
	for n := range 2 {
		s.addEntry(n)
	}
	return s
}

func (s *platformSystem) configure(version int, lookups string) {
	s.store.Put(platform.TableOperator, platform.KeyConfiguration, standin.Configuration(version, lookups))
}

func (s *platformSystem) addRank(n int, port string) {
	host := fmt.Sprintf("127.0.0.%d", 11+n)
	rank := &standin.Target{ID: fmt.Sprintf("rank-%d", n), Service: "model", Zone: "z1", Events: 20, Pause: 20 * time.Millisecond}
	s.ranks = append(s.ranks, rank)
	address := serveAt(s.t, host+":0", rank)
	s.store.Put(platform.TableTargets, rank.ID, rank.Row(address, "ready"))
	settings := fmt.Sprintf("[rank]\nname = side-%d\nfailure_domain = z1\ntarget_address = %s\nservice = model\npeer_address = %s:%s\n[store]\naddress = %s\n",
		n, address, host, port, s.address)
	s.start("verbenaseam-rank", settings+platformBounds, &platformProcess{})
}

func (s *platformSystem) addEntry(n int) {
	process := &platformProcess{
		callers: freeAddress(s.t, "127.0.0.1"), ready: freeAddress(s.t, "127.0.0.1"), directory: freeAddress(s.t, "127.0.0.1"),
	}
	settings := fmt.Sprintf("[entry]\nname = edge-%d\nfailure_domain = z1\ncaller_address = %s\nready_address = %s\ndirectory_address = %s\npeer_address = %s\n[store]\naddress = %s\n",
		n, process.callers, process.ready, process.directory, freeAddress(s.t, "127.0.0.1"), s.address)
	s.start("verbenaseam-direct", settings+platformBounds, process)
	s.entries = append(s.entries, process)
}

// directory asks an entry where to connect.
func (s *platformSystem) directory(entry *platformProcess) []string {
	return standin.AskDirectory(entry.directory, "z1")
}

var attempts struct {
	sync.Mutex
	count int
}

// send makes a request of a caller.
func (s *platformSystem) send(entry *platformProcess, path string) (status int, body string, err error) {
	attempts.Lock()
	attempts.count++
	id := fmt.Sprintf("attempt-%d", attempts.count)
	attempts.Unlock()
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callers+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderAttempt, id)
	request.Header.Set(platform.HeaderDeadline, "8000")
	request.Header.Set(platform.HeaderKey, platform.KeyScheme+"key")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	whole, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(whole), err
}

func (s *platformSystem) awaitBothEntries() {
	s.t.Helper()
	for _, entry := range s.entries {
		require.Eventually(s.t, func() bool { return len(s.directory(entry)) == 2 }, 10*time.Second, 20*time.Millisecond)
	}
}

func TestThePlatformsWholePath(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	s := startPlatformSystem(t)
	s.awaitBothEntries()

	t.Run("requests and streams are answered whole", func(t *testing.T) {
		for _, entry := range s.entries {
			status, body, err := s.send(entry, "/look/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "answer of a target", body)
			status, body, err = s.send(entry, "/chat/stream")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, 20, strings.Count(body, "data: "))
		}
	})

	t.Run("a configuration is in force within its bound", func(t *testing.T) {
		s.configure(2, "/search/")
		for _, entry := range s.entries {
			require.Eventually(t, func() bool {
				status, _, err := s.send(entry, "/search/x")
				return err == nil && status == http.StatusOK
			}, 2*time.Second, 10*time.Millisecond)
			status, _, err := s.send(entry, "/look/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, status)
		}
	})

	t.Run("an older configuration changes nothing", func(t *testing.T) {
		s.configure(1, "/look/")
		time.Sleep(300 * time.Millisecond)
		status, _, err := s.send(s.entries[0], "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})

	t.Run("a dark store stops nothing", func(t *testing.T) {
		s.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
		defer s.store.SetFaults(standin.StoreFaults{})
		for range 20 {
			status, _, err := s.send(s.entries[1], "/search/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(10 * time.Millisecond)
		}
	})

	t.Run("a reload stops nothing", func(t *testing.T) {
		for _, entry := range s.entries {
			require.NoError(t, entry.command.Process.Signal(syscall.SIGHUP))
			require.Eventually(t, func() bool { return strings.Contains(entry.log(), "settings reloaded") }, 2*time.Second, 10*time.Millisecond)
			status, _, err := s.send(entry, "/search/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
		}
	})
	t.Run("the ranks get an even map, with orders lost and late", func(t *testing.T) { s.rebalance(t) })
	t.Run("an entry that leaves cuts nothing", func(t *testing.T) { s.leave(t) })
	t.Run("a killed entry leaves the directory", func(t *testing.T) { s.kill(t) })
}

// rebalance lets the group make steps whose tokens all go to two experts of the
// first rank.
func (s *platformSystem) rebalance(t *testing.T) {
	for _, rank := range s.ranks {
		rank.SetRankFaults(standin.RankFaults{LostOrders: 3, LateOrders: true, LateBy: 700 * time.Millisecond})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			s.group.Step([]uint64{100, 1, 1, 90, 1, 1})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	require.Eventually(t, func() bool {
		_, running, _ := s.group.State()
		return running != 0
	}, 20*time.Second, 20*time.Millisecond)
	before, _, _ := s.group.State()
	time.Sleep(time.Second)
	after, _, mixed := s.group.State()
	require.Zero(t, mixed, "steps on different maps")
	require.Greater(t, after-before, uint64(20), "the group goes on")
}

// leave stops an entry while streams run through it.
func (s *platformSystem) leave(t *testing.T) {
	leaver, stayer := s.entries[0], s.entries[1]
	var group sync.WaitGroup
	failures := make(chan string, 64)
	stop := make(chan struct{})
	for range 3 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				status, body, err := s.send(leaver, "/chat/stream")
				if err != nil || status != http.StatusOK || strings.Count(body, "data: ") != 20 {
					failures <- fmt.Sprintf("%d %v %q", status, err, body)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, leaver.command.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return len(s.directory(stayer)) == 1 }, time.Second, 10*time.Millisecond)
	// Callers may hold an old answer for a while; then they stop coming.
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	group.Wait()
	close(failures)
	for failure := range failures {
		t.Error("cut off: " + failure)
	}
	select {
	case <-leaver.done:
	case <-time.After(8 * time.Second):
		t.Fatal("the entry does not end")
	}
	require.Contains(t, leaver.log(), "stopped")
	require.False(t, s.store.Has(platform.TableEntries, "edge-0"), "its registration goes with it")
	require.True(t, s.store.Has(platform.TableEntries, "edge-1"))
}

// kill kills the entry that is left once another has come.
func (s *platformSystem) kill(t *testing.T) {
	s.addEntry(2)
	stayer, victim := s.entries[1], s.entries[2]
	require.Eventually(t, func() bool { return len(s.directory(stayer)) == 2 }, 5*time.Second, 20*time.Millisecond)
	require.NoError(t, victim.command.Process.Kill())
	// The bound is that of the settings: contact and 3 s.
	require.Eventually(t, func() bool { return len(s.directory(stayer)) == 1 }, 4500*time.Millisecond, 20*time.Millisecond)
}
