package balance

import "time"

// delayRiseShare is the part of the difference by which a known time follows a longer one. The
// shortest one is the network's; others include waits for the processor.
const delayRiseShare = 0.02

// ObservedDelays learns the delays to failure domains from the time in which connections are
// made, which is one round trip. The zero value knows nothing.
type ObservedDelays struct{ roundTrips map[string]time.Duration }

// Record records how long a connection to a target in a failure domain took to make.
func (o *ObservedDelays) Record(domain string, took time.Duration) {
	if o.roundTrips == nil {
		o.roundTrips = map[string]time.Duration{}
	}
	known, ok := o.roundTrips[domain]
	if ok && took > known {
		took = known + time.Duration(delayRiseShare*float64(took-known))
	}
	o.roundTrips[domain] = took
}

// OneWay returns by how much the one-way delay to a failure domain exceeds that within the own
// one, 0 if it is not known.
func (o *ObservedDelays) OneWay(own, domain string) time.Duration {
	return max(o.roundTrips[domain]-o.roundTrips[own], 0) / 2
}
