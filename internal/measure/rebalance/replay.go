// Package rebalance replays recorded expert demand and compares policies of the
// planner in package version/rebalance by the load skew of the ranks and the number of
// copied experts.
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

// recordings contain one line per 100 ms with the number of times that each expert was
// chosen, layer by layer.
//
//go:embed testdata/*.csv.gz
var recordings embed.FS

// The dimensions of the group on which the recordings were made.
const (
	ranks           = 12
	layers          = 4
	experts         = 72
	slotsPerRank    = 8
	maxNewPerMap    = 3
	expertMegabytes = 2200
)

const (
	// sliceDuration is the time that a line covers.
	sliceDuration = 100 * time.Millisecond
	// plannerInterval is the time between two planner steps.
	plannerInterval = 20 * time.Millisecond
	// copyTime is the time that a rank needs to copy one expert.
	copyTime = 98 * time.Millisecond
	// agreementTime is the time that the agents need to agree on a map switch.
	agreementTime = 45 * time.Millisecond
	// balancedStepTime is the duration of a step without skew; the fraction expertShare
	// of it is proportional to the skew.
	balancedStepTime = 50 * time.Millisecond
	expertShare      = 0.85
)

// Recording is recorded demand: the counts of all experts, layer by layer, per slice.
type Recording struct {
	Name   string
	Slices [][]uint64
}

// RecordingError reports that a recording cannot be read.
type RecordingError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *RecordingError) Error() string { return "recording " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *RecordingError) Unwrap() error { return e.Cause }

// LoadRecording reads a recording. Errors are of type *RecordingError.
func LoadRecording(name string) (Recording, error) {
	file, err := recordings.Open("testdata/" + name + ".csv.gz")
	if err != nil {
		return Recording{}, &RecordingError{name, err}
	}
	defer file.Close()
	unpacked, err := gzip.NewReader(file)
	if err != nil {
		return Recording{}, &RecordingError{name, err}
	}
	recording := Recording{Name: name}
	lines := bufio.NewScanner(unpacked)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		slice, err := parseLine(lines.Text())
		if err != nil {
			return Recording{}, &RecordingError{name, err}
		}
		recording.Slices = append(recording.Slices, slice)
	}
	if err := lines.Err(); err != nil {
		return Recording{}, &RecordingError{name, err}
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

// Outcome holds the measurements of a policy.
type Outcome struct {
	// Skew is the token count of the most loaded rank divided by the mean over the
	// ranks, by slice.
	Skew []float64
	// Copies is the number of copied experts, Maps the number of prepared maps.
	Copies, Maps int
	// FirstSwitch is the time from the start to the switch from the initial map to
	// another; 0 means that no switch occurred.
	FirstSwitch time.Duration
}

func (o Outcome) MeanSkew() float64 {
	sum := 0.0
	for _, skew := range o.Skew {
		sum += skew
	}
	return sum / float64(len(o.Skew))
}

// ShareOver returns the fraction of slices whose skew exceeds limit.
func (o Outcome) ShareOver(limit float64) float64 {
	count := 0
	for _, skew := range o.Skew {
		if skew > limit {
			count++
		}
	}
	return float64(count) / float64(len(o.Skew))
}

// group is a simulated lock-step group.
type group struct {
	running, next *rebalance.Map
	// copiedAt is when all ranks have copied the experts of the next map, switchAt when
	// the group switches to it.
	copiedAt, switchAt time.Time
	step               uint64
	steppedAt          time.Time
}

// Replay runs the planner with a policy against a recording.
func Replay(recording Recording, policy rebalance.Policy) (Outcome, error) {
	var outcome Outcome
	start := time.Unix(0, 0)
	g := &group{running: &rebalance.Map{Experts: initialMap()}, steppedAt: start}
	shape := config.Experts{Sets: layers, PerSet: experts, SlotsPerRank: slotsPerRank, MaxNewPerMap: maxNewPerMap, Megabytes: expertMegabytes, CopyTime: copyTime}
	planner := rebalance.NewPlanner(expertmap.GroupID{Name: "g"}, shape, 0, rebalance.Status{Size: ranks, AgentIncarnation: 1}, policy)
	sequence := uint64(0)
	skew := 1.0
	for now := start; ; now = now.Add(plannerInterval) {
		at := int(now.Sub(start) / sliceDuration)
		if at >= len(recording.Slices) {
			return outcome, nil
		}
		before := g.running
		g.advance(now, skew)
		if g.running != before && outcome.FirstSwitch == 0 {
			outcome.FirstSwitch = now.Sub(start)
		}
		sequence++
		var counts []uint64
		if now.Sub(start)%sliceDuration == 0 && at > 0 {
			counts = recording.Slices[at-1]
		}
		g.reportStatuses(planner, sequence, counts, now)
		if err := g.stepPlanner(planner, now, &outcome); err != nil {
			return outcome, err
		}
		if now.Sub(start)%sliceDuration == 0 {
			measured, err := sliceSkew(recording.Slices[at], g.running.Experts)
			if err != nil {
				return outcome, err
			}
			skew = measured
			outcome.Skew = append(outcome.Skew, skew)
		}
	}
}

// advance simulates the steps until now and a switch that is due.
func (g *group) advance(now time.Time, skew float64) {
	step := time.Duration(float64(balancedStepTime) * (1 - expertShare + expertShare*skew))
	for !g.steppedAt.Add(step).After(now) {
		g.steppedAt = g.steppedAt.Add(step)
		g.step++
	}
	if !g.switchAt.IsZero() && !now.Before(g.switchAt) {
		g.running, g.next = g.next, nil
		g.switchAt, g.copiedAt = time.Time{}, time.Time{}
	}
}

// reportStatuses sends the statuses of all ranks to the planner. The first rank reports
// the counts of all ranks.
func (g *group) reportStatuses(planner *rebalance.Planner, sequence uint64, counts []uint64, now time.Time) {
	for rank := range ranks {
		status := rebalance.Status{
			Size: ranks, Rank: rank, AgentIncarnation: 1, Sequence: sequence, Running: g.running.ID.Number(),
			Held: make([][]int, layers),
		}
		for layer := range layers {
			status.Held[layer] = g.running.Experts[layer][rank]
		}
		if rank == 0 {
			for _, part := range rebalance.SplitCounts(rank, counts) {
				planner.HandleCounts(part, now)
			}
		}
		if g.next != nil && !now.Before(g.copiedAt) {
			status.Prepared = g.next.ID.Number()
		}
		if !g.switchAt.IsZero() {
			status.Armed = g.next.ID.Number()
		}
		planner.HandleStatus(status, netip.IPv4Unspecified(), now)
	}
}

// stepPlanner runs a planner step and carries out the decision and proposal.
func (g *group) stepPlanner(planner *rebalance.Planner, now time.Time, outcome *Outcome) error {
	if claim := planner.Claim(0); claim != 0 {
		// The engine of the planner's rank accepts each claim.
		planner.ClaimSent()
		planner.Claim(claim)
	}
	decision, proposal := planner.Step(g.step, now)
	if decision != nil && decision.Kind == rebalance.Prepare {
		g.next = planner.MapToCopy()
		g.copiedAt = now.Add(time.Duration(decision.Plan.PeakCopiesPerRank)*copyTime + plannerInterval)
		outcome.Copies += decision.Plan.Copies
		outcome.Maps++
	}
	if proposal == nil {
		return nil
	}
	if planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Commit}, now) == nil {
		return &OutcomeIgnoredError{At: now}
	}
	lead := time.Duration(proposal.Step-g.step) * balancedStepTime
	g.switchAt = now.Add(max(lead, agreementTime))
	return nil
}

