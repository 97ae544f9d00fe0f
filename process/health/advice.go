package health

import (
	"time"

	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// massFraction is the minimum fraction of the targets lost in a mass failure.
	massFraction = 0.1
	// massMinimum is the minimum number of targets lost in a mass failure.
	massMinimum = 2
	// MassFailureWindow is the time over which lost targets are counted.
	MassFailureWindow = 10 * time.Second
)

// Demand is the offered load by class and the remaining capacity, all in the same
// unit.
type Demand struct {
	Low, Normal, High float64
	Capacity          float64
}

// Advice is the load to shed when many targets fail at once: first retries and hedges,
// then the classes for which no capacity remains, lowest class first.
type Advice struct {
	// MassFailure is set during a mass failure.
	MassFailure bool
	// Retries is set when retries and hedges are allowed.
	Retries bool
	// LowestClass is the lowest class that is served.
	LowestClass table.Class
}

// Advise returns the advice for the number of targets lost within MassFailureWindow,
// the number of all targets, and the demand. The admission gates enforce the limits of
// the surviving targets independently of the advice.
func Advise(lost, targets int, demand Demand) Advice {
	advice := Advice{Retries: true, LowestClass: table.ClassLow}
	if lost < massMinimum || float64(lost) < massFraction*float64(targets) {
		return advice
	}
	advice.MassFailure = true
	advice.Retries = false
	if demand.High >= demand.Capacity {
		advice.LowestClass = table.ClassHigh
	} else if demand.High+demand.Normal >= demand.Capacity {
		advice.LowestClass = table.ClassNormal
	}
	return advice
}
