package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The shape of the group and its copies, as in the sheet and the site file of vrwa-pumps.
const (
	groupRanks   = 12
	groupSets    = 3
	groupExperts = 96
	rankCapacity = 11
	newPerSet    = 4
	expertMB     = 2200.0
	copyMbps     = 44000.0
	// copyTime is how long the copy of one expert takes: expertMB over copyMbps.
	copyTime     = time.Duration(expertMB * 8 / copyMbps * float64(time.Second))
	passTime     = 45 * time.Millisecond
	demandSkew   = 1.3
	picksPerPass = 300
	shiftEvery   = 3 * time.Second
)

// demandSeed selects which experts are in demand. With these experts the first map has a copy for
// each rank; a rank without one would have the map at once.
const demandSeed = 7

// group is a stand-in of a group of model runners that execute passes together.
type group struct {
	bench *bench
	name  string
	born  int64

	// mu guards the fields below and the state of the runners.
	mu      sync.Mutex
	runners []*runner
	step    uint64
	mixed   int
	random  *rand.Rand
	// order holds, by set, the experts from the most to the least wanted.
	order   [][]int
	shifted time.Time
	// onPrepare is called when a runner has begun to copy a map.
	onPrepare func(rank int)
}

// runner is one rank.
type runner struct {
	group                 *group
	rank                  int
	sequence, highest     uint64
	running, prepared     uint64
	armed, armedStep      uint64
	holding               bool
	held                  uint64
	counts                []uint64
	experts, newExperts   [][]int
	contents, newContents string
	copying               uint64
	copyEnd               time.Time
	copyContents          string
	copyExperts           [][]int
}

func newGroup(b *bench) *group {
	g := &group{bench: b, name: "group-a", born: time.Now().UnixMilli(), random: rand.New(rand.NewPCG(demandSeed, 1)), shifted: time.Now()}
	for range groupSets {
		g.order = append(g.order, g.random.Perm(groupExperts))
	}
	for rank := range groupRanks {
		r := &runner{group: g, rank: rank, counts: make([]uint64, groupSets*groupExperts), experts: make([][]int, groupSets)}
		for set := range groupSets {
			for expert := rank; expert < groupExperts; expert += groupRanks {
				r.experts[set] = append(r.experts[set], expert)
			}
		}
		g.runners = append(g.runners, r)
	}
	return g
}

// pass runs passes until done is closed.
func (g *group) pass(done <-chan struct{}) {
	for {
		wait := g.begin()
		select {
		case <-done:
			return
		case <-time.After(wait):
		}
	}
}

// begin begins the next pass, unless a rank holds it, and returns how long to wait then.
func (g *group) begin() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	copying := false
	for _, r := range g.runners {
		r.finishCopy(now)
		copying = copying || r.copying != 0
		if r.holding && r.held <= g.step+1 {
			return time.Millisecond
		}
	}
	g.step++
	g.choose(now)
	for _, r := range g.runners {
		if r.armed != 0 && r.armedStep <= g.step {
			r.running, r.experts, r.contents = r.armed, r.newExperts, r.newContents
			r.armed = 0
			g.bench.record("rank %d uses map %d, contents %.8x, from pass %d on", r.rank, r.running, digest(r.contents), g.step)
		}
	}
	g.check()
	if copying {
		return passTime * 115 / 100
	}
	return passTime
}

// check records a pass that begins while two ranks have different maps.
func (g *group) check() {
	first := g.runners[0]
	for _, r := range g.runners[1:] {
		if r.running == first.running && r.contents == first.contents {
			continue
		}
		if g.mixed == 0 {
			g.bench.record("BROKEN: pass %d begins: rank %d has map %d with contents %.8x, rank %d has map %d with contents %.8x", g.step,
				first.rank, first.running, digest(first.contents), r.rank, r.running, digest(r.contents))
		}
		g.mixed++
		return
	}
}

// digest returns a short checksum for the record.
func digest(text string) uint64 {
	sum := uint64(14695981039346656037)
	for i := range len(text) {
		sum = (sum ^ uint64(text[i])) * 1099511628211
	}
	return sum
}

// choose counts the experts that the requests of a pass choose. Other experts are in demand from
// time to time.
func (g *group) choose(now time.Time) {
	if now.Sub(g.shifted) >= shiftEvery {
		g.shifted = now
		for set := range g.order {
			for range groupExperts / 4 {
				a, b := g.random.IntN(groupExperts), g.random.IntN(groupExperts)
				g.order[set][a], g.order[set][b] = g.order[set][b], g.order[set][a]
			}
		}
	}
	total := 0.0
	shares := make([]float64, groupExperts)
	for place := range shares {
		shares[place] = 1 / math.Pow(float64(place+1), demandSkew)
		total += shares[place]
	}
	for _, r := range g.runners {
		for set := range groupSets {
			for place, share := range shares {
				mean := share / total * picksPerPass
				count := mean + math.Sqrt(mean)*g.random.NormFloat64()
				r.counts[set*groupExperts+g.order[set][place]] += uint64(max(count+0.5, 0))
			}
		}
	}
}

