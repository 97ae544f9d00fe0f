package membership

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
)

// compareDetectors runs every detector under the same loss, stalls and deaths.
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
	for _, one := range outcomes {
		result.Figures = append(result.Figures, one.figures(measure.Report)...)
	}
	result.Figures = append(result.Figures, product.figures(measure.AtMost)...)
	return result, nil
}

// figures reports an outcome; only bytes have a stated bound, and only the
// product is held to it.
func (o outcome) figures(limit measure.Limit) []measure.Figure {
	return []measure.Figure{
		{Name: "silent death known to half, " + o.name, Value: o.half.Seconds(), Unit: "s"},
		{Name: "silent death known to 99 in 100, " + o.name, Value: o.all.Seconds(), Unit: "s"},
		{Name: "pairs that missed a death, " + o.name, Value: float64(o.undetected), Unit: "pairs"},
		{Name: "false alarms a host raises or hears, " + o.name, Value: o.alarmsPerHour, Unit: "/h"},
		{Name: "live hosts held unusable, " + o.name, Value: o.wrong, Unit: "ratio"},
		{Name: "bytes sent a host, " + o.name, Value: o.bytesPerSec, Unit: "B/s", Limit: limit, Bound: bytesBound},
	}
}
