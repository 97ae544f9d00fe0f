package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"
)

// Shape of the group, from the sheet of petal-dry.
const (
	groupRanks   = 12
	groupSets    = 4
	groupExperts = 72
	rankCapacity = 8
	maxNew       = 3
	// passTime is the time of a pass, copyTime that of copying one expert.
	passTime = 45 * time.Millisecond
	copyTime = 15 * time.Millisecond
)

// group is a stand-in of a lock-step group as PROTOCOL.md describes it. Its ranks are engines.
type group struct {
	harness *harness

	mu    sync.Mutex
	ranks []*engine
	step  uint64
	// hot is the rank whose experts of map 0 are in demand.
	hot int
	// mixed are the passes that began with two maps.
	mixed []string
	// onOrder is called with each order before it is carried out, with mu held. It returns for
	// how long the order is to wait unanswered, 0 for none.
	onOrder func(rank int, order order) time.Duration
	// lateCopy is called at each GET /v1/report on a connection that has carried an answer of
	// /v1/picked, with mu held. It returns whether a late copy of that answer comes first.
	lateCopy func(rank int) bool
}

// engine is one rank of a group.
type engine struct {
	group   *group
	rank    int
	address string
	// sequence counts the orders that began something.
	sequence  uint64
	highest   uint64
	running   expertMap
	prepared  expertMap
	copiedAt  time.Time
	armed     bool
	armedStep uint64
	holding   bool
	held      uint64
	counts    []uint64
}

// expertMap is a map by version and contents, by set and rank.
type expertMap struct {
	version uint64
	experts [][][]int
}

func (m expertMap) same(other expertMap) bool {
	return m.version == other.version && fmt.Sprint(m.experts) == fmt.Sprint(other.experts)
}

// order is the body of POST /v1/order.
type order struct {
	Op       string    `json:"op"`
	Expected *uint64   `json:"expected"`
	Epoch    *uint64   `json:"epoch"`
	Version  uint64    `json:"version"`
	Step     uint64    `json:"step"`
	Mapping  [][][]int `json:"mapping"`
}

// epoch is that of the group, which never breaks.
const epoch = 1

// initialMap is map 0, which assigns experts in turn.
func initialMap() expertMap {
	m := expertMap{}
	for range groupSets {
		set := make([][]int, groupRanks)
		for expert := range groupExperts {
			set[expert%groupRanks] = append(set[expert%groupRanks], expert)
		}
		m.experts = append(m.experts, set)
	}
	return m
}

