package tool

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/check"
)

type configCheck struct {
	tool     *tool
	Against  string         `long:"against" value-name:"FILE|ENTRY" description:"File, or URL of the operator API of an entry whose newest tables are fetched, to compare with"`
	Format   string         `long:"format" default:"text" choice:"text" choice:"json" description:"Output format"`
	Argument filePositional `positional-args:"yes" required:"yes"`
}

// findingsError means that a configuration has findings, which were printed.
type findingsError struct{ Count int }

// Error implements error.
func (e *findingsError) Error() string { return fmt.Sprintf("%d findings", e.Count) }

// configReport is the result of a check as JSON.
type configReport struct {
	Findings []check.Finding `json:"findings"`
	// Changes describes all differences from the configuration compared with.
	Changes []string `json:"changes"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	content, err := readFile(c.Argument.File)
	if err != nil {
		return err
	}
	report := configReport{Findings: []check.Finding{}, Changes: []string{}}
	configuration, findings := parseConfiguration(content, c.Argument.File)
	report.Findings = append(report.Findings, findings...)
	if len(findings) == 0 {
		risky, err := c.compare(configuration, &report)
		if err != nil {
			return err
		}
		report.Findings = append(append(report.Findings, risky...), check.Run(configuration)...)
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return &findingsError{len(report.Findings)}
	}
	return nil
}

// compare returns the risky changes and stores the description of all changes.
func (c *configCheck) compare(configuration check.Configuration, report *configReport) ([]check.Finding, error) {
	if c.Against == "" {
		return nil, nil
	}
	content, err := c.readAgainst()
	if err != nil {
		return nil, err
	}
	before, faults := parseConfiguration(content, c.Against)
	if len(faults) > 0 {
		return nil, &usageError{Message: "--against: " + faults[0].String()}
	}
	if (before.Services == nil) != (configuration.Services == nil) {
		return nil, &usageError{Message: "--against: cannot compare a tables file with a platform's configuration"}
	}
	risky, changes := check.Compare(before, configuration)
	report.Changes = append(report.Changes, changes...)
	return risky, nil
}

// readAgainst reads the configuration to compare with. A refusal by the entry counts as a
// usage error because status 1 means findings.
func (c *configCheck) readAgainst() ([]byte, error) {
	if !strings.HasPrefix(c.Against, "http://") && !strings.HasPrefix(c.Against, "https://") {
		return readFile(c.Against)
	}
	c.tool.common.Operator = c.Against
	client, ctx, cancel, err := c.tool.client()
	if err != nil {
		return nil, err
	}
	defer cancel()
	tables, err := client.GetTables(ctx)
	if err != nil {
		err = fromClientError(err)
		var refused *refusedError
		if errors.As(err, &refused) {
			return nil, &usageError{Message: "--against: " + refused.Error()}
		}
		return nil, err
	}
	return io.ReadAll(tables.Response.Data)
}

// parseConfiguration parses a platform's configuration, which is a JSON object, or else a
// tables file.
func parseConfiguration(content []byte, source string) (check.Configuration, []check.Finding) {
	if !bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")) {
		configuration, findings := check.ParseTables(content, source)
		configuration.MaxAttempts = retry.DefaultMaxAttempts
		return configuration, findings
	}
	version, err := platform.DecodeConfiguration(content)
	if err != nil {
		return check.Configuration{}, []check.Finding{{Code: check.Invalid, Source: source, Reason: err.Error()}}
	}
	return check.Configuration{Source: source, Table: version.Routes.Table(), Services: version.Services}, nil
}

func (c *configCheck) print(report configReport) error {
	if c.Format == "json" {
		encoder := json.NewEncoder(c.tool.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, finding := range report.Findings {
		_, _ = fmt.Fprintln(c.tool.out, finding)
	}
	if c.Against != "" {
		_, _ = fmt.Fprintf(c.tool.out, "changes against %s:\n", c.Against)
		c.tool.printLines(report.Changes)
	}
	return nil
}
