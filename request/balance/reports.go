package balance

import (
	"slices"
	"time"
)

const (
	// freshInterval is the time between the reports of a process up to which they count as
	// fresh: up to 32 processes report every 100 ms. Scheduling delays them by some
	// milliseconds.
	freshInterval = 120 * time.Millisecond
	// intervalShare is the part of the difference by which the known interval follows a new
	// one. Processes also send reports out of turn.
	intervalShare = 0.3
)

// Reports holds when other processes have reported their requests to the targets of a
// service, and how many these are. The zero value is empty.
type Reports struct {
	byProcess map[string]*report
	// list holds the same reports, because iterating over a map is slow.
	list []*report
}

type report struct {
	// local is set for a process in this process's failure domain.
	local    bool
	requests int
	arrived  time.Time
	// interval is the usual time between two reports; 0 if there was one only.
	interval time.Duration
}

// Record records a report of a process; local is set if it is in this process's failure
// domain.
func (r *Reports) Record(process string, local bool, requests int, now time.Time) {
	if r.byProcess == nil {
		r.byProcess = map[string]*report{}
	}
	last := r.byProcess[process]
	if last == nil {
		last = &report{local: local, requests: requests, arrived: now}
		r.byProcess[process] = last
		r.list = append(r.list, last)
		return
	}
	interval := now.Sub(last.arrived)
	if last.interval == 0 {
		last.interval = interval
	}
	last.interval += time.Duration(intervalShare * float64(interval-last.interval))
	last.local, last.requests, last.arrived = local, requests, now
}

// Remove forgets a process.
func (r *Reports) Remove(process string) {
	removed := r.byProcess[process]
	if removed == nil {
		return
	}
	delete(r.byProcess, process)
	r.list = slices.DeleteFunc(r.list, func(other *report) bool { return other == removed })
}

// Unseen is what other processes are expected to have started since they reported.
type Unseen struct {
	// Total is the number of requests.
	Total float64
	// LocalShare is the share of all requests that processes in this process's failure
	// domain have sent, from 0 to 1.
	LocalShare float64
}

// Unseen returns the requests that the processes are expected to have started and not
// completed since their reports, given the mean time of a request and the number that this
// process has at the targets. Those of processes whose reports are fresh do not count, and
// none if the mean is not known.
func (r *Reports) Unseen(mean time.Duration, own int, now time.Time) Unseen {
	// The request to be sent is one of the own ones.
	started, local, all := 0.0, own+1, own+1
	for _, last := range r.list {
		all += last.requests
		if last.local {
			local += last.requests
		}
		age := now.Sub(last.arrived)
		if last.requests > 0 && mean > 0 && max(age, last.interval) > freshInterval {
			started += float64(last.requests) * min(float64(age)/float64(mean), 1)
		}
	}
	return Unseen{Total: started, LocalShare: float64(local) / float64(all)}
}
