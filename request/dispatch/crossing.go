package dispatch

import (
	"time"

	"verbenaseam.example/verbenaseam/request/balance"
)

// Crossing holds what the operators state about traffic between failure domains.
type Crossing struct {
	// Delay is the one-way delay between failure domains where the configuration of a
	// service states none; 0 for the observed one.
	Delay time.Duration
	// Price is the latency that is worth a megabyte of such traffic.
	Price time.Duration
}

// defaultPenalty is how much higher the relative load of a target in this process's failure
// domain may be before one in another domain is chosen, where the cost of that is not known.
const defaultPenalty = 0.02

// fullSlowdown is how much longer requests take at a full target than at an idle one, as a
// share of their usual time, if nothing is known about the service.
const fullSlowdown = 1

// SetCrossing sets what the operators state about traffic between failure domains.
func (d *Dispatcher) SetCrossing(crossing Crossing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crossing = crossing
}

// RecordConnection records how long a connection to a target took to make.
func (d *Dispatcher) RecordConnection(t *Target, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observedDelays.Record(t.registration.FailureDomain, took)
}

// weighsCrossing reports whether the configuration or the settings say what traffic of a
// pool between failure domains costs.
func (d *Dispatcher) weighsCrossing(pool *pool) bool {
	return d.crossing != Crossing{} || pool.service != nil && len(pool.service.Delays) > 0
}

// crossingLoad returns how the time of a pool's requests depends on the load of the targets.
func (p *pool) crossingLoad(mean time.Duration) balance.Load {
	load := balance.Load{Slowdown: time.Duration(fullSlowdown * float64(mean))}
	if p.service == nil || p.service.Engine == nil {
		return load
	}
	engine := p.service.Engine
	load.LockStep = engine.Experts != nil
	full := float64(engine.TimePerSequence) * float64(engine.MaxConcurrentRequests)
	if half := float64(engine.StepTime) + full/2; full > 0 {
		load.Slowdown = time.Duration(full / half * float64(mean))
	}
	return load
}

// penalties returns a function that returns by how much the relative load of a target in
// this process's failure domain may exceed that of the given one until work is sent there.
func (d *Dispatcher) penalties(pool *pool, work *Request, mean time.Duration) func(t *Target, capacity int) float64 {
	if !d.weighsCrossing(pool) {
		return func(*Target, int) float64 { return defaultPenalty }
	}
	crossing := balance.Crossing{Bytes: work.Bytes, Price: d.crossing.Price}
	load := pool.crossingLoad(mean)
	return func(t *Target, capacity int) float64 {
		crossing.Delay = d.crossing.Delay
		if crossing.Delay == 0 {
			crossing.Delay = d.observedDelays.OneWay(d.failureDomain, t.registration.FailureDomain)
		}
		if pool.service != nil {
			if delay, ok := pool.service.Delays.Between(d.failureDomain, t.registration.FailureDomain); ok {
				crossing.Delay = delay
			}
		}
		return crossing.Penalty(load, float64(capacity))
	}
}

// CrossingCount is the number of requests of a service that this process has sent to targets.
type CrossingCount struct {
	// Crossed is the number sent to other failure domains, Total to all.
	Crossed, Total uint64
}

// CrossingCounts returns the numbers of requests since the start, by service.
func (d *Dispatcher) CrossingCounts() map[string]CrossingCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string]CrossingCount{}
	for name, pool := range d.pools {
		counts[name] = pool.crossings
	}
	return counts
}
