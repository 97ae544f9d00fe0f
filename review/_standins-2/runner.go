package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of the platform's runners, as PROTOCOL.md describes them: it registers in
// the store, answers 421 for another instance, echoes the attempt's ID and seals its answers.
type runner struct {
	harness           *harness
	id, service, zone string
	address           string
	work              time.Duration
	answerBytes       int
	capacity          int

	mu sync.Mutex
	// answer, if not nil, may write the answer itself and then returns true. It is called with
	// the number of the request, from 1.
	answer func(r *runner, c net.Conn, request *http.Request, number int) bool
	number int
	// ran holds when a request began to run, answered when its whole answer was written, by ID.
	ran, answered map[string]time.Time
	state         string
	// off is set once the runner is switched off; cut counts the requests that it worked on then.
	off bool
	cut int
	// listener and connections are those that are open.
	listener    net.Listener
	connections map[net.Conn]bool
}

// startRunner starts a runner on a machine and registers it.
func (h *harness) startRunner(machine int, id, service, zone string, work time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp", h.ip(machine)+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		harness: h, id: id, service: service, zone: zone, address: listener.Addr().String(), work: work, answerBytes: 800, capacity: 6,
		ran: map[string]time.Time{}, answered: map[string]time.Time{}, state: "ready", listener: listener, connections: map[net.Conn]bool{},
	}
	r.register(1)
	go r.heartbeat()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// register writes the runner's row.
func (r *runner) register(sequence int) {
	value, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "capacity": r.capacity, "state": r.state,
		"warmup_left_ms": 0, "sequence": sequence, "born": r.harness.started.UnixMilli(),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	r.harness.store.Put("servers", r.id, value)
}

// heartbeat writes the runner's row again about every heartbeat_ms.
func (r *runner) heartbeat() {
	for sequence := 2; ; sequence++ {
		time.Sleep(1200 * time.Millisecond)
		r.mu.Lock()
		off := r.off
		r.mu.Unlock()
		if off {
			return
		}
		r.register(sequence)
	}
}

// switchOff ends the runner at once, with all that it works on.
func (r *runner) switchOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.off, r.cut = true, len(r.ran)-len(r.answered)
	_ = r.listener.Close()
	for c := range r.connections {
		_ = c.Close()
	}
}

// cutCount returns how many requests the runner worked on when it was switched off.
func (r *runner) cutCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// ranBetween returns how many requests began to run between two times.
func (r *runner) ranBetween(from, until time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, at := range r.ran {
		if at.After(from) && at.Before(until) {
			count++
		}
	}
	return count
}

func (r *runner) serve(c net.Conn) {
	defer c.Close()
	r.mu.Lock()
	r.connections[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connections, c)
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, max(request.ContentLength, 0))
		for read := 0; read < len(body); {
			n, err := request.Body.Read(body[read:])
			if read += n; err != nil && read < len(body) {
				return
			}
		}
		if !r.handle(c, request) {
			return
		}
	}
}

// handle answers one request; it returns false if the connection has ended.
func (r *runner) handle(c net.Conn, request *http.Request) bool {
	attempt := request.Header.Get("Verbenaseam-Attempt-Id")
	if expected := request.Header.Get("Verbenaseam-Expect-Instance"); expected != "" && expected != r.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nVerbenaseam-Attempt-Id: %s\r\nVerbenaseam-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, r.id)
		return err == nil
	}
	r.mu.Lock()
	r.number++
	number := r.number
	r.ran[attempt] = time.Now()
	answer := r.answer
	r.mu.Unlock()
	r.harness.note("%s runs %s %s", r.id, attempt, request.RequestURI)
	time.Sleep(r.work)
	if answer != nil && answer(r, c, request, number) {
		return false
	}
	head := r.head(attempt, strconv.Itoa(r.answerBytes))
	if _, err := c.Write([]byte(head + strings.Repeat("a", r.answerBytes))); err != nil {
		return false
	}
	r.mu.Lock()
	r.answered[attempt] = time.Now()
	r.mu.Unlock()
	return true
}

// setAnswer sets what may write answers in place of the runner.
func (r *runner) setAnswer(answer func(r *runner, c net.Conn, request *http.Request, number int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = answer
}

// head returns the head of a sealed answer of a stated length.
func (r *runner) head(attempt, length string) string {
	return "HTTP/1.1 200 OK\r\nVerbenaseam-Attempt-Id: " + attempt + "\r\nVerbenaseam-Server-Seal: seal-" + r.id +
		"\r\nKeep-Alive: timeout=10\r\nContent-Type: text/plain\r\nContent-Length: " + length + "\r\n\r\n"
}

// hasAnswered reports whether the runner has written its whole answer to a request.
func (r *runner) hasAnswered(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.answered[attempt].IsZero()
}
