package memory

import "time"

// victim is a request to end.
type victim struct {
	end  func(Part)
	part Part
}

// victims returns the requests to end so that the total falls to the bound of holders, and marks them. The
// bytes of those that are marked already count as freed. The caller holds mu.
func (a *Account) victims(now time.Time) []victim {
	excess := -a.holderBound()
	var candidates []*Holder
	for h := range a.holders {
		if h.ended {
			continue
		}
		excess += h.size()
		if h.end != nil {
			candidates = append(candidates, h)
		}
	}
	var chosen []victim
	for excess > 0 {
		h := chooseVictim(candidates, now)
		if h == nil {
			break
		}
		h.ended = true
		excess -= h.size()
		chosen = append(chosen, victim{end: h.end, part: h.largestPart()})
	}
	return chosen
}

// chooseVictim returns the slowest of the largest holders of the organisation that holds most,
// nil if there is none.
func chooseVictim(candidates []*Holder, now time.Time) *Holder {
	held := map[string]int64{}
	most := ""
	for _, h := range candidates {
		if h.ended {
			continue
		}
		held[h.organisation] += h.size()
		if held[h.organisation] > held[most] {
			most = h.organisation
		}
	}
	largest := int64(0)
	for _, h := range candidates {
		if !h.ended && h.organisation == most {
			largest = max(largest, h.size())
		}
	}
	var slowest *Holder
	for _, h := range candidates {
		if h.ended || h.organisation != most || largest == 0 || float64(h.size()) < similarShare*float64(largest) {
			continue
		}
		if slowest == nil || h.rate(now) < slowest.rate(now) {
			slowest = h
		}
	}
	return slowest
}

// size returns the bytes of all parts.
func (h *Holder) size() int64 {
	sum := int64(0)
	for _, size := range h.sizes {
		sum += size
	}
	return sum
}

// minRateTime is the least time over which a rate is computed; a request that has just begun
// to move bytes is not the slowest.
const minRateTime = time.Second

// rate returns the bytes a second that move from or to the caller.
func (h *Holder) rate(now time.Time) float64 {
	elapsed := now.Sub(h.since)
	if elapsed < minRateTime {
		// All that it holds may move within that time.
		return float64(h.moved + h.size())
	}
	return float64(h.moved) / elapsed.Seconds()
}

// largestPart returns the part with most bytes.
func (h *Holder) largestPart() Part {
	largest := Body
	for part, size := range h.sizes {
		if size > h.sizes[largest] {
			largest = Part(part)
		}
	}
	return largest
}

// Description says what a holder holds, for logs.
type Description struct {
	Organisation, Target string
	Bytes, Moved         int64
}

// Describe returns the description of a holder.
func (h *Holder) Describe() Description {
	if h == nil {
		return Description{}
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return Description{Organisation: h.organisation, Target: h.target, Bytes: h.size(), Moved: h.moved}
}
