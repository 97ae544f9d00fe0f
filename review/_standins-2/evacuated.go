package main

import (
	"fmt"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// evacuateTime is evacuate_ms, skewTime max_skew_ms.
	evacuateTime = 5 * time.Second
	skewTime     = 5 * time.Second
	// drillAfter is the time from the evacuation to the drill, awayTime how long the store is away
	// and rewriteTime the time from its return until the operator has written its rows again.
	drillAfter  = 7 * time.Second
	awayTime    = time.Second
	rewriteTime = 4 * time.Second
	// powerOffTime is the time from the store's return until the zone is switched off.
	powerOffTime = 3700 * time.Millisecond
	// evacuated is the zone.
	evacuated = "thamel"
)

// evacuatedZone plays a drill of the store while a zone is evacuated. It checks EVAC.
func evacuatedZone(folder string) int {
	h, err := newHarness(folder)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer h.close()
	h.store.Put("op", "config", []byte(endlessConfiguration))
	var runners []*runner
	for i, zone := range []string{evacuated, "patan", "bhaktapur"} {
		r, err := h.startRunner(10+i, "i-app-"+zone, "app", zone, 200*time.Millisecond)
		if err != nil {
			h.say("not run: %v", err)
			return exitNotRun
		}
		runners = append(runners, r)
	}
	e, err := h.startEntry(2, "edge-patan-1", "patan", 414)
	if err == nil {
		err = h.awaitReady(e)
	}
	if err != nil {
		h.say("not run: %v", err)
		return exitNotRun
	}
	orders := &evacuatedOrders{harness: h}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() { orders.send(e, n, stop) })
	}
	time.Sleep(touchTime)
	h.store.Copy()
	time.Sleep(500 * time.Millisecond)
	h.store.Put("op", "evacuate/"+evacuated, []byte("{}"))
	acknowledged := time.Now()
	h.note("the evacuation of %s is acknowledged", evacuated)
	time.Sleep(drillAfter)
	if h.trouble {
		h.note("the store is away")
		h.store.SetFaults(standin.StoreFaults{Status: 503})
		time.Sleep(awayTime)
		h.store.Restore()
		h.store.SetFaults(standin.StoreFaults{})
	} else {
		time.Sleep(awayTime)
	}
	returned := time.Now()
	h.note("the store is back")
	time.Sleep(powerOffTime)
	runners[0].switchOff()
	h.note("%s is switched off", evacuated)
	time.Sleep(rewriteTime - powerOffTime)
	h.store.Put("op", "evacuate/"+evacuated, []byte("{}"))
	h.note("the operator has written the evacuation again")
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	// The machine is in touch again, and no bound is stretched any more, from this time on.
	from := returned.Add(touchTime)
	if end := acknowledged.Add(evacuateTime + skewTime); end.After(from) {
		from = end
	}
	before, reached := runners[0].ranBetween(acknowledged.Add(evacuateTime), returned), runners[0].ranBetween(from, time.Now())
	h.say("orders by status: %v", orders.statuses)
	h.say("requests that reached a runner in %s from evacuate_ms after the acknowledgement to the store's return: %d", evacuated, before)
	h.say("requests that reached it from contact_ms after the store's return, before the evacuation is taken back: %d (EVAC allows none); orders lost there: %d", reached, runners[0].cutCount())
	if before+reached > 0 {
		return exitBroken
	}
	return exitHeld
}

type evacuatedOrders struct {
	harness *harness

	mu       sync.Mutex
	statuses map[int]int
}

// send sends at-most-once requests on a kept connection.
func (o *evacuatedOrders) send(e *entry, n int, stop <-chan struct{}) {
	caller := client{address: e.callers, host: "h.example", key: "key", deadline: 4 * time.Second}
	for number := 0; ; number++ {
		got := caller.send("POST", fmt.Sprintf("/order/%d/%d", n, number), "{\"lot\":1}")
		o.harness.note("order %s: status %d, %d ms", got.id, got.status, got.took.Milliseconds())
		o.mu.Lock()
		if o.statuses == nil {
			o.statuses = map[int]int{}
		}
		o.statuses[got.status]++
		o.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
