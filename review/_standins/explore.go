package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

type rawRunner struct {
	x        *explorer
	id       string
	service  string
	zone     string
	host     string
	address  string
	born     int64
	capacity int
	mu       sync.Mutex
	running  int
	listener net.Listener
	conns    map[net.Conn]bool
}

type runRecord struct {
	runner, seal, body              string
	status                          int
	first                           int
	org, key, path, method, reqBody string
	at                              time.Time
}

type explorer struct {
	s        *system
	b        *bench
	mu       sync.Mutex
	runs     map[string][]*runRecord
	seq      int
	badShare float64
	bad      int
}

func (x *explorer) fail(format string, a ...any) {
	x.b.record("BAD "+format, a...)
	x.mu.Lock()
	x.bad++
	x.mu.Unlock()
}

func (r *rawRunner) start() error {
	var err error
	addr := r.host + ":0"
	if r.address != "" {
		addr = r.address
	}
	r.listener, err = net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.address = r.listener.Addr().String()
	r.born = time.Now().UnixMilli()
	r.conns = map[net.Conn]bool{}
	l := r.listener
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return nil
}

func (r *rawRunner) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (r *rawRunner) register() {
	r.x.s.store.Put(platform.TableTargets, r.id, encode(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "capacity": r.capacity,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": r.born,
	}))
}

func (r *rawRunner) serve(c net.Conn) {
	defer func() { r.mu.Lock(); delete(r.conns, c); r.mu.Unlock(); c.Close() }()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.one(c, q) {
			return
		}
	}
}

func rst(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }

