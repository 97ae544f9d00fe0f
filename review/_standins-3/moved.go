package main

import (
	"bytes"
	"context"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

// apply is the bound of a configuration.
const apply = 2 * time.Second

// newService is the service to which the route is moved.
const newService = "plain-2"

// configuration returns a version in which the route "look" goes to the given service.
func configuration(version int, service string) []byte {
	value := standin.Configuration(version, "/look/")
	value = bytes.Replace(value, []byte(`{"name":"plain","max_connections":100}`),
		[]byte(`{"name":"plain","max_connections":100},{"name":"`+newService+`","max_connections":100}`), 1)
	// The first route of the plain service is "look".
	return bytes.Replace(value, []byte(`"service":"plain"`), []byte(`"service":"`+service+`"`), 1)
}

// silentMove is case 13: all open connections between the entries and the store go silent for good,
// while new ones work, and a route is moved to another service.
func silentMove(s *system, trouble bool) (broken bool, err error) {
	if err := s.start(4, 4); err != nil {
		return false, err
	}
	for _, id := range []string{"n-1", "n-2", "n-3", "n-4"} {
		if err := s.addRunner(id, newService, zones[0]); err != nil {
			return false, err
		}
	}
	c := newClient(s.record)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { c.run(ctx, s.entries, 20*time.Millisecond) })
	defer clients.Wait()
	defer stop()
	time.Sleep(4 * time.Second)
	s.putConfiguration(configuration(2, "plain"))
	s.record.note("the operator writes version 2, with a service %s", newService)
	time.Sleep(130 * time.Millisecond)
	silenced := time.Now()
	if trouble {
		for i, l := range s.storeLinks {
			s.record.note("%d connections of %s to the store go silent", l.silence(), s.entries[i].name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	s.putConfiguration(configuration(3, newService))
	moved := time.Now()
	s.record.note("the operator writes version 3, in which the clients' route goes to %s; the store acknowledges it", newService)
	time.Sleep(6 * time.Second)
	stop()
	clients.Wait()
	bound := silenced.Add(contact)
	if later := moved.Add(apply); later.After(bound) {
		bound = later
	}
	return s.checkMoved(c, bound), nil
}

// checkMoved checks the rule CONFIG: no request that was sent after the bound is run by the old service.
func (s *system) checkMoved(c *client, bound time.Time) (broken bool) {
	late, moved := 0, 0
	for _, r := range s.runners {
		for _, run := range r.Executed() {
			request := c.request(run.AttemptID)
			switch {
			case r.Service == newService:
				moved++
			case request.at.After(bound):
				late++
				s.record.noteAt(run.At, "%s is run by %s of the old service, sent %d ms after the bound to %s, which answered %d",
					run.AttemptID, r.ID, request.at.Sub(bound).Milliseconds(), request.entry, request.status)
			}
		}
	}
	s.record.note("%d requests were run by %s", moved, newService)
	s.record.note("%d requests were run by the old service that were sent once the entries were in touch and %v after the acknowledgement", late, apply)
	return late > 0
}