func (r *runner) finishCopy(now time.Time) {
	if r.copying != 0 && !now.Before(r.copyEnd) {
		r.prepared, r.newExperts, r.newContents = r.copying, r.copyExperts, r.copyContents
		r.group.bench.record("rank %d has copied map %d, contents %.8x", r.rank, r.prepared, digest(r.newContents))
		r.copying = 0
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch request.URL.Path {
	case "/v1/report":
		r.report(w)
	case "/v1/picked":
		r.picked(w, request)
	case "/v1/order":
		r.order(w, request)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r.finishCopy(time.Now())
	body := map[string]any{
		"phase": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"busy": r.copying != 0, "sequence": r.sequence, "queued": 0, "active": 6, "kv_used": 9000, "kv_total": 280000, "handles": 0,
		"group": map[string]any{"name": g.name, "epoch": 1, "rank": r.rank, "state": "open"}, "size": groupRanks,
		"step": g.step, "mapping": r.running, "preloaded": nil, "enabled": nil, "held": nil, "pace": 1.0, "born": g.born,
	}
	if r.prepared != 0 {
		body["preloaded"] = r.prepared
	}
	if r.armed != 0 {
		body["enabled"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.holding {
		body["held"] = r.held
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (r *runner) picked(w http.ResponseWriter, request *http.Request) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.URL.Query().Has("lists") {
		body := map[string]any{"step": g.step, "epoch": 1, "mapping": map[string]any{"version": r.running, "experts": r.experts}, "preloaded": nil}
		if r.prepared != 0 {
			body["preloaded"] = map[string]any{"version": r.prepared, "experts": r.newExperts}
		}
		_ = json.NewEncoder(w).Encode(body)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"step": g.step, "epoch": 1, "counts": r.counts})
}

// orderBody is the body of an order.
type orderBody struct {
	Op       string    `json:"op"`
	Expected *uint64   `json:"expected"`
	Epoch    *uint64   `json:"epoch"`
	Version  uint64    `json:"version"`
	Step     uint64    `json:"step"`
	Mapping  [][][]int `json:"mapping"`
}

func (r *runner) order(w http.ResponseWriter, request *http.Request) {
	var order orderBody
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.group
	g.mu.Lock()
	status := r.execute(order, time.Now())
	detail := fmt.Sprintf("version %d step %d", order.Version, order.Step)
	if order.Op == "prepare" {
		detail = fmt.Sprintf("version %d contents %.8x", order.Version, digest(fmt.Sprint(order.Mapping)))
	}
	g.bench.record("rank %d order %s %s: %d", r.rank, order.Op, detail, status)
	onPrepare := g.onPrepare
	g.mu.Unlock()
	if order.Op == "prepare" && status == http.StatusAccepted && onPrepare != nil {
		onPrepare(r.rank)
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte("{}"))
}

// execute carries out an order and returns the status of the response.
func (r *runner) execute(order orderBody, now time.Time) int {
	r.finishCopy(now)
	if order.Epoch != nil && *order.Epoch != 1 || order.Expected != nil && *order.Expected != r.sequence {
		return http.StatusConflict
	}
	g := r.group
	switch order.Op {
	case "prepare":
		added, valid := r.added(order.Mapping)
		if !valid || order.Version <= r.highest || r.armed != 0 {
			return http.StatusConflict
		}
		r.highest, r.copying, r.copyEnd = order.Version, order.Version, now.Add(time.Duration(added)*copyTime)
		r.copyContents, r.copyExperts = fmt.Sprint(order.Mapping), nil
		for set := range order.Mapping {
			r.copyExperts = append(r.copyExperts, order.Mapping[set][r.rank])
		}
	case "arm":
		if order.Version != r.prepared || r.copying != 0 || order.Step <= g.step || r.armed != 0 {
			return http.StatusConflict
		}
		r.armed, r.armedStep = order.Version, order.Step
	case "disarm":
		if r.armed != order.Version {
			return http.StatusConflict
		}
		r.armed = 0
	case "reservation":
		if r.holding || order.Step <= g.step {
			return http.StatusConflict
		}
		r.holding, r.held = true, order.Step
	case "go":
		if !r.holding || r.held != order.Step {
			return http.StatusConflict
		}
		r.holding = false
	default:
		return http.StatusBadRequest
	}
	r.sequence++
	return http.StatusAccepted
}

// added returns how many experts of a map are new to the rank, and whether the map is one that
// the rank takes.
func (r *runner) added(mapping [][][]int) (count int, valid bool) {
	if len(mapping) != groupSets {
		return 0, false
	}
	for set, ranks := range mapping {
		if len(ranks) != groupRanks {
			return 0, false
		}
		placed := map[int]bool{}
		for _, experts := range ranks {
			if len(experts) > rankCapacity {
				return 0, false
			}
			for _, expert := range experts {
				placed[expert] = true
			}
		}
		held := map[int]bool{}
		for _, expert := range r.experts[set] {
			held[expert] = true
		}
		inSet := 0
		for _, expert := range ranks[r.rank] {
			if !held[expert] {
				inSet++
			}
		}
		if len(placed) != groupExperts || inSet > newPerSet {
			return 0, false
		}
		count += inSet
	}
	return count, true
}