func (r *rawRunner) one(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("Verbenaseam-Attempt-Id")
	bad := rand.Float64() < r.x.badShare
	pick := rand.IntN(100)
	long := q.ContentLength > 20000
	if exp := q.Header.Get("Verbenaseam-Expect-Instance"); exp != r.id {
		io.Copy(io.Discard, q.Body)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nVerbenaseam-Attempt-Id: %s\r\nVerbenaseam-Instance-Id: %s\r\nVerbenaseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return true
	}
	refuse := fmt.Sprintf("HTTP/1.1 503 Busy\r\nVerbenaseam-Attempt-Id: %s\r\nVerbenaseam-Instance-Id: %s\r\nVerbenaseam-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy", id, r.id)
	if long && bad && pick < 40 {
		// early
		io.WriteString(c, refuse)
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		n, _ := io.Copy(io.Discard, q.Body)
		if n != q.ContentLength && q.ContentLength > 0 {
			return false
		}
		return true
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	r.mu.Lock()
	full := r.running >= r.capacity
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full || bad && pick < 8 {
		if !full {
			r.mu.Lock()
			r.running--
			r.mu.Unlock()
		}
		io.WriteString(c, refuse)
		if bad && pick < 4 {
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			io.WriteString(c, refuse)
		}
		return true
	}
	defer func() { r.mu.Lock(); r.running--; r.mu.Unlock() }()
	r.x.mu.Lock()
	r.x.seq++
	rec := &runRecord{runner: r.id, seal: fmt.Sprintf("%s.%d", r.id, r.x.seq), status: 200, at: time.Now(),
		org: q.Header.Get("Verbenaseam-Tenant"), key: q.Header.Get("Authorization"), path: q.RequestURI, method: q.Method, reqBody: string(body)}
	r.x.runs[id] = append(r.x.runs[id], rec)
	r.x.mu.Unlock()
	head := func(status int, extra string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nVerbenaseam-Attempt-Id: %s\r\nVerbenaseam-Server-Seal: %s\r\nVerbenaseam-Instance-Id: %s\r\n%s\r\n", status, id, rec.seal, r.id, extra)
	}
	if strings.HasPrefix(q.URL.Path, "/fault-diag/") {
		return r.stream(c, q, rec, head, bad, pick)
	}
	time.Sleep(time.Duration(5+rand.IntN(40)) * time.Millisecond)
	rec.body = fmt.Sprintf("answer %s %s %s", id, rec.seal, strings.Repeat("x", rand.IntN(9000)))
	cl := fmt.Sprintf("Content-Length: %d\r\n", len(rec.body))
	full200 := head(200, cl) + rec.body
	chunked := func() string {
		half := len(rec.body) / 2
		return head(200, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, rec.body[:half], len(rec.body)-half, rec.body[half:])
	}
	if !bad {
		if pick < 50 {
			io.WriteString(c, full200)
		} else {
			io.WriteString(c, chunked())
		}
		return true
	}
	delay := func() { time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond) }
	switch p := pick; {
	case p < 14: // unframed
		io.WriteString(c, head(200, "Connection: close\r\n")+rec.body)
		return false
	case p < 20: // unframed, reset
		io.WriteString(c, head(200, "")+rec.body[:len(rec.body)/2])
		delay()
		rst(c)
		return false
	case p < 26: // truncated
		io.WriteString(c, full200[:len(full200)-3])
		return false
	case p < 32:
		io.WriteString(c, full200[:len(full200)-3])
		delay()
		rst(c)
		return false
	case p < 40: // extra at once
		io.WriteString(c, full200+full200)
		return true
	case p < 52: // extra late
		io.WriteString(c, full200)
		delay()
		io.WriteString(c, full200)
		return true
	case p < 58: // junk after
		io.WriteString(c, full200)
		delay()
		io.WriteString(c, "junk bytes that belong to no request\r\n\r\n")
		return true
	case p < 64:
		rec.status = 500
		io.WriteString(c, head(500, cl)+rec.body)
		return true
	case p < 68: // 503 that has run
		rec.status = 503
		io.WriteString(c, head(503, cl)+rec.body)
		return true
	case p < 74: // lost
		return false
	case p < 78:
		rst(c)
		return false
	case p < 82:
		io.WriteString(c, "\x00\x01garbage, no answer at all\r\n\r\n")
		return false
	case p < 86: // split
		for _, b := range []byte(full200[:100]) {
			c.Write([]byte{b})
		}
		delay()
		io.WriteString(c, full200[100:])
		return true
	case p < 90:
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+full200)
		return true
	case p < 94:
		io.WriteString(c, head(200, cl+"Connection: close\r\n")+rec.body)
		return false
	case p < 97:
		io.WriteString(c, full200)
		delay()
		rst(c)
		return false
	default:
		time.Sleep(3 * time.Second)
		io.WriteString(c, full200)
		return true
	}
}

const pieces = 12

func (r *rawRunner) stream(c net.Conn, q *http.Request, rec *runRecord, head func(int, string) string, bad bool, pick int) bool {
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	rec.first = first
	unframed := bad && pick < 30
	if unframed {
		io.WriteString(c, head(200, "Content-Type: text/event-stream\r\n"))
	} else {
		io.WriteString(c, head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
	}
	breakAt := -1
	if bad && pick >= 15 {
		breakAt = first + rand.IntN(pieces)
	}
	write := func(text string) error {
		if unframed {
			_, err := io.WriteString(c, text)
			return err
		}
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	for n := first; n <= pieces; n++ {
		time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, q.Header.Get("Verbenaseam-Attempt-Id"))
		if n == breakAt {
			switch {
			case pick < 50: // inside an event
				write(event[:len(event)/2])
				if pick%2 == 0 {
					rst(c)
				}
				return false
			case pick < 65 && !unframed: // between events
				return false
			case pick < 80:
				time.Sleep(1500 * time.Millisecond)
			default:
				rst(c)
				return false
			}
		}
		half := rand.IntN(len(event))
		if bad && half > 0 {
			if write(event[:half]) != nil || write(event[half:]) != nil {
				return false
			}
			continue
		}
		if write(event) != nil {
			return false
		}
	}
	if unframed {
		return false
	}
	io.WriteString(c, "0\r\n\r\n")
	if bad && pick > 90 {
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		io.WriteString(c, head(200, "Content-Length: 3\r\n")+"abc")
	}
	return true
}

// runExplore is no case: it looks for broken rules.
func runExplore(b *bench) (bool, error) {
	s, storeAddress, err := newSystem(b, deploymentConfiguration())
	if err != nil {
		return false, err
	}
	x := &explorer{s: s, b: b, runs: map[string][]*runRecord{}, badShare: 0.3}
	if v, err := strconv.ParseFloat(os.Getenv("BAD"), 64); err == nil {
		x.badShare = v
	}
	var runners []*rawRunner
	for i := range 9 {
		r := &rawRunner{x: x, id: fmt.Sprintf("i-%d", i), service: "work-orders", zone: zones[i%3], host: fmt.Sprintf("127.0.15.%d", i+1), capacity: 8}
		if i >= 4 {
			r.service, r.capacity = "verbena-lm", 12
		}
		if err := r.start(); err != nil {
			return false, err
		}
		r.register()
		runners = append(runners, r)
	}
	if err := s.startEntries(4, storeAddress); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for w := range 60 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.IntN(60)) * time.Millisecond):
				}
				k := x.request(w)
				mu.Lock()
				counts[k]++
				mu.Unlock()
			}
		})
	}
	end := time.After(35 * time.Second)
	chaos := os.Getenv("CHAOS") != ""