// OutcomeIgnoredError reports that the planner ignored the outcome of its own proposal.
type OutcomeIgnoredError struct{ At time.Time }

// Error implements error.
func (e *OutcomeIgnoredError) Error() string {
	return fmt.Sprintf("the planner ignored the outcome of its proposal at %s", e.At)
}

// sliceSkew returns the skew of a slice on a map.
func sliceSkew(slice []uint64, held [][][]int) (float64, error) {
	return placement.EqualShareSkew(sliceInput(slice), held)
}

func sliceInput(slice []uint64) placement.EqualShareInput {
	loads := make([][]float64, layers)
	for layer := range loads {
		loads[layer] = make([]float64, experts)
		for expert := range loads[layer] {
			loads[layer][expert] = float64(slice[layer*experts+expert])
		}
	}
	return placement.EqualShareInput{Loads: [][][]float64{loads}, Ranks: ranks, Slots: slotsPerRank, MaxNewPerLayer: slotsPerRank}
}

// initialMap returns the map that a group starts with, which assigns experts to ranks
// round-robin.
func initialMap() [][][]int {
	held := make([][][]int, layers)
	for layer := range held {
		held[layer] = make([][]int, ranks)
		for expert := range experts {
			held[layer][expert%ranks] = append(held[layer][expert%ranks], expert)
		}
	}
	return held
}

// BestMeanSkew returns the mean skew of the best maps that the search finds if each
// slice is known in advance and copies are free and take no time.
func BestMeanSkew(recording Recording) (float64, error) {
	sum := 0.0
	held := initialMap()
	for _, slice := range recording.Slices {
		plan, err := placement.ImproveEqualShare(sliceInput(slice), held, placement.EqualShareSettings{MaxNewPerRank: layers * slotsPerRank, MaxSteps: 1000})
		if err != nil {
			return 0, err
		}
		held = plan.Experts
		sum += plan.SkewAfter
	}
	return sum / float64(len(recording.Slices)), nil
}
