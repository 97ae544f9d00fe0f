package systemtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/internal/soak"
	"verbenaseam.example/verbenaseam/internal/standin/raw"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// uploadBytes is more than the socket buffers of both ends take.
	uploadBytes = 3 << 20
	// brokenRequests is the number of requests sent for each form of a broken response.
	brokenRequests = 20
	// partOfAnswer is the body of a broken response.
	partOfAnswer = "part of an answer"
	// wholeAnswer is the body of all others.
	wholeAnswer = "whole answer"
	// brokenShare is one in how many responses is broken.
	brokenShare = 4
	// registrationTimeout is the time in which an entry must learn of a target.
	registrationTimeout = 10 * time.Second
)

// brokenAnswer is a form of a broken response. send writes it to the connection of a request whose body has
// not been read; head is that of a sound one up to its framing.
type brokenAnswer struct {
	name string
	send func(c *net.TCPConn, r *http.Request, status, head string)
}

// brokenAnswers are the forms that callers have reported.
var brokenAnswers = []brokenAnswer{
	{"reset during the upload", func(c *net.TCPConn, _ *http.Request, status, head string) {
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+head+"\r\n"+partOfAnswer)
		_ = c.SetLinger(0)
	}},
	{"closed during the upload", func(c *net.TCPConn, _ *http.Request, status, head string) {
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+head+"\r\n"+partOfAnswer)
	}},
	{"status 000", afterUpload("HTTP/1.1 000 X\r\nHEADContent-Length: 17\r\n\r\n" + partOfAnswer)},
	{"a blank in a length", afterUpload("HTTP/1.1 STATUS\r\nHEADContent-Length : 4\r\n\r\n" + partOfAnswer)},
	{"a blank in an encoding", afterUpload("HTTP/1.1 STATUS\r\nHEADTransfer-Encoding : chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n")},
	{"a blank in a name", afterUpload("HTTP/1.1 STATUS\r\nHEADX Field: a\r\nContent-Length: 17\r\n\r\n" + partOfAnswer)},
	{"a control byte in a name", afterUpload("HTTP/1.1 STATUS\r\nHEADX\x01: a\r\nContent-Length: 17\r\n\r\n" + partOfAnswer)},
	{"status 000 before another", afterUpload("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 STATUS\r\nHEADContent-Length: 17\r\n\r\n" + partOfAnswer)},
}

// afterUpload returns a function that reads the body of a request and then writes a text, with the status
// and head in place of STATUS and HEAD.
func afterUpload(text string) func(c *net.TCPConn, r *http.Request, status, head string) {
	return func(c *net.TCPConn, r *http.Request, status, head string) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = strings.NewReplacer("STATUS", status, "HEAD", head).WriteString(c, text)
	}
}

// TestBrokenAnswersOfTargetsReachNoCaller runs an entry as a process in front of two targets, of which one sends
// a part of its responses broken. It guards against a caller that gets a part of a response, or one that was
// never sent, as a whole one, against orders that are sent twice and against lookups that fail for that.
func TestBrokenAnswersOfTargetsReachNoCaller(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	for _, form := range brokenAnswers {
		for _, status := range []string{"200 OK", "500 Internal Server Error"} {
			t.Run(form.name+"/"+status, func(t *testing.T) {
				t.Parallel()
				s := startEntryFor(t)
				var received, broken atomic.Int64
				s.startUploadTarget("broken", func(c *net.TCPConn, r *http.Request) {
					if received.Add(1)%brokenShare == 0 {
						broken.Add(1)
						form.send(c, r, status, signedFields(r))
						return
					}
					sendWholeAnswer(c, r)
				})
				s.requireWholeAnswers("/order/x", http.StatusBadGateway)
				require.Equal(t, int64(brokenRequests), received.Load(), "each order is sent once")
				s.startUploadTarget("sound", sendWholeAnswer)
				s.requireWholeAnswers("/look/x", http.StatusOK)
				require.Positive(t, broken.Load())
			})
		}
	}
}

