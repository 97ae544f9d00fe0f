package placement

import (
	"math"
	"slices"
	"time"
)

// Report is a rank's report of its own work. All counts are cumulative since the
// start of its incarnation, so that a duplicate, late or lost report loses no data:
// the next one includes it.
type Report struct {
	Rank int `cbor:"1,keyasint"`
	// Incarnation increases with each start of the rank, Sequence with each report.
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Steps counts the completed steps.
	Steps uint64 `cbor:"4,keyasint"`
	// Routed counts, by layer and expert, the tokens of the rank's own sequences that
	// were routed there.
	Routed [][]uint64 `cbor:"5,keyasint"`
	// Computed counts the expert tokens that the rank computed, Busy is the time that
	// it took.
	Computed uint64        `cbor:"6,keyasint"`
	Busy     time.Duration `cbor:"7,keyasint"`
}

const (
	// halfLife is the time after which the weight of a measurement has halved.
	halfLife = 10 * time.Second
	// stallSpeedRatio is the fraction of a rank's usual speed below which the rank is
	// taken to be stalled; its speed estimate is then not updated.
	stallSpeedRatio = 0.4
	// maxStallReports is the number of consecutive reports below stallSpeedRatio from
	// which on the low speed is taken to be permanent.
	maxStallReports = 6
)

// rankHistory holds the last report of a rank and the estimates derived from its
// reports.
type rankHistory struct {
	last         Report
	lastAt       time.Time   // when last arrived
	routed       [][]float64 // tokens per step
	speed        float64     // tokens per second; 0 while unknown
	stallReports int         // consecutive reports below stallSpeedRatio
}

// Telemetry estimates loads and speeds from reports. It is not safe for concurrent
// use.
type Telemetry struct {
	layers, experts int
	ranks           []rankHistory
}

// NewTelemetry returns a Telemetry without reports for the given dimensions.
func NewTelemetry(ranks, layers, experts int) *Telemetry {
	return &Telemetry{layers: layers, experts: experts, ranks: make([]rankHistory, ranks)}
}

// AddReport processes a report that arrived at now. It ignores reports that are late,
// duplicated or of other dimensions, and returns false for them.
func (t *Telemetry) AddReport(now time.Time, report Report) bool {
	if report.Rank < 0 || report.Rank >= len(t.ranks) || !t.fits(report) {
		return false
	}
	history := &t.ranks[report.Rank]
	last := history.last
	if report.Incarnation < last.Incarnation {
		return false
	}
	if report.Incarnation == last.Incarnation && report.Sequence <= last.Sequence {
		return false
	}
	if report.Incarnation == last.Incarnation && report.Steps > last.Steps {
		decay := math.Exp2(-now.Sub(history.lastAt).Seconds() / halfLife.Seconds())
		history.updateRouted(report, decay)
		history.updateSpeed(report, decay)
	}
	history.last, history.lastAt = report, now
	return true
}

func (t *Telemetry) fits(report Report) bool {
	if len(report.Routed) != t.layers {
		return false
	}
	return !slices.ContainsFunc(report.Routed, func(layer []uint64) bool { return len(layer) != t.experts })
}

// updateRouted updates the moving average of the tokens per step.
func (h *rankHistory) updateRouted(report Report, decay float64) {
	steps := float64(report.Steps - h.last.Steps)
	first := h.routed == nil
	if first {
		h.routed = make([][]float64, len(report.Routed))
	}
	for layer, counts := range report.Routed {
		if first {
			h.routed[layer] = make([]float64, len(counts))
		}
		for expert, count := range counts {
			sample := float64(count-h.last.Routed[layer][expert]) / steps
			if first {
				h.routed[layer][expert] = sample
				continue
			}
			h.routed[layer][expert] = decay*h.routed[layer][expert] + (1-decay)*sample
		}
	}
}

// updateSpeed updates the moving average of the rank's speed. It ignores short
// stalls: there is no benefit in moving experts away from a rank that will recover
// or is about to be replaced.
func (h *rankHistory) updateSpeed(report Report, decay float64) {
	busy := (report.Busy - h.last.Busy).Seconds()
	computed := float64(report.Computed - h.last.Computed)
	if busy <= 0 || computed <= 0 {
		return
	}
	sample := computed / busy
	if h.speed > 0 && sample < stallSpeedRatio*h.speed {
		h.stallReports++
		if h.stallReports < maxStallReports {
			return
		}
	} else {
		h.stallReports = 0
	}
	if h.speed == 0 {
		h.speed = sample
		return
	}
	h.speed = decay*h.speed + (1-decay)*sample
}

// Loads returns the tokens per step by layer and expert, summed over the ranks, and
// false as long as no rank has sent two reports. A rank that stops reporting keeps
// its last values.
func (t *Telemetry) Loads() ([][]float64, bool) {
	loads := make([][]float64, t.layers)
	for layer := range loads {
		loads[layer] = make([]float64, t.experts)
	}
	hasData := false
	for _, history := range t.ranks {
		for layer, counts := range history.routed {
			hasData = true
			for expert, tokens := range counts {
				loads[layer][expert] += tokens
			}
		}
	}
	return loads, hasData
}

// Speeds returns the ranks' speeds in tokens per second. A rank whose speed is not
// yet known gets the mean of the known ones.
func (t *Telemetry) Speeds() []float64 {
	speeds := make([]float64, len(t.ranks))
	sum, known := 0.0, 0.0
	for _, rank := range t.ranks {
		if rank.speed > 0 {
			sum += rank.speed
			known++
		}
	}
	for rank := range t.ranks {
		speeds[rank] = t.ranks[rank].speed
		if speeds[rank] == 0 && known > 0 {
			speeds[rank] = sum / known
		}
	}
	return speeds
}

// UsualSpeed returns the rank's estimated speed in tokens per second; 0 while unknown.
func (t *Telemetry) UsualSpeed(rank int) float64 { return t.ranks[rank].speed }
