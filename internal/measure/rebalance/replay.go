// Package rebalance replays recorded demand for experts and compares policies of
// the product's planner: how even the ranks' loads are, and how many experts are
// copied for it.
package rebalance

import (
	"bufio"
	"compress/gzip"
	"embed"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// recordings hold a line for each 100 ms: how often each expert was chosen, layer
// after layer.
//
//go:embed testdata/*.csv.gz
var recordings embed.FS

// The group of which the recordings were made.
const (
	ranks   = 12
	layers  = 4
	experts = 72
	slots   = 8
	spare   = 3
	// megabytes is the size of an expert.
	megabytes = 2200
)

const (
	// sliceTime is the time of a line.
	sliceTime = 100 * time.Millisecond
	// tick is the time between two steps of the planner.
	tick = 20 * time.Millisecond
	// copyTime is how long a rank copies one expert.
	copyTime = 98 * time.Millisecond
	// voteTime is how long the agents take to agree.
	voteTime = 45 * time.Millisecond
	// evenStep is the time of a step on an even map; expertShare of it grows with
	// the most loaded rank's part.
	evenStep    = 50 * time.Millisecond
	expertShare = 0.85
)

// Recording is recorded demand.
type Recording struct {
	Name   string
	Slices [][]uint64
}

// FormatError means that a recording cannot be read.
type FormatError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *FormatError) Error() string { return "recording " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *FormatError) Unwrap() error { return e.Cause }

// Load reads a recording. It fails with FormatError.
func Load(name string) (Recording, error) {
	file, err := recordings.Open("testdata/" + name + ".csv.gz")
	if err != nil {
		return Recording{}, &FormatError{name, err}
	}
	defer file.Close()
	unpacked, err := gzip.NewReader(file)
	if err != nil {
		return Recording{}, &FormatError{name, err}
	}
	recording := Recording{Name: name}
	lines := bufio.NewScanner(unpacked)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		slice, err := parseLine(lines.Text())
		if err != nil {
			return Recording{}, &FormatError{name, err}
		}
		recording.Slices = append(recording.Slices, slice)
	}
	if err := lines.Err(); err != nil {
		return Recording{}, &FormatError{name, err}
	}
	return recording, nil
}

func parseLine(line string) ([]uint64, error) {
	fields := strings.Split(line, ",")
	slice := make([]uint64, len(fields))
	for at, field := range fields {
		count, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return nil, err
		}
		slice[at] = count
	}
	return slice, nil
}

// Outcome is what a policy achieved.
type Outcome struct {
	// Skew is the most loaded rank's tokens over the mean rank's, by slice.
	Skew []float64
	// Copies counts the copied experts, Maps the maps.
	Copies, Maps int
	// First is the time from the start, on the map that a group starts with, until the
	// first other map was used; 0 for never.
	First time.Duration
}

// Mean is the mean skew.
func (o Outcome) Mean() float64 {
	sum := 0.0
	for _, skew := range o.Skew {
		sum += skew
	}
	return sum / float64(len(o.Skew))
}

// Over is the part of the slices whose skew is over a limit.
func (o Outcome) Over(limit float64) float64 {
	count := 0
	for _, skew := range o.Skew {
		if skew > limit {
			count++
		}
	}
	return float64(count) / float64(len(o.Skew))
}

// group is a simulated group.
type group struct {
	running, next *rebalance.Map
	// copied is when the next map is copied by all ranks, used when it is used.
	copied, used time.Time
	step         uint64
	stepped      time.Time
}

// Replay plays a recording with a policy.
func Replay(recording Recording, policy rebalance.Policy) (Outcome, error) {
	var outcome Outcome
	start := time.Unix(0, 0)
	g := &group{running: &rebalance.Map{Experts: inTurn()}, stepped: start}
	shape := config.Experts{Sets: layers, PerSet: experts, SlotsPerRank: slots, MaxNewPerMap: spare, Megabytes: megabytes}
	planner := rebalance.NewPlanner(shape, 0, rebalance.Status{Group: "g", Size: ranks, AgentIncarnation: 1}, policy)
	sent := uint64(0)
	skew := 1.0
	for now := start; ; now = now.Add(tick) {
		at := int(now.Sub(start) / sliceTime)
		if at >= len(recording.Slices) {
			return outcome, nil
		}
		before := g.running
		g.advance(now, skew)
		if g.running != before && outcome.First == 0 {
			outcome.First = now.Sub(start)
		}
		sent++
		var chosen []uint64
		if now.Sub(start)%sliceTime == 0 && at > 0 {
			chosen = recording.Slices[at-1]
		}
		g.tell(planner, sent, chosen, now)
		if err := g.drive(planner, now, &outcome); err != nil {
			return outcome, err
		}
		if now.Sub(start)%sliceTime == 0 {
			found, err := skewOf(recording.Slices[at], g.running.Experts)
			if err != nil {
				return outcome, err
			}
			skew = found
			outcome.Skew = append(outcome.Skew, skew)
		}
	}
}