loop:
	for {
		select {
		case <-end:
			break loop
		case <-time.After(300 * time.Millisecond):
		}
		if !chaos {
			continue
		}
		if os.Getenv("CHAOS") == "store" {
			s.store.Copy()
			time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
			if rand.IntN(2) == 0 {
				s.store.Delete(platform.TableTargets, runners[0].id)
				runners[1].register()
			}
			s.store.SetFaults(standin.StoreFaults{Unresponsive: true})
			time.Sleep(time.Duration(rand.IntN(800)) * time.Millisecond)
			s.store.Restore()
			s.store.SetFaults(standin.StoreFaults{})
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			s.store.Put(platform.TableOperator, platform.KeyConfiguration, deploymentConfiguration())
			for _, r := range runners {
				r.register()
			}
			if rand.IntN(3) == 0 {
				e := s.entries[rand.IntN(4)]
				e.stop(syscall.SIGKILL)
				e.run()
			}
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			continue
		}
		switch rand.IntN(8) {
		case 0:
			e := s.entries[rand.IntN(4)]
			sig := syscall.SIGKILL
			if rand.IntN(2) == 0 {
				sig = syscall.SIGTERM
			}
			go func() { e.stop(sig); e.run() }()
			time.Sleep(500 * time.Millisecond)
		case 1, 2:
			r := runners[rand.IntN(len(runners))]
			r.stop()
			s.store.Delete(platform.TableTargets, r.id)
			time.Sleep(100 * time.Millisecond)
			if r.start() == nil {
				r.register()
			}
		case 3:
			e := s.entries[rand.IntN(4)]
			e.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			e.signal(syscall.SIGCONT)
		case 4:
			for _, r := range runners {
				r.register()
			}
		case 5:
			s.entries[rand.IntN(4)].signal(syscall.SIGHUP)
		}
	}
	close(done)
	wg.Wait()
	time.Sleep(2 * time.Second)
	x.mu.Lock()
	defer x.mu.Unlock()
	b.record("counts %v, bad %d", counts, x.bad)
	return x.bad > 0, nil
}

type refusedRequest struct{ id string }

