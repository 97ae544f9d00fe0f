package membership

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
)

// compareDetectors runs every detector under the same message loss, stalls and crashes.
func compareDetectors(ctx context.Context) (measure.Result, error) {
	outcomes := []outcome{
		runHeartbeats("heartbeats to all, timeout 5 s", fixedTimeout(5*time.Second)),
		runHeartbeats("heartbeats to all, timeout 15 s", fixedTimeout(15*time.Second)),
		runHeartbeats("heartbeats to all, phi accrual 8", phiAccrual),
	}
	if ctx.Err() != nil {
		return measure.Result{}, ctx.Err()
	}
	product, err := runProbing()
	if err != nil {
		return measure.Result{}, err
	}
	var result measure.Result
	for _, alternative := range outcomes {
		result.Figures = append(result.Figures, alternative.figures(measure.NoBound)...)
	}
	result.Figures = append(result.Figures, product.figures(measure.AtMost)...)
	return result, nil
}

// figures returns the figures of an outcome. Only the traffic has a bound, which
// applies to the product's detector alone; trafficLimit is Report for the others.
func (o outcome) figures(trafficLimit measure.Limit) []measure.Figure {
	return []measure.Figure{
		{Name: "crash detected by half of the hosts, " + o.name, Value: o.detectionP50.Seconds(), Unit: "s"},
		{Name: "crash detected by 99 % of the hosts, " + o.name, Value: o.detectionP99.Seconds(), Unit: "s"},
		{Name: "pairs that missed a crash, " + o.name, Value: float64(o.undetected), Unit: "pairs"},
		{Name: "false alarms raised or received per host, " + o.name, Value: o.falseAlarmsPerHour, Unit: "/h"},
		{Name: "live hosts considered unusable, " + o.name, Value: o.falselyUnusableShare, Unit: "ratio"},
		{Name: "bytes sent per host, " + o.name, Value: o.bytesPerSec, Unit: "B/s", Limit: trafficLimit, Bound: bytesBound},
	}
}
