// Package check finds problems of a configuration before it is published: faults that
// validation rejects, entries that are valid but can never take effect, limits that
// contradict each other, and risky differences from another version.
package check

import (
	"bytes"
	"cmp"
	"errors"
	"slices"

	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/table"
)

// Code identifies a kind of finding.
type Code string

// Codes of findings.
const (
	// Invalid is a fault for which the tables would be rejected.
	Invalid Code = "invalid"
	// ShadowedRoute is a route whose requests all match another route first.
	ShadowedRoute Code = "shadowed_route"
	// UnmatchableHost is a route whose host contains upper-case letters; requests are
	// compared in lower case.
	UnmatchableHost Code = "unmatchable_host"
	// MissingService is a route to a service that does not exist.
	MissingService Code = "missing_service"
	// EmptyPool is a route to a pool without a target that may get new work.
	EmptyPool Code = "empty_pool"
	// DuplicateKey is an API key that occurs twice.
	DuplicateKey Code = "duplicate_key"
	// OrganisationWithoutKeys is an organisation that no request can belong to.
	OrganisationWithoutKeys Code = "organisation_without_keys"
	// DomainWithoutTargets is a failure domain that no target belongs to.
	DomainWithoutTargets Code = "domain_without_targets"
	// AttemptsOverTargets is a route with more attempts than its pool has targets.
	AttemptsOverTargets Code = "attempts_over_targets"
	// ObjectiveOverTimeout is a route whose latency objective exceeds its timeout.
	ObjectiveOverTimeout Code = "objective_over_timeout"
	// QuotaBelowOne is a quota of less than one request a second.
	QuotaBelowOne Code = "quota_below_one"
	// WarmupBelowOne is a service whose cold targets take less than one request in the
	// whole warm-up.
	WarmupBelowOne Code = "warmup_below_one"
	// FewerTargets, FewerSlots, KeysWithdrawn, OrdersRepeatable, RouteWithdrawn and
	// RoutePublic are the risky changes against another version.
	FewerTargets     Code = "fewer_targets"
	FewerSlots       Code = "fewer_slots"
	KeysWithdrawn    Code = "keys_withdrawn"
	OrdersRepeatable Code = "orders_repeatable"
	RouteWithdrawn   Code = "route_withdrawn"
	RoutePublic      Code = "route_public"
)

// Codes lists every code.
var Codes = []Code{
	Invalid, ShadowedRoute, UnmatchableHost, MissingService, EmptyPool, DuplicateKey,
	OrganisationWithoutKeys, DomainWithoutTargets, AttemptsOverTargets, ObjectiveOverTimeout,
	QuotaBelowOne, WarmupBelowOne, FewerTargets, FewerSlots, KeysWithdrawn, OrdersRepeatable,
	RouteWithdrawn, RoutePublic,
}

// Finding is one problem of a configuration.
type Finding struct {
	Code Code `json:"code"`
	// Source is the file, Line the 1-based line in it; 0 when unknown.
	Source string `json:"source"`
	Line   int    `json:"line,omitempty"`
	// Section is the kind and the name of the entry, Key the key within it.
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// String formats the finding like a validation error, followed by its code.
func (f Finding) String() string {
	position := table.ValidationError{Source: f.Source, Line: f.Line, Section: f.Section, Key: f.Key, Reason: f.Reason}
	if f.Line == 0 {
		position.Source = ""
		return f.Source + ": " + position.Error() + " (" + string(f.Code) + ")"
	}
	return position.Error() + " (" + string(f.Code) + ")"
}

// Configuration is a parsed configuration.
type Configuration struct {
	// Source is the name of the file.
	Source string
	Table  *table.Table
	// Lines is nil if the line numbers are not known.
	Lines *table.Lines
	// Services holds the services of a platform's configuration, whose targets register
	// themselves; nil for a tables file.
	Services map[string]*config.Service
	// MaxAttempts is the number of attempts of a request whose route sets none.
	MaxAttempts int
}

// ParseTables parses a tables file. If it is invalid, it returns the faults as findings.
func ParseTables(content []byte, source string) (Configuration, []Finding) {
	parsed, lines, err := table.ParseWithLines(bytes.NewReader(content), source)
	if err == nil {
		return Configuration{Source: source, Table: parsed, Lines: lines}, nil
	}
	var faults table.ValidationErrors
	if !errors.As(err, &faults) {
		return Configuration{}, []Finding{{Code: Invalid, Source: source, Reason: err.Error()}}
	}
	findings := make([]Finding, 0, len(faults))
	for _, fault := range faults {
		findings = append(findings, Finding{Invalid, fault.Source, fault.Line, fault.Section, fault.Key, fault.Reason})
	}
	return Configuration{}, findings
}

// checker collects the findings of a configuration.
type checker struct {
	Configuration
	findings []Finding
}

func (c *checker) add(code Code, section, key, reason string) {
	position := table.ValidationError{Section: section, Key: key}
	if c.Lines != nil {
		c.Lines.Locate(&position)
	}
	c.findings = append(c.findings, Finding{code, c.Source, position.Line, section, key, reason})
}

// Run returns the findings of a valid configuration by position.
func Run(configuration Configuration) []Finding {
	c := &checker{Configuration: configuration}
	c.checkShadows()
	for _, name := range sortedNames(c.Table.Routes) {
		c.checkRoute(c.Table.Routes[name])
	}
	for _, name := range sortedNames(c.Services) {
		c.checkWarmup(c.Services[name])
	}
	c.checkKeys()
	c.checkDomains()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return c.findings
}