// TestBrokenAnswersOfEnginesReachNoCaller is the same for entries and agents of the product's own interface, as
// processes. One of the three back ends of a pool sends a part of its responses broken.
func TestBrokenAnswersOfEnginesReachNoCaller(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 19 processes")
	}
	var form atomic.Pointer[brokenAnswer]
	var status atomic.Value
	var received atomic.Int64
	respond := func(faulty bool) func(c *net.TCPConn, r *http.Request) {
		return func(c *net.TCPConn, r *http.Request) {
			head := engine.HeaderRequestID + ": " + r.Header.Get(engine.HeaderRequestID) + "\r\n"
			if faulty && r.Method == http.MethodPost && received.Add(1)%brokenShare == 0 {
				form.Load().send(c, r, status.Load().(string), head)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+wholeAnswer)
		}
	}
	f := startFleetWith(t, "himal", func(f *fleet) {
		for n := range 3 {
			f.setEngine(fmt.Sprintf("agent-floor-app-%d.ini", n+1), raw.StartOnce(t, respond(n == 0)))
		}
	})
	for i := range entryCount {
		f.awaitReady(entryStatusOffset + i)
	}
	f.mustRunTool("tables", "apply", f.directory+"/tables.ini", "--expect-version", "0")
	for i := range agentCount {
		f.awaitReady(agentStatusOffset + i)
	}
	upload := bytes.Repeat([]byte("a"), uploadBytes)
	for _, broken := range brokenAnswers {
		for _, code := range []string{"200 OK", "500 Internal Server Error"} {
			t.Run(broken.name+"/"+code, func(t *testing.T) {
				form.Store(&broken)
				status.Store(code)
				before := received.Load()
				for n := range brokenRequests {
					code, _, body, err := send(f.newRequest(http.MethodPost, f.url(n%entryCount)+"/stock", upload, ""))
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, code, "lookup %d: %q", n, body)
					require.Equal(t, wholeAnswer, string(body), "lookup %d", n)
					code, _, body, err = send(f.newRequest(http.MethodPost, f.url(n%entryCount)+"/orders", upload, fmt.Sprintf("%s %d", t.Name(), n)))
					require.NoError(t, err)
					if code == http.StatusOK {
						require.Equal(t, wholeAnswer, string(body), "order %d", n)
						continue
					}
					require.Equal(t, http.StatusBadGateway, code, "order %d: %q", n, body)
				}
				require.GreaterOrEqual(t, received.Load()-before, int64(brokenShare), "no response was broken")
			})
		}
	}
}

// setEngine sets the address of an agent's back end.
func (f *fleet) setEngine(file, address string) {
	path := filepath.Join(f.directory, file)
	content, err := os.ReadFile(path)
	require.NoError(f.t, err)
	changed := regexp.MustCompile(`url = http://\S+`).ReplaceAll(content, []byte("url = http://"+address))
	require.NoError(f.t, os.WriteFile(path, changed, 0o600))
}

// startEntryFor starts a store and one entry whose configuration allows large bodies.
func startEntryFor(t *testing.T) *platformSystem {
	t.Helper()
	s := &platformSystem{t: t, store: standin.NewStore(), entryBounds: soak.Bounds}
	s.storeAddress = serve(t, "127.0.0.1:0", s.store)
	limit := fmt.Appendf(nil, `"max_body_bytes":%d`, 2*uploadBytes)
	s.store.Put(platform.TableOperator, platform.KeyConfiguration,
		bytes.Replace(standin.Configuration(1, "/look/"), []byte(`"max_body_bytes":100000`), limit, 1))
	s.addEntry(0)
	return s
}

// signedFields returns the fields of a sound response to a request.
func signedFields(r *http.Request) string {
	return platform.HeaderAttemptID + ": " + r.Header.Get(platform.HeaderAttemptID) + "\r\n" + platform.HeaderSignature + ": seal\r\n"
}

// sendWholeAnswer reads the body of a request and responds to it.
func sendWholeAnswer(c *net.TCPConn, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedFields(r)+"\r\n"+wholeAnswer)
}

// startUploadTarget starts a target, whose respond gets all requests that have a body, and waits until the
// entry knows it.
func (s *platformSystem) startUploadTarget(id string, respond func(c *net.TCPConn, r *http.Request)) {
	s.t.Helper()
	var reached atomic.Bool
	s.registerPlain(id, raw.StartOnce(s.t, func(c *net.TCPConn, r *http.Request) {
		if r.ContentLength <= 0 {
			reached.Store(true)
			sendWholeAnswer(c, r)
			return
		}
		respond(c, r)
	}))
	require.Eventually(s.t, func() bool {
		_, _, err := s.sendBody(s.entries[0], "/look/x", "")
		return err == nil && reached.Load()
	}, registrationTimeout, 10*time.Millisecond)
}

// registerPlain registers a target of the service for lookups and orders.
func (s *platformSystem) registerPlain(id, address string) {
	registration := &standin.Target{ID: id, Service: "plain", FailureDomain: "z1"}
	s.store.Put(platform.TableTargets, id, registration.RegistrationValue(address, "ready"))
}

// requireWholeAnswers sends requests with large bodies one after the other. Each must be answered with the
// whole body, or with the status that is allowed besides.
func (s *platformSystem) requireWholeAnswers(path string, allowed int) {
	s.t.Helper()
	upload := strings.Repeat("a", uploadBytes)
	for n := range brokenRequests {
		status, body, err := s.sendBody(s.entries[0], path, upload)
		require.NoError(s.t, err)
		if status == http.StatusOK {
			require.Equal(s.t, wholeAnswer, body, "request %d", n)
			continue
		}
		require.Equal(s.t, allowed, status, "request %d: %q", n, body)
	}
}
