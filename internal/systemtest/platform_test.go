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

	"verbenaseam.example/verbenaseam/internal/freeport"
	"verbenaseam.example/verbenaseam/internal/soak"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// platformSystem runs entries and ranks as separate processes against stand-ins of
// the platform's store and targets.
type platformSystem struct {
	t            *testing.T
	store        *standin.Store
	storeAddress string
	group        *standin.Group
	ranks        []*standin.Target
	plain        *standin.Target
	entries      []*platformProcess
	// entryBounds is the section of the entries' settings with the platform's bounds.
	entryBounds string
}

// platformProcess is a running program with its captured output.
type platformProcess struct {
	command *exec.Cmd
	done    chan struct{}
	// callerAddress, readyAddress and directoryAddress are set for entries only.
	callerAddress, readyAddress, directoryAddress string
	mu                                            sync.Mutex
	output                                        bytes.Buffer
}

// Write implements io.Writer.
func (p *platformProcess) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(data)
}

func (p *platformProcess) loggedOutput() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// freeAddress returns the address of a free port on a loopback host.
func freeAddress(t *testing.T, host string) string {
	t.Helper()
	address, err := freeport.Address(host)
	require.NoError(t, err)
	return address
}

func serve(t *testing.T, address string, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// start writes the settings to a file and starts a program with them.
func (s *platformSystem) start(program, settings string, process *platformProcess) {
	s.t.Helper()
	file := filepath.Join(s.t.TempDir(), "settings.ini")
	require.NoError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	process.command = exec.Command(filepath.Join(buildPrograms(s.t), program), "--config", file)
	process.command.Stdout, process.command.Stderr = process, process
	process.done = make(chan struct{})
	require.NoError(s.t, process.command.Start())
	go func() {
		// The error is ignored: a process that the test kills exits with a signal status.
		_ = process.command.Wait()
		close(process.done)
	}()
	s.t.Cleanup(func() {
		_ = process.command.Process.Kill()
		<-process.done
		if s.t.Failed() {
			s.t.Log(program + ":\n" + process.loggedOutput())
		}
	})
}

func startPlatformSystem(t *testing.T) *platformSystem {
	t.Helper()
	s := &platformSystem{t: t, store: standin.NewStore(), entryBounds: soak.Bounds}
	s.storeAddress = serve(t, "127.0.0.1:0", s.store)
	s.putConfiguration(1, "/look/")
	_, peerPort, err := net.SplitHostPort(freeAddress(t, "127.0.0.1"))
	require.NoError(t, err)
	for n := range 3 {
		s.addRank(n, peerPort)
	}
	s.plain = &standin.Target{ID: "plain-1", Service: "plain", FailureDomain: "z1"}
	s.store.Put(platform.TableTargets, "plain-1", s.plain.RegistrationValue(serve(t, "127.0.0.1:0", s.plain), "ready"))
	// Entries and ranks must ignore a malformed registration.
	s.store.Put(platform.TableTargets, "junk", []byte("no registration"))
	s.group = standin.NewGroup(1, 6, s.ranks...)
	for n := range 2 {
		s.addEntry(n)
	}
	return s
}

func (s *platformSystem) putConfiguration(version int, lookups string) {
	s.store.Put(platform.TableOperator, platform.KeyConfiguration, standin.Configuration(version, lookups))
}

func (s *platformSystem) addRank(n int, peerPort string) {
	host := fmt.Sprintf("127.0.0.%d", 11+n)
	rank := &standin.Target{ID: fmt.Sprintf("rank-%d", n), Service: "model", FailureDomain: "z1", Events: 20, Pause: 20 * time.Millisecond}
	s.ranks = append(s.ranks, rank)
	address := serve(s.t, host+":0", rank)
	s.store.Put(platform.TableTargets, rank.ID, rank.RegistrationValue(address, "ready"))
	settings := fmt.Sprintf("[rank]\nname = side-%d\nfailure_domain = z1\ntarget_address = %s\nservice = model\npeer_address = %s:%s\n[store]\naddress = %s\n",
		n, address, host, peerPort, s.storeAddress)
	s.start("verbenaseam-rank", settings+soak.Bounds, &platformProcess{})
}

func (s *platformSystem) addEntry(n int) {
	process := &platformProcess{
		callerAddress: freeAddress(s.t, "127.0.0.1"), readyAddress: freeAddress(s.t, "127.0.0.1"), directoryAddress: freeAddress(s.t, "127.0.0.1"),
	}
	settings := fmt.Sprintf("[entry]\nname = edge-%d\nfailure_domain = z1\ncaller_address = %s\nready_address = %s\ndirectory_address = %s\npeer_address = %s\n[store]\naddress = %s\n",
		n, process.callerAddress, process.readyAddress, process.directoryAddress, freeAddress(s.t, "127.0.0.1"), s.storeAddress)
	s.start("verbenaseam-direct", settings+s.entryBounds, process)
	s.entries = append(s.entries, process)
}

// resolveEntries asks an entry's directory for the addresses of the entries.
func (s *platformSystem) resolveEntries(entry *platformProcess) []string {
	return standin.QueryDirectory(entry.directoryAddress, "z1")
}

var attemptIDs struct {
	sync.Mutex
	count int
}

// send sends a caller's request, with a new attempt ID, to an entry.
func (s *platformSystem) send(entry *platformProcess, path string) (status int, body string, err error) {
	return s.sendBody(entry, path, "body")
}

// sendBody is send with the body of the request.
func (s *platformSystem) sendBody(entry *platformProcess, path, requestBody string) (status int, body string, err error) {
	attemptIDs.Lock()
	attemptIDs.count++
	id := fmt.Sprintf("attempt-%d", attemptIDs.count)
	attemptIDs.Unlock()
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callerAddress+path, strings.NewReader(requestBody))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderAttemptID, id)
	request.Header.Set(platform.HeaderDeadline, "8000")
	request.Header.Set(platform.HeaderAuthorization, platform.KeyScheme+"key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func (s *platformSystem) awaitBothEntries() {
	s.t.Helper()
	for _, entry := range s.entries {
		require.Eventually(s.t, func() bool { return len(s.resolveEntries(entry)) == 2 }, 10*time.Second, 20*time.Millisecond)
	}
}