// advance lets the group make steps and use a map that is due.
func (g *group) advance(now time.Time, skew float64) {
	step := time.Duration(float64(evenStep) * (1 - expertShare + expertShare*skew))
	for !g.stepped.Add(step).After(now) {
		g.stepped = g.stepped.Add(step)
		g.step++
	}
	if !g.used.IsZero() && !now.Before(g.used) {
		g.running, g.next = g.next, nil
		g.used, g.copied = time.Time{}, time.Time{}
	}
}

// tell gives the planner the statuses of all ranks; the first has all counts.
func (g *group) tell(planner *rebalance.Planner, sent uint64, chosen []uint64, now time.Time) {
	for rank := range ranks {
		status := rebalance.Status{
			Group: "g", Size: ranks, Rank: rank, AgentIncarnation: 1, Sequence: sent, Running: g.running.ID.Number(),
			Held: make([][]int, layers),
		}
		for layer := range layers {
			status.Held[layer] = g.running.Experts[layer][rank]
		}
		if rank == 0 {
			for _, counts := range rebalance.SplitCounts(status, chosen) {
				planner.HandleCounts(counts, now)
			}
		}
		if g.next != nil && !now.Before(g.copied) {
			status.Prepared = g.next.ID.Number()
		}
		if !g.used.IsZero() {
			status.Armed = g.next.ID.Number()
		}
		planner.HandleStatus(status, netip.IPv4Unspecified(), now)
	}
}

// drive lets the planner decide and does what it wants.
func (g *group) drive(planner *rebalance.Planner, now time.Time, outcome *Outcome) error {
	decision, proposal := planner.Step(g.step, now)
	if decision != nil && decision.Kind == rebalance.Prepare {
		g.next = planner.Next()
		g.copied = now.Add(time.Duration(decision.Plan.PeakCopiesPerRank)*copyTime + tick)
		outcome.Copies += decision.Plan.Copies
		outcome.Maps++
	}
	if proposal == nil {
		return nil
	}
	if planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Commit}, now) == nil {
		return &StuckError{At: now}
	}
	lead := time.Duration(proposal.Step-g.step) * evenStep
	g.used = now.Add(max(lead, voteTime))
	return nil
}

// StuckError means that the planner does not take the end of its own proposal.
type StuckError struct{ At time.Time }

// Error implements error.
func (e *StuckError) Error() string {
	return fmt.Sprintf("the planner did not take the end of its proposal at %s", e.At)
}

// skewOf is the skew of a slice under a map.
func skewOf(slice []uint64, held [][][]int) (float64, error) {
	return placement.EqualShareSkew(inputOf(slice), held)
}

func inputOf(slice []uint64) placement.EqualShareInput {
	loads := make([][]float64, layers)
	for layer := range loads {
		loads[layer] = make([]float64, experts)
		for expert := range loads[layer] {
			loads[layer][expert] = float64(slice[layer*experts+expert])
		}
	}
	return placement.EqualShareInput{Loads: [][][]float64{loads}, Ranks: ranks, Slots: slots, MaxNewPerLayer: slots}
}

// inTurn is the map that a group starts with.
func inTurn() [][][]int {
	held := make([][][]int, layers)
	for layer := range held {
		held[layer] = make([][]int, ranks)
		for expert := range experts {
			held[layer][expert%ranks] = append(held[layer][expert%ranks], expert)
		}
	}
	return held
}

// Bound is the mean skew of the best maps that the search finds when each slice
// is known beforehand and copies cost neither time nor money.
func Bound(recording Recording) (float64, error) {
	sum := 0.0
	held := inTurn()
	for _, slice := range recording.Slices {
		plan, err := placement.ImproveEqualShare(inputOf(slice), held, placement.EqualShareSettings{MaxNewPerRank: layers * slots, MaxSteps: 1000})
		if err != nil {
			return 0, err
		}
		held = plan.Experts
		sum += plan.SkewAfter
	}
	return sum / float64(len(recording.Slices)), nil
}
