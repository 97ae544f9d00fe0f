package main

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

const groupConfiguration = `{"version":1,"routes":[
 {"name":"sort-note","hostname":"h.example","prefix":"/sort/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":"pool","max_attempts":2,"resumable":true,"target_gap_ms":120}],
 "services":[{"name":"pool","health_path":"/healthz","max_connections":418,"warmup_s":3.0,"warmup_per_s":36.0,"runtime":{"capacity":12,"kv_capacity_tokens":280000,"bandwidth_mbps":180000.0,"stride":4,"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":97},"sets":4,"experts":72,"rank_capacity":8,"is_spare":3,"expert_mb":2200.0,"expert_ratio":0.85,"form_ms":600.0}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"org","api_keys":["key"]}]}`

const (
	// victim is the rank whose order stays unanswered, frozen the one whose agent is frozen.
	victim, frozen = 2, 3
	// lateTime is how late that order is carried out (applied_late: 2 to 12 s).
	lateTime = 2500 * time.Millisecond
	// freezeTime is how long the agent is frozen (for_s of node_freeze in the site file).
	freezeTime = 4 * time.Second
	// roundTime is the time from the beginning of a vote to the next shift of demand.
	roundTime = 7 * time.Second
	rounds    = 8
)

// mixedMaps plays votes on maps. During each, one order to arm stays unanswered, one answer is
// copied late and one agent is frozen. It checks MAP.
func mixedMaps(folder string) int {
	h, err := newHarness(folder)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer h.close()
	h.store.Put("op", "config", []byte(groupConfiguration))
	g, err := h.startGroup(20, "pool")
	if err != nil {
		h.say("not run: %v", err)
		return exitNotRun
	}
	t := &mixedTrouble{group: g, trouble: h.trouble, without: os.Getenv("WITHOUT")}
	udpPort := portOf(freeUDP(h.ip(20)))
	for rank, e := range g.ranks {
		agent, err := h.startAgent(20+rank, e, "pool", udpPort)
		if err != nil {
			h.say("not run: %v", err)
			return exitNotRun
		}
		if rank == frozen {
			t.agent = agent
		}
	}
	if !g.await(20*time.Second, func() bool { return g.ranks[0].running.version != 0 }) {
		h.say("not run: no map came into use")
		return exitNotRun
	}
	h.say("the first map is in use")
	for round := 1; round <= rounds && len(g.mixedPasses()) == 0; round++ {
		g.mu.Lock()
		g.hot = (g.hot + 5) % groupRanks
		t.round()
		g.onOrder, g.lateCopy = t.onOrder, t.onReport
		g.mu.Unlock()
		h.note("round %d: other experts are in demand", round)
		if g.await(20*time.Second, func() bool { return t.voting }) {
			time.Sleep(roundTime)
		}
	}
	mixed := g.mixedPasses()
	h.say("votes: %d; passes that began with two maps: %d", t.votes, len(mixed))
	if len(mixed) > 0 {
		h.say("the first one: %s", mixed[0])
		return exitBroken
	}
	return exitHeld
}

func (g *group) mixedPasses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// await waits until a condition on the group holds.
func (g *group) await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		holds := condition()
		g.mu.Unlock()
		if holds {
			return true
		}
	}
	return false
}

// mixedTrouble decides on the disruptions of a round. The group's mu guards it.
type mixedTrouble struct {
	group   *group
	trouble bool
	// without names a disruption that is left out: freeze, copy or late.
	without string
	// agent is that of the rank frozen.
	agent *exec.Cmd
	votes int
	// voting is set once a vote of the round has begun, on a switch at voteStep.
	voting   bool
	voteStep uint64
	// unanswered is set once the victim's order has stayed unanswered; reports counts the reports
	// that its agent has read since.
	unanswered bool
	reports    int
}

// round begins another round.
func (t *mixedTrouble) round() { t.voting, t.unanswered, t.reports = false, false, 0 }

// farAhead is a distance of steps that no switch has; agents hold so far ahead for other reasons.
const farAhead = 1000

// onOrder freezes an agent when a vote begins, and leaves the victim's first order to arm
// unanswered.
func (t *mixedTrouble) onOrder(rank int, o order) time.Duration {
	if o.Op == "reservation" && o.Step < t.group.step+farAhead && !t.voting {
		t.voting, t.voteStep = true, o.Step
		t.votes++
		if t.trouble && t.without != "freeze" {
			t.freeze()
		}
	}
	if t.trouble && t.voting && !t.unanswered && rank == victim && o.Op == "arm" && o.Step == t.voteStep {
		t.unanswered = true
		if t.without == "late" {
			// It is lost: no answer, and it is never carried out.
			return 24 * time.Hour
		}
		return lateTime
	}
	return 0
}

// freeze freezes the agent for freezeTime.
func (t *mixedTrouble) freeze() {
	t.group.harness.note("the agent of rank %d is frozen for %v", frozen, freezeTime)
	_ = t.agent.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(freezeTime, func() {
		t.group.harness.note("the agent of rank %d goes on", frozen)
		_ = t.agent.Process.Signal(syscall.SIGCONT)
	})
}

// onReport lets a late copy come before the second report that the victim's agent reads after its
// order.
func (t *mixedTrouble) onReport(rank int) bool {
	if rank != victim || !t.unanswered {
		return false
	}
	t.reports++
	return t.reports == 2 && t.without != "copy"
}