// TestPlatformEndToEnd runs two entries and three ranks against the platform stand-ins
// and sends requests while the configuration changes, the store fails, ranks are
// rebalanced and entries are stopped.
func TestPlatformEndToEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	s := startPlatformSystem(t)
	s.awaitBothEntries()

	t.Run("requests and streams are answered completely", func(t *testing.T) {
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

	t.Run("a configuration is applied within its bound", func(t *testing.T) {
		s.putConfiguration(2, "/search/")
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

	t.Run("an older configuration is ignored", func(t *testing.T) {
		s.putConfiguration(1, "/look/")
		time.Sleep(300 * time.Millisecond)
		status, _, err := s.send(s.entries[0], "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})

	t.Run("requests are served while the store is unavailable", func(t *testing.T) {
		s.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
		defer s.store.SetFaults(standin.StoreFaults{})
		for range 20 {
			status, _, err := s.send(s.entries[1], "/search/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(10 * time.Millisecond)
		}
	})

	t.Run("requests are served after a settings reload", func(t *testing.T) {
		for _, entry := range s.entries {
			require.NoError(t, entry.command.Process.Signal(syscall.SIGHUP))
			require.Eventually(t, func() bool { return strings.Contains(entry.loggedOutput(), "settings reloaded") }, 2*time.Second, 10*time.Millisecond)
			status, _, err := s.send(entry, "/search/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
		}
	})
	t.Run("ranks are rebalanced despite lost and late orders", func(t *testing.T) { s.checkRebalance(t) })
	t.Run("a graceful shutdown of an entry cuts off no stream", func(t *testing.T) { s.checkGracefulShutdown(t) })
	t.Run("a killed entry is removed from the directory", func(t *testing.T) { s.checkKilledEntry(t) })
}

// checkRebalance runs steps in which nearly all tokens go to two experts of the first
// rank, while orders are lost and delayed. The group must switch to another map
// without mixing maps within a step, and must continue stepping.
func (s *platformSystem) checkRebalance(t *testing.T) {
	for _, rank := range s.ranks {
		rank.SetRankFaults(standin.RankFaults{LostCommands: 3, DelayLostCommands: true, Delay: 700 * time.Millisecond})
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
		_, mapVersion, _ := s.group.State()
		return mapVersion != 0
	}, 20*time.Second, 20*time.Millisecond)
	before, _, _ := s.group.State()
	time.Sleep(time.Second)
	after, _, mixed := s.group.State()
	require.Zero(t, mixed, "steps ran on different maps")
	require.Greater(t, after-before, uint64(20), "the group must continue stepping")
}

// checkGracefulShutdown stops an entry with SIGTERM while streams run through it. No
// stream may be cut off.
func (s *platformSystem) checkGracefulShutdown(t *testing.T) {
	leaving, remaining := s.entries[0], s.entries[1]
	var streams sync.WaitGroup
	failures := make(chan string, 64)
	stop := make(chan struct{})
	for range 3 {
		streams.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				status, body, err := s.send(leaving, "/chat/stream")
				if err != nil || status != http.StatusOK || strings.Count(body, "data: ") != 20 {
					failures <- fmt.Sprintf("%d %v %q", status, err, body)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, leaving.command.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return len(s.resolveEntries(remaining)) == 1 }, time.Second, 10*time.Millisecond)
	// Callers may use a cached directory answer for some time after the entry has left
	// the directory.
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	streams.Wait()
	close(failures)
	for failure := range failures {
		t.Error("stream cut off: " + failure)
	}
	select {
	case <-leaving.done:
	case <-time.After(8 * time.Second):
		t.Fatal("the entry did not exit within 8 s of the last stream")
	}
	require.Contains(t, leaving.loggedOutput(), "stopped")
	require.False(t, s.store.Has(platform.TableEntries, "edge-0"), "the entry's registration must be removed when it stops")
	require.True(t, s.store.Has(platform.TableEntries, "edge-1"))
}

// checkKilledEntry starts another entry, kills it, and requires that it disappears
// from the directory.
func (s *platformSystem) checkKilledEntry(t *testing.T) {
	s.addEntry(2)
	remaining, killed := s.entries[1], s.entries[2]
	require.Eventually(t, func() bool { return len(s.resolveEntries(remaining)) == 2 }, 5*time.Second, 20*time.Millisecond)
	require.NoError(t, killed.command.Process.Kill())
	// The bound follows from the settings: contact (1.5 s) plus 3 s.
	require.Eventually(t, func() bool { return len(s.resolveEntries(remaining)) == 1 }, 4500*time.Millisecond, 20*time.Millisecond)
}
