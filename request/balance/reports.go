package balance

import "time"

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
type Reports struct{ byProcess map[string]*report }

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
		r.byProcess[process] = &report{local: local, requests: requests, arrived: now}
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
func (r *Reports) Remove(process string) { delete(r.byProcess, process) }

// Unseen is a number of requests that other processes are expected to have started since
// they reported.
type Unseen struct {
	// Total is of all processes, Local of those in this process's failure domain.
	Total, Local float64
}

// Unseen returns the number of requests that the processes are expected to have started and
// not completed since their reports, given the mean time of a request. Those of processes
// whose reports are fresh do not count, and none if the mean is not known.
func (r *Reports) Unseen(mean time.Duration, now time.Time) (unseen Unseen) {
	if mean <= 0 {
		return unseen
	}
	for _, last := range r.byProcess {
		age := now.Sub(last.arrived)
		if last.requests > 0 && max(age, last.interval) > freshInterval {
			started := float64(last.requests) * min(float64(age)/float64(mean), 1)
			unseen.Total += started
			if last.local {
				unseen.Local += started
			}
		}
	}
	return unseen
}
