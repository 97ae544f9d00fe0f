package main

import (
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// roundInterval is the time between two rounds of orders, roundOrders the orders to each entry.
	roundInterval = 4 * time.Second
	roundOrders   = 4
	// orderWork is how long a runner works on an order.
	orderWork = 300 * time.Millisecond
	// servesOn is how long the leaving runner serves after the removal of its entry.
	servesOn = 3500 * time.Millisecond
)

// silentConnections is case 11: all open connections between the entries and the store go silent for
// good, while new ones work, and a runner leaves without reporting it to the store.
func silentConnections(s *system, trouble bool) (broken bool, err error) {
	if err := s.start(4, 4); err != nil {
		return false, err
	}
	for _, r := range s.runners {
		r.SetFaults(standin.TargetFaults{Delay: orderWork})
	}
	c := newClient(s.record)
	time.Sleep(3 * time.Second)
	silence := time.Now().Add(roundInterval + 400*time.Millisecond)
	for range 2 {
		c.order(s.entries, roundOrders)
		time.Sleep(time.Until(silence.Add(-400 * time.Millisecond)))
	}
	time.Sleep(time.Until(silence.Add(-250 * time.Millisecond)))
	s.configure(2)
	time.Sleep(time.Until(silence))
	if trouble {
		for i, l := range s.storeLinks {
			s.record.note("%d connections of %s to the store go silent", l.silence(), s.entries[i].name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	leaver := s.runners[0]
	leaver.SetFaults(standin.TargetFaults{Delay: orderWork, Leaving: true})
	s.store.Delete(platform.TableTargets, leaver.ID)
	left := time.Now()
	s.record.note("the entry of runner %s is removed; from now on it says in all answers that it leaves", leaver.ID)
	time.AfterFunc(time.Until(left.Add(servesOn)), func() {
		s.record.note("runner %s exits", leaver.ID)
		leaver.exit()
	})
	for round := range 2 {
		time.Sleep(time.Until(silence.Add(time.Duration(round+1)*roundInterval - 400*time.Millisecond)))
		c.order(s.entries, roundOrders)
	}
	return s.checkDrain(c, leaver, left, silence.Add(contact)), nil
}

// checkDrain checks the rule DRAIN for a runner whose leaving the store has acknowledged. Requests count
// that were sent to entries after these were in touch again.
func (s *system) checkDrain(c *client, leaver *runner, left, inTouch time.Time) (broken bool) {
	late, lost := 0, 0
	for _, arrival := range leaver.Arrivals() {
		if arrival.At.Before(left) {
			continue
		}
		request := c.request(arrival.AttemptID)
		after := arrival.At.Sub(left)
		s.record.noteAt(arrival.At, "%s reaches %s %d ms after its leaving was acknowledged, from %s, which answered %d",
			arrival.AttemptID, leaver.ID, after.Milliseconds(), request.entry, request.status)
		if after > drain && request.at.After(inTouch) {
			late++
			if request.status != http.StatusOK {
				lost++
			}
		}
	}
	s.record.note("%d orders, sent once the entries were in touch, reached %s more than %v after its leaving was acknowledged; %d of them are lost",
		late, leaver.ID, drain, lost)
	return late > 0
}