// request sends one request and checks the answer.
func (x *explorer) request(w int) string {
	id := x.s.nextID()
	kind := rand.IntN(3)
	method, path := "GET", "/pump-status/"+id+"?q="+id
	var body string
	switch kind {
	case 1:
		method, path = "POST", "/crew-dispatch/"+id
		body = strings.Repeat("b", rand.IntN(2000))
		if rand.IntN(5) == 0 {
			body = strings.Repeat("L", 20001+rand.IntN(300000))
		}
	case 2:
		method, path = "POST", "/fault-diag/"+id
		body = strings.Repeat("p", rand.IntN(3000))
	}
	address := x.s.resolve(zones[w%3])
	if address == "" {
		return "no entry"
	}
	request, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	request.Host = hostName
	request.Header.Set("Verbenaseam-Attempt-Id", id)
	request.Header.Set("Verbenaseam-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Token k1")
	request.Header.Set("Verbenaseam-Tenant", "evil")
	client := *callers
	client.Timeout = 3500 * time.Millisecond
	if rand.IntN(10) == 0 {
		client.Timeout = time.Duration(rand.IntN(200)) * time.Millisecond
	}
	response, err := client.Do(request)
	if err != nil {
		x.later(id, kind, method, path, body, 0)
		return "error"
	}
	defer response.Body.Close()
	seal := response.Header.Get("Verbenaseam-Server-Seal")
	if got := response.Header.Get("Verbenaseam-Attempt-Id"); got != id && got != "" {
		x.fail("%s: answer of %s", id, got)
	}
	if kind == 2 && response.StatusCode == 200 {
		return x.readStream(id, method, path, body, response)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		x.later(id, kind, method, path, body, 0)
		return "cut"
	}
	x.mu.Lock()
	var match *runRecord
	for _, rec := range x.runs[id] {
		if rec.seal == seal {
			match = rec
		}
	}
	x.mu.Unlock()
	switch {
	case response.StatusCode < 300 && match == nil:
		x.fail("%s: success without a run, seal %q", id, seal)
	case response.StatusCode < 300 && match.body != string(data):
		x.fail("%s: body of %d bytes, want %d", id, len(data), len(match.body))
	case response.StatusCode < 300 && match.status != 200:
		x.fail("%s: success where the runner failed", id)
	case seal != "" && match != nil && match.status != response.StatusCode:
		x.fail("%s: status %d, the runner gave %d", id, response.StatusCode, match.status)
	}
	x.later(id, kind, method, path, body, response.StatusCode)
	return fmt.Sprint(kind, "-", response.StatusCode)
}

func (x *explorer) readStream(id, method, path, body string, response *http.Response) string {
	reader := bufio.NewReader(response.Body)
	next := 1
	var err error
	for {
		var line string
		line, err = reader.ReadString('\n')
		if err != nil {
			break
		}
		if n, ok := strings.CutPrefix(line, "id: "); ok {
			got, _ := strconv.Atoi(strings.TrimSpace(n))
			if got != next {
				x.fail("%s: event %d, want %d", id, got, next)
			}
			next = got + 1
		}
		if d, ok := strings.CutPrefix(line, "data: "); ok && !strings.HasSuffix(strings.TrimSpace(d), id) {
			x.fail("%s: foreign event %q", id, d)
		}
	}
	x.later(id, 2, method, path, body, 200)
	if err == io.EOF {
		if next != pieces+1 {
			x.fail("%s: complete after %d events", id, next-1)
		}
		return "stream"
	}
	return "stream cut"
}

// later checks what has run, now and after the request cannot run any more.
func (x *explorer) later(id string, kind int, method, path, body string, status int) {
	check := func() {
		x.mu.Lock()
		runs := append([]*runRecord(nil), x.runs[id]...)
		x.mu.Unlock()
		if kind == 1 && len(runs) > 1 {
			x.fail("%s: an order has run %d times", id, len(runs))
		}
		if kind != 1 && len(runs) > 2 {
			x.fail("%s: has run %d times", id, len(runs))
		}
		if kind == 1 && len(runs) > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			x.fail("%s: refused %d and has run", id, status)
		}
		for _, rec := range runs {
			if rec.org != "t1" || rec.key != "" || rec.path != path || rec.method != method || rec.reqBody != body {
				x.fail("%s: runs %s %s as %q key %q body %d want %d", id, rec.method, rec.path, rec.org, rec.key, len(rec.reqBody), len(body))
			}
		}
	}
	check()
	time.AfterFunc(1500*time.Millisecond, check)
}
