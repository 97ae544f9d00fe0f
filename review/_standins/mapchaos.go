package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// runMapChaos is no case: it looks for broken rules.
func runMapChaos(b *bench) (bool, error) {
	store := standin.NewStore()
	storeAddress, err := b.serve("127.0.0.1:0", store)
	if err != nil {
		return false, err
	}
	store.Put(platform.TableOperator, platform.KeyConfiguration, modelConfiguration())
	g := newGroup(b)
	g.late, _ = strconv.ParseFloat(os.Getenv("LATE"), 64)
	mode := os.Getenv("MODE")
	var hosts []string
	for rank := range groupRanks {
		hosts = append(hosts, rankHost(rank))
	}
	port, err := freePort(hosts...)
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	for rank, r := range g.runners {
		address, err := b.serve(hosts[rank]+":0", r)
		if err != nil {
			return false, err
		}
		store.Put(platform.TableTargets, fmt.Sprintf("i-%d", rank), registration(address, g.born))
	}
	go g.pass(done)
	var agents []*process
	for rank := range g.runners {
		settings := fmt.Sprintf("[rank]\nname = side-%d\nfailure_domain = %s\ntarget_address = %s\nservice = verbena-lm\npeer_address = %s:%s\nbandwidth = 20\n[store]\naddress = %s\n",
			rank, []string{"suva", "nadi", "lautoka"}[rank%3], b.servedAt(rank+1), hosts[rank], port, storeAddress) + boundsOf
		agent, err := b.start(fmt.Sprintf("side-%d", rank), "verbenaseam-rank", settings)
		if err != nil {
			return false, err
		}
		agents = append(agents, agent)
	}
	end := time.After(60 * time.Second)
	stuck := time.Duration(0)
	last, since := uint64(0), time.Now()
	for {
		select {
		case <-end:
			g.mu.Lock()
			defer g.mu.Unlock()
			b.record("%d passes, %d mixed; map %d; longest standstill %s", g.step, g.mixed, g.runners[0].running, stuck)
			return g.mixed > 0, nil
		case <-time.After(time.Duration(20+rand.IntN(200)) * time.Millisecond):
		}
		g.mu.Lock()
		if g.step != last {
			last, since = g.step, time.Now()
		}
		stuck = max(stuck, time.Since(since))
		g.mu.Unlock()
		a := agents[rand.IntN(len(agents))]
		if rand.IntN(3) == 0 {
			a = agents[0]
		}
		switch {
		case mode == "kill" || mode == "both" && rand.IntN(2) == 0:
			go func() {
				a.stop(syscall.SIGKILL)
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				_ = a.run()
			}()
			time.Sleep(time.Duration(rand.IntN(1200)) * time.Millisecond)
		case mode == "freeze" || mode == "both":
			go func() {
				a.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				a.signal(syscall.SIGCONT)
			}()
			time.Sleep(time.Duration(rand.IntN(1200)) * time.Millisecond)
		}
	}
}
