package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 100 * time.Millisecond
	mapsTime     = 8 * time.Second
)

// rankHost returns the loopback address of a rank's host.
func rankHost(rank int) string { return fmt.Sprintf("127.0.11.%d", rank+1) }

// runMaps runs the agents of a group of 12 ranks. The agent of rank 0, which plans, is killed once,
// when another rank has begun to copy the first map, and started again after restartDelay.
func runMaps(b *bench) (bool, error) {
	store := standin.NewStore()
	storeAddress, err := b.serve("127.0.0.1:0", store)
	if err != nil {
		return false, err
	}
	store.Put(platform.TableOperator, platform.KeyConfiguration, modelConfiguration())
	g := newGroup(b)
	var hosts []string
	for rank := range groupRanks {
		hosts = append(hosts, rankHost(rank))
	}
	port, err := freePort(hosts...)
	if err != nil {
		return false, err
	}
	var agents []*process
	killed := make(chan struct{}, 1)
	g.onPrepare = func(rank int) {
		if rank == 0 {
			return
		}
		g.mu.Lock()
		g.onPrepare = nil
		g.mu.Unlock()
		killed <- struct{}{}
	}
	if !b.trouble {
		g.onPrepare = nil
	}
	done := make(chan struct{})
	defer close(done)
	for rank, r := range g.runners {
		address, err := b.serve(hosts[rank]+":0", r)
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%d", rank)
		store.Put(platform.TableTargets, id, registration(address, g.born))
	}
	go g.pass(done)
	for rank := range g.runners {
		settings := fmt.Sprintf("[rank]\nname = side-%d\nfailure_domain = %s\ntarget_address = %s\nservice = verbena-lm\npeer_address = %s:%s\nbandwidth = 20\n[store]\naddress = %s\n",
			rank, []string{"suva", "nadi", "lautoka"}[rank%3], b.servedAt(rank+1), hosts[rank], port, storeAddress) + boundsOf
		agent, err := b.start(fmt.Sprintf("side-%d", rank), "verbenaseam-rank", settings)
		if err != nil {
			return false, err
		}
		agents = append(agents, agent)
	}
	end := time.After(mapsTime)
	for {
		select {
		case <-killed:
			agents[0].stop(syscall.SIGKILL)
			b.record("agent of rank 0 killed")
			time.Sleep(restartDelay)
			if err := agents[0].run(); err != nil {
				return false, err
			}
			b.record("agent of rank 0 started again")
		case <-end:
			g.mu.Lock()
			defer g.mu.Unlock()
			b.record("%d passes, %d of them with different maps; map %d in use", g.step, g.mixed, g.runners[0].running)
			if g.mixed == 0 && g.runners[0].running == 0 {
				return false, fmt.Errorf("no map was ever switched to")
			}
			return g.mixed > 0, nil
		}
	}
}

func registration(address string, born int64) []byte {
	value, err := json.Marshal(map[string]any{
		"service": "verbena-lm", "address": address, "zone": "suva", "version": "v1", "capacity": 12,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": born,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

func modelConfiguration() []byte {
	value, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "fault-diag", "hostname": "h.example", "prefix": "/a/", "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 500,
			"target_gap_ms": 120, "priority": 1, "service": "verbena-lm", "max_attempts": 2, "resumable": true, "session_affinity": true,
		}},
		"services": []any{map[string]any{
			"name": "verbena-lm", "health_path": "/healthz", "max_connections": 278, "warmup_s": 3, "warmup_per_s": 26,
			"runtime": map[string]any{
				"capacity": 12, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400, "pairs_per_m": 0.525, "chunk": 512,
				"report_lag_ms": 200, "usual": map[string]any{"prompt": 800, "answer": 97}, "kv_capacity_tokens": 280000,
				"sets": groupSets, "experts": groupExperts, "rank_capacity": rankCapacity, "is_spare": newPerSet, "expert_mb": expertMB,
				"bandwidth_mbps": copyMbps, "expert_ratio": 0.85, "form_ms": 600,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}
