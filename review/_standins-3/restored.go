package main

import (
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// awayFor is how long the store is away in the drill, copyAge how old the copy is when it comes back.
	awayFor = 700 * time.Millisecond
	copyAge = 2 * time.Second
	// heartbeat is the interval at which runners write their entries.
	heartbeat = 1200 * time.Millisecond
)

// restoredRunner is case 14: a runner leaves, and the store then comes back from a copy that still holds its
// entry.
func restoredRunner(s *system, trouble bool) (broken bool, err error) {
	if err := s.start(4, 4); err != nil {
		return false, err
	}
	for _, r := range s.runners {
		r.SetFaults(standin.TargetFaults{Delay: orderWork})
	}
	c := newClient(s.record)
	time.Sleep(4 * time.Second)
	c.order(s.entries, roundOrders)
	time.Sleep(2 * time.Second)
	s.store.Copy()
	copied := time.Now()
	back := copied.Add(copyAge)
	time.Sleep(500 * time.Millisecond)
	leaver := s.runners[0]
	leaver.SetFaults(standin.TargetFaults{Delay: orderWork, Leaving: true})
	s.store.Delete(platform.TableTargets, leaver.ID)
	left := time.Now()
	s.record.note("the entry of runner %s is removed; from now on it says in all answers that it leaves", leaver.ID)
	if trouble {
		s.drill(leaver, back)
	}
	// The round is sent once the entries are in touch again, and the runner exits while it works on it.
	time.Sleep(time.Until(back.Add(contact + 250*time.Millisecond)))
	time.AfterFunc(200*time.Millisecond, func() {
		s.record.note("runner %s exits, %d ms after its entry was removed", leaver.ID, time.Since(left).Milliseconds())
		leaver.exit()
	})
	c.order(s.entries, roundOrders)
	time.Sleep(time.Second)
	return s.checkDrain(c, leaver, left, back.Add(contact)), nil
}

// drill takes the store away and lets it come back from its copy at the given time. What the operator and
// the runners that live wrote is written again; the entry of the one that has left goes after three heartbeats
// without a word of it.
func (s *system) drill(leaver *runner, back time.Time) {
	time.Sleep(time.Until(back.Add(-awayFor)))
	s.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	s.record.note("the store is away")
	time.Sleep(time.Until(back))
	s.store.Restore()
	s.store.SetFaults(standin.StoreFaults{})
	s.record.note("the store is back from a copy that is %v old", copyAge)
	time.AfterFunc(heartbeat/4, func() {
		s.configure(1)
		for _, r := range s.runners {
			if r != leaver {
				s.store.Put(platform.TableTargets, r.ID, r.RegistrationValue(r.address, "ready"))
			}
		}
	})
	time.AfterFunc(3*heartbeat, func() {
		s.store.Delete(platform.TableTargets, leaver.ID)
		s.record.note("the restored entry of runner %s is removed after three heartbeats of silence", leaver.ID)
	})
}
