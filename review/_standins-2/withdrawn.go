package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// applyTime is config_apply_ms.
	applyTime = 2 * time.Second
	// startAfter is the time from the store's return to the start of another entry.
	startAfter = 200 * time.Millisecond
	// configurationRewriteTime is the time from the store's return until the operator has written
	// the configuration again.
	configurationRewriteTime = 5 * time.Second
	// withdrawnKey is the key that the second version takes away.
	withdrawnKey = "withdrawn"
)

// withdrawnConfiguration returns a version of the configuration with the given keys.
func withdrawnConfiguration(version int, keys string) []byte {
	text := strings.Replace(endlessConfiguration, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return []byte(strings.Replace(text, `"api_keys":["key"]`, `"api_keys":[`+keys+`]`, 1))
}

// withdrawn plays a drill of the store after a key was taken away, and the planned start of another
// entry. It checks CONFIG.
func withdrawn(folder string) int {
	h, err := newHarness(folder)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer h.close()
	h.store.Put("op", "config", withdrawnConfiguration(1, `"key","withdrawn"`))
	r, err := h.startRunner(10, "i-app-0", "app", "thamel", 20*time.Millisecond)
	if err != nil {
		h.say("not run: %v", err)
		return exitNotRun
	}
	first, err := h.startEntry(2, "edge-thamel-1", "thamel", 414)
	if err == nil {
		err = h.awaitReady(first)
	}
	if err != nil {
		h.say("not run: %v", err)
		return exitNotRun
	}
	time.Sleep(touchTime)
	h.store.Copy()
	time.Sleep(500 * time.Millisecond)
	h.store.Put("op", "config", withdrawnConfiguration(2, `"key"`))
	acknowledged := time.Now()
	h.note("version 2 is acknowledged; it takes the key %q away", withdrawnKey)
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
	time.Sleep(startAfter)
	started := time.Now()
	h.note("another entry is started")
	second, err := h.startEntry(3, "edge-thamel-2", "thamel", 414)
	if err == nil {
		err = h.awaitReady(second)
	}
	if err != nil {
		h.say("not run: %v", err)
		return exitNotRun
	}
	// Both entries are in touch again, and no bound is stretched any more, from this time on.
	from := started.Add(touchTime)
	if end := acknowledged.Add(applyTime + skewTime); end.After(from) {
		from = end
	}
	time.Sleep(time.Until(from) + 100*time.Millisecond)
	ran := 0
	for time.Since(returned) < configurationRewriteTime {
		for _, e := range []*entry{first, second} {
			got := sendWithKey(h, e, withdrawnKey)
			if got.status == http.StatusOK && r.hasAnswered(got.id) {
				ran++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.store.Put("op", "config", withdrawnConfiguration(2, `"key"`))
	h.note("the operator has written version 2 again")
	if valid := sendWithKey(h, second, "key"); valid.status != http.StatusOK {
		h.say("not run: a request with a valid key got %d", valid.status)
		return exitNotRun
	}
	h.say("orders with the key that was taken away that ran, sent by entries in touch: %d (CONFIG allows none)", ran)
	if ran > 0 {
		return exitBroken
	}
	return exitHeld
}

// sendWithKey sends an order over a new connection.
func sendWithKey(h *harness, e *entry, key string) result {
	caller := client{address: e.callers, host: "h.example", key: key, deadline: 2 * time.Second}
	defer caller.close()
	got := caller.send("POST", "/order/1", "{\"lot\":1}")
	h.note("order %s with key %q at %s: status %d", got.id, key, e.name, got.status)
	return got
}