// startGroup starts the engines on the machines from the given one on, registers them and begins
// passes.
func (h *harness) startGroup(machine int, service string) (*group, error) {
	g := &group{harness: h}
	for rank := range groupRanks {
		listener, err := net.Listen("tcp", h.ip(machine+rank)+":0")
		if err != nil {
			return nil, err
		}
		e := &engine{group: g, rank: rank, address: listener.Addr().String(), running: initialMap(), counts: make([]uint64, groupSets*groupExperts)}
		g.ranks = append(g.ranks, e)
		h.store.Put("servers", fmt.Sprintf("i-pool-%d", rank), fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"thamel","version":"v1","capacity":12,"state":"ready","warmup_left_ms":0,"sequence":1,"born":%d}`,
			service, e.address, h.started.UnixMilli()))
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go e.serve(c)
			}
		}()
	}
	go func() {
		for {
			time.Sleep(passTime)
			g.pass()
		}
	}()
	return g, nil
}

// pass begins the next pass, unless a rank holds it.
func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ranks {
		if e.holding && e.held <= g.step+1 {
			return
		}
	}
	g.step++
	for _, e := range g.ranks {
		if e.armed && e.armedStep <= g.step {
			e.running, e.armed = e.prepared, false
			g.harness.note("pass %d: rank %d switches to map %d", g.step, e.rank, e.running.version)
		}
		for set := range groupSets {
			for expert := range groupExperts {
				count := uint64(1)
				if expert%groupRanks == g.hot {
					count = 12
				}
				e.counts[set*groupExperts+expert] += count
			}
		}
	}
	for _, e := range g.ranks {
		if !e.running.same(g.ranks[0].running) {
			text := fmt.Sprintf("pass %d begins with map %d at rank 0 and map %d at rank %d", g.step, g.ranks[0].running.version, e.running.version, e.rank)
			g.mixed = append(g.mixed, text)
			g.harness.note("MAP: %s", text)
			return
		}
	}
}

// serve serves a connection.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	picked := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		status, answer, late := 200, "", ""
		switch request.URL.Path {
		case "/v1/report":
			answer, late = e.report(picked)
			if late != "" {
				picked = ""
			}
		case "/v1/picked":
			answer = e.picked(request.URL.Query().Has("lists"))
		case "/v1/order":
			var answered bool
			if status, answered = e.receive(body); !answered {
				time.Sleep(time.Second)
				return
			}
		default:
			status = 404
		}
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(answer))
		if strings.HasPrefix(request.URL.Path, "/v1/picked") {
			picked = head + answer
		}
		if _, err := io.WriteString(c, late+head+answer); err != nil {
			return
		}
	}
}

// report returns the answer of GET /v1/report, and what comes before it.
func (e *engine) report(picked string) (answer, late string) {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if picked != "" && g.lateCopy != nil && g.lateCopy(e.rank) {
		late = picked
		g.harness.note("rank %d: a second copy of its answer of /v1/picked comes late, before that of /v1/report", e.rank)
	}
	body := map[string]any{
		"phase": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"group": map[string]any{"name": "g", "epoch": epoch, "rank": e.rank, "state": "open"}, "size": groupRanks,
		"sequence": e.sequence, "step": g.step, "mapping": e.running.version, "preloaded": nil, "enabled": nil, "held": nil,
		"born": g.harness.started.UnixMilli(), "pace": 1.0, "active": 1, "queued": 0, "kv_used": 0, "kv_total": 280000, "handles": 0,
	}
	if e.prepared.version != 0 && !time.Now().Before(e.copiedAt) {
		body["preloaded"] = e.prepared.version
	}
	if e.armed {
		body["enabled"] = map[string]any{"version": e.prepared.version, "step": e.armedStep}
	}
	if e.holding {
		body["held"] = e.held
	}
	return encode(body), late
}

// picked returns the answer of GET /v1/picked.
func (e *engine) picked(lists bool) string {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	born := g.harness.started.UnixMilli()
	if lists {
		return encode(map[string]any{"epoch": epoch, "born": born, "mapping": e.own(e.running), "preloaded": e.own(e.prepared)})
	}
	return encode(map[string]any{"step": g.step, "epoch": epoch, "born": born, "counts": e.counts})
}

// own returns a map's version and the experts of this rank, by set.
func (e *engine) own(m expertMap) any {
	var experts [][]int
	for _, set := range m.experts {
		experts = append(experts, set[e.rank])
	}
	return map[string]any{"version": m.version, "experts": experts}
}

func encode(body any) string {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return string(text)
}

// receive carries out an order, now or late. It returns false if the order stays unanswered.
func (e *engine) receive(body []byte) (status int, answered bool) {
	g := e.group
	var received order
	if json.Unmarshal(body, &received) != nil {
		return http.StatusBadRequest, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := time.Duration(0)
	if g.onOrder != nil {
		wait = g.onOrder(e.rank, received)
	}
	if wait == 0 {
		status = e.execute(received)
		g.harness.note("rank %d: %s version %d step %d: %d", e.rank, received.Op, received.Version, received.Step, status)
		return status, true
	}
	g.harness.note("rank %d: %s version %d step %d stays unanswered and is carried out %v later", e.rank, received.Op, received.Version, received.Step, wait)
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.harness.note("rank %d: the late %s version %d step %d: %d", e.rank, received.Op, received.Version, received.Step, e.execute(received))
	})
	return 0, false
}

// execute carries out an order. The caller holds the group's mu.
func (e *engine) execute(o order) int {
	if o.Epoch != nil && *o.Epoch != epoch || o.Expected != nil && *o.Expected != e.sequence || !e.begin(o) {
		return http.StatusConflict
	}
	e.sequence++
	return http.StatusAccepted
}

// begin carries out an order unless it does not fit the state.
func (e *engine) begin(o order) bool {
	step := e.group.step
	switch o.Op {
	case "prepare":
		if o.Version <= e.highest || e.armed || len(o.Mapping) != groupSets || e.newExperts(o.Mapping) > maxNew {
			return false
		}
		e.highest, e.prepared = o.Version, expertMap{o.Version, o.Mapping}
		e.copiedAt = time.Now().Add(time.Duration(e.newExperts(o.Mapping)) * copyTime)
	case "arm":
		if o.Version != e.prepared.version || time.Now().Before(e.copiedAt) || step >= o.Step {
			return false
		}
		e.armed, e.armedStep = true, o.Step
	case "disarm":
		if !e.armed || e.prepared.version != o.Version {
			return false
		}
		e.armed = false
	case "reservation":
		if e.holding || step >= o.Step {
			return false
		}
		e.holding, e.held = true, o.Step
	case "go":
		if !e.holding || e.held != o.Step {
			return false
		}
		e.holding = false
	default:
		return false
	}
	return true
}

// newExperts returns the largest number of experts of a set that a map adds to the rank.
func (e *engine) newExperts(mapping [][][]int) int {
	most := 0
	for set := range mapping {
		added := 0
		for _, expert := range mapping[set][e.rank] {
			if !slices.Contains(e.running.experts[set][e.rank], expert) {
				added++
			}
		}
		most = max(most, added)
	}
	return most
}

// startAgent starts a process of the role rank.
func (h *harness) startAgent(machine int, e *engine, service, udpPort string) (*exec.Cmd, error) {
	name := fmt.Sprintf("side-thamel-%d", e.rank)
	values := map[string]string{
		"node_name": name, "zone": "thamel", "app": e.address, "service": service, "ip": h.ip(machine),
		"internal_ports.0": udpPort, "limits.bandwidth_mbps": "20", "platform.address": h.storeAddress,
	}
	settings := h.folder + "/" + name + ".ini"
	command, err := h.render("rank", values, settings)
	if err != nil {
		return nil, err
	}
	return h.start(command, settings, h.folder+"/"+name+".log")
}
