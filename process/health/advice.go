package health

import (
	"time"

	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// massFailureFraction is the minimum fraction of the targets lost in a mass failure.
	massFailureFraction = 0.1
	// massFailureMinimum is the minimum number of targets lost in a mass failure.
	massFailureMinimum = 2
	// MassFailureWindow is the time over which lost targets are counted.
	MassFailureWindow = 10 * time.Second
)

// Demand is the offered load by class, and the remaining capacity in the same unit.
type Demand struct {
	Low, Normal, High float64
	Capacity          float64
}

// Advice states which load to serve when many targets fail at once. Retries and hedges
// are shed first, then the classes for which no capacity remains, lowest class first.
type Advice struct {
	// MassFailure is set during a mass failure.
	MassFailure bool
	// AllowRetries is set when retries and hedges are allowed.
	AllowRetries bool
	// LowestClass is the lowest class that is served.
	LowestClass table.Class
}

// Advise returns the advice for the number of targets lost within MassFailureWindow,
// the number of all targets, and the demand. The admission gates enforce the limits of
// the surviving targets independently of the advice.
func Advise(lost, targets int, demand Demand) Advice {
	advice := Advice{AllowRetries: true, LowestClass: table.ClassLow}
	if lost < massFailureMinimum || float64(lost) < massFailureFraction*float64(targets) {
		return advice
	}
	advice.MassFailure = true
	advice.AllowRetries = false
	if demand.High >= demand.Capacity {
		advice.LowestClass = table.ClassHigh
	} else if demand.High+demand.Normal >= demand.Capacity {
		advice.LowestClass = table.ClassNormal
	}
	return advice
}
