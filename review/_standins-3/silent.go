package main

import (
	"context"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform"
)

// silentConnections is case 12: all open connections between the entries and the store go silent for
// good, while new ones work, and a runner leaves without reporting it.
func silentConnections(s *system, trouble bool) (broken bool, err error) {
	if err := s.start(4, 4); err != nil {
		return false, err
	}
	c := newClient(s.record)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { c.run(ctx, s.entries, 25*time.Millisecond) })
	defer clients.Wait()
	defer stop()
	time.Sleep(4 * time.Second)
	s.configure(2)
	time.Sleep(300 * time.Millisecond)
	silenced := time.Now()
	if trouble {
		for i, l := range s.storeLinks {
			s.record.note("%d connections of %s to the store go silent", l.silence(), s.entries[i].name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	leaver := s.runners[0]
	s.store.Delete(platform.TableTargets, leaver.ID)
	left := time.Now()
	s.record.note("the entry of runner %s is removed; it goes on serving", leaver.ID)
	time.Sleep(7 * time.Second)
	stop()
	clients.Wait()
	return s.checkDrain(c, leaver, left, silenced.Add(contact)), nil
}

// checkDrain checks the rule DRAIN for a runner whose leaving the store has acknowledged. Requests count
// that were sent to entries after these were in touch again.
func (s *system) checkDrain(c *client, leaver *runner, left, inTouch time.Time) (broken bool) {
	late := 0
	for _, arrival := range leaver.Arrivals() {
		if arrival.At.Before(left) {
			continue
		}
		request := c.request(arrival.AttemptID)
		after := arrival.At.Sub(left)
		s.record.noteAt(arrival.At, "%s reaches %s %d ms after its leaving was acknowledged, from %s", arrival.AttemptID, leaver.ID, after.Milliseconds(), request.entry)
		if after > drain && request.at.After(inTouch) {
			late++
		}
	}
	s.record.note("%d requests, sent once the entries were in touch, reached %s more than %v after its leaving was acknowledged", late, leaver.ID, drain)
	return late > 0
}
