package capacity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	organisationCount = 42_000
	routeCount        = 10_000
)

// fullTable returns a table of the size of the planned deployment.
func fullTable() *table.Table {
	t := tableWithoutRoutes()
	for i := range organisationCount {
		name := fmt.Sprintf("organisation-%d", i)
		sum := sha256.Sum256([]byte(name))
		t.Organisations[name] = table.Organisation{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1}
	}
	for i := range routeCount {
		name := fmt.Sprintf("route-%d", i)
		t.Routes[name] = table.Route{
			Name: name, Priority: 1, Pool: fmt.Sprintf("pool-%d", i%poolCount), Timeout: 30 * time.Second,
			Class: table.ClassNormal,
			Match: table.Match{Path: "/v1/chat/completions", Organisation: fmt.Sprintf("organisation-%d", i)},
		}
	}
	return t
}

// measureTableSize measures the size of the full table as INI, the format of the
// operator's tool, and as CBOR, the format in the platform's store, and the CPU time
// needed to parse and compile it when it is read as a change.
func measureTableSize(context.Context) (measure.Result, error) {
	full := fullTable()
	var text bytes.Buffer
	if err := full.WriteINI(&text); err != nil {
		return measure.Result{}, err
	}
	body, err := rollout.EncodeTable(full)
	if err != nil {
		return measure.Result{}, err
	}
	textMiB := float64(text.Len()) / bytesPerMiB
	start := cpuTime()
	if _, err := table.Parse(&text, "tables"); err != nil {
		return measure.Result{}, err
	}
	parse := cpuTime() - start
	start = cpuTime()
	if _, err := table.Compile(full); err != nil {
		return measure.Result{}, err
	}
	compile := cpuTime() - start
	return measure.Result{Figures: []measure.Figure{
		{Name: "INI of the full table, 42,000 organisations, 10,000 routes and targets", Value: textMiB, Unit: "MiB"},
		{Name: "CBOR of the full table", Value: float64(len(body)) / bytesPerMiB, Unit: "MiB"},
		{Name: "CPU time to parse the full table", Value: float64(parse.Milliseconds()), Unit: "ms"},
		{Name: "CPU time to compile the full table", Value: float64(compile.Milliseconds()), Unit: "ms"},
	}}, nil
}
