package balance

import "time"

// Crossing is what sending one request to another failure domain costs.
type Crossing struct {
	// Delay is the one-way delay between the failure domains.
	Delay time.Duration
	// Bytes is the expected size of request and response.
	Bytes float64
	// Price is the latency that the operators would accept to save a megabyte of traffic
	// between failure domains.
	Price time.Duration
}

const bytesPerMegabyte = 1e6

// cost returns the cost as a latency. Connections are open already: the request and the
// response take one delay each.
func (c Crossing) cost() time.Duration {
	return 2*c.Delay + time.Duration(c.Bytes/bytesPerMegabyte*float64(c.Price))
}

const (
	// maxPenalty bounds how much fuller than others a failure domain's own targets may be. A
	// burst must find free slots there.
	maxPenalty = 0.3
	// unknownPenalty is the penalty while the time of requests is not known.
	unknownPenalty = 0.02
	// maxLockStepSlots is the same for targets in lock step, in requests: the fullest target
	// slows all streams of its group, so that one request more is never worth a crossing.
	maxLockStepSlots = 0.5
)

// Load describes how the time of requests depends on the load of their target.
type Load struct {
	// Slowdown is how much longer a request takes at a full target than at an idle one.
	Slowdown time.Duration
	// LockStep is set if targets run in groups that are as slow as their fullest target.
	LockStep bool
}

// Penalty returns by how much the relative load of a target in this process's failure domain
// may exceed that of one in another domain until the request is better sent there: crossing
// then costs as much time as the higher load does. It is at least tieJitter, so that
// requests stay where loads are equal.
func (c Crossing) Penalty(load Load, capacity float64) float64 {
	if load.Slowdown <= 0 {
		return unknownPenalty
	}
	limit := maxPenalty
	if load.LockStep {
		limit = min(limit, maxLockStepSlots/capacity)
	}
	return min(max(float64(c.cost())/float64(load.Slowdown), tieJitter), limit)
}
