package steer

import "math"

// The decisions of this file and of spill.go are for deployments whose entries differ: 6 with
// 0.8 cores and 64 with 0.272, whose callers move from one failure domain to another every few
// seconds. Callers pick one of the addresses of an answer at random and keep the answer for 1 to
// 3 s, so an entry's share follows from how often it is in answers.

const (
	// minAnswer is the smallest number of entries in an answer, unless there are fewer: with
	// two of them lost, callers still have others.
	minAnswer = 4
	// maxAnswer is the number of addresses of an answer that callers use.
	maxAnswer = 64
	// shareTolerance is the factor by which the largest entry may get too small a share so that
	// answers have more entries. Entries that differ by less are all in each answer.
	shareTolerance = 1.25
	// busyEntry is the use of its processor above which an entry that is busier than the others
	// of its failure domain gets fewer callers, minBusyFactor the least factor of its share.
	busyEntry     = 0.8
	minBusyFactor = 0.5
)

// Resources are those of an entry's host; 0 if not stated.
type Resources struct {
	// Processor is in cores, Memory in megabytes, Link in Mbit/s.
	Processor, Memory, Link float64
}

// referenceMemory and referenceLink are what a core's worth of requests needs at most: hosts of
// entries have at least 510 MB and 100 Mbit/s per core, and the processor is what limits them.
const (
	referenceMemory = 500
	referenceLink   = 100
)

// Weight returns the capacity in cores: that of the processor, or less if the memory or the link
// suffices for fewer requests. It is 0 if the processor is not stated.
func (r Resources) Weight() float64 {
	weight := r.Processor
	if r.Memory > 0 {
		weight = min(weight, r.Memory/referenceMemory)
	}
	if r.Link > 0 {
		weight = min(weight, r.Link/referenceLink)
	}
	return max(weight, 0)
}

// Host is an entry that callers may be directed to.
type Host struct {
	Address, FailureDomain string
	// Weight is its capacity in cores; 0 if it does not state it.
	Weight float64
	// Busy is the part of its processor that is in use; negative if it does not state it.
	Busy float64
}

// Choose returns the addresses for one caller among hosts of one failure domain. Over many
// answers each host is chosen in proportion to its capacity. Without any capacities all hosts
// are returned. random returns numbers from 0 to 1, without 1.
func Choose(hosts []Host, random func() float64) []string {
	weights, stated := hostWeights(hosts)
	count := answerSize(weights)
	if !stated || count >= len(hosts) {
		return addressesOf(hosts)
	}
	order := make([]int, len(hosts))
	for i := range order {
		order[i] = i
		j := int(random() * float64(i+1))
		order[i], order[j] = order[j], order[i]
	}
	probabilities := inclusionProbabilities(weights, count)
	// Systematic sampling: a host is chosen where the sum of probabilities passes a number of
	// the form random + n, exactly count of them.
	var chosen []string
	next, sum := random(), 0.0
	for _, i := range order {
		if sum += probabilities[i]; sum > next {
			chosen = append(chosen, hosts[i].Address)
			next++
		}
	}
	return chosen
}

func addressesOf(hosts []Host) []string {
	all := make([]string, 0, len(hosts))
	for _, host := range hosts {
		all = append(all, host.Address)
	}
	return all
}

// hostWeights returns the share that each host should get, relative to the others, and whether
// any host states its capacity. One that does not gets the mean.
func hostWeights(hosts []Host) (weights []float64, stated bool) {
	sum, known := 0.0, 0
	for _, host := range hosts {
		if host.Weight > 0 {
			sum, known = sum+host.Weight, known+1
		}
	}
	if known == 0 {
		return nil, false
	}
	mean := meanBusy(hosts)
	for _, host := range hosts {
		weight := host.Weight
		if weight <= 0 {
			weight = sum / float64(known)
		}
		if host.Busy > busyEntry && host.Busy > mean {
			weight *= max(mean/host.Busy, minBusyFactor)
		}
		weights = append(weights, weight)
	}
	return weights, true
}

// meanBusy returns the use of all hosts that state it together.
func meanBusy(hosts []Host) float64 {
	used, capacity := usage(hosts)
	if capacity == 0 {
		return 0
	}
	return used / capacity
}

// usage returns how many cores are in use and how many there are at the hosts that state both.
func usage(hosts []Host) (used, capacity float64) {
	for _, host := range hosts {
		if host.Weight > 0 && host.Busy >= 0 {
			used += host.Weight * host.Busy
			capacity += host.Weight
		}
	}
	return used, capacity
}

// answerSize returns the number of hosts in an answer. In one with n hosts each gets a part of
// at most 1/n of a caller.
func answerSize(weights []float64) int {
	sum, largest := 0.0, 0.0
	for _, weight := range weights {
		sum, largest = sum+weight, max(largest, weight)
	}
	if largest == 0 {
		return len(weights)
	}
	size := int(math.Floor(shareTolerance * sum / largest))
	return min(max(size, minAnswer), maxAnswer, len(weights))
}

// inclusionProbabilities returns the probability with which each host is in an answer of the
// given size: proportional to its weight, and at most 1.
func inclusionProbabilities(weights []float64, count int) []float64 {
	probabilities := make([]float64, len(weights))
	remaining := float64(count)
	for {
		sum := 0.0
		for i, weight := range weights {
			if probabilities[i] < 1 {
				sum += weight
			}
		}
		capped := false
		for i, weight := range weights {
			if probabilities[i] == 1 {
				continue
			}
			if probabilities[i] = remaining * weight / sum; probabilities[i] >= 1 {
				probabilities[i], capped = 1, true
			}
		}
		if !capped {
			return probabilities
		}
		remaining = float64(count)
		for i := range probabilities {
			if probabilities[i] == 1 {
				remaining--
			}
		}
	}
}
