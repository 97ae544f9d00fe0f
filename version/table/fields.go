package table

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section kinds of the tables' file.
const (
	sectionRoute        = "route"
	sectionPool         = "pool"
	sectionTarget       = "target"
	sectionDomain       = "failure_domain"
	sectionOrganisation = "organisation"
)

// Defaults of keys that a file leaves out.
const (
	defaultTimeout = 30 * time.Second
	defaultPolicy  = "score"
)

// field binds one key of a section to a field of T.
type field[T any] struct {
	key string
	// set stores the value and returns what is wrong with it, if anything.
	set func(entry *T, value string) string
	// get returns the value as the file has it; empty values are not written.
	get func(entry *T) string
}

var routeFields = []field[Route]{
	textField("host", func(r *Route) *string { return &r.Match.Host }),
	textField("path", func(r *Route) *string { return &r.Match.Path }),
	textField("model", func(r *Route) *string { return &r.Match.Model }),
	textField("organisation", func(r *Route) *string { return &r.Match.Organisation }),
	textField("class", func(r *Route) *Class { return &r.Match.Class }),
	{"header", setHeader, getHeader},
	intField("priority", func(r *Route) *int { return &r.Priority }),
	textField("pool", func(r *Route) *string { return &r.Pool }),
	textField("fallback_pool", func(r *Route) *string { return &r.FallbackPool }),
	{"timeout", setTimeout, func(r *Route) string { return r.Timeout.String() }},
	boolField("idempotent", func(r *Route) *bool { return &r.Idempotent }),
	textField("default_class", func(r *Route) *Class { return &r.Class }),
	floatField("quota_per_second", func(r *Route) *float64 { return &r.QuotaPerSecond }),
}

var poolFields = []field[Pool]{
	textField("kind", func(p *Pool) *PoolKind { return &p.Kind }),
	listField("targets", func(p *Pool) *[]string { return &p.Targets }),
	intField("cold_limit", func(p *Pool) *int { return &p.ColdLimit }),
	intField("maximum", func(p *Pool) *int { return &p.Maximum }),
	textField("fencing", func(p *Pool) *Fencing { return &p.Fencing }),
	textField("policy", func(p *Pool) *string { return &p.Policy }),
	boolField("lock_step", func(p *Pool) *bool { return &p.LockStep }),
	boolField("rebalance", func(p *Pool) *bool { return &p.Rebalance }),
}

var targetFields = []field[Target]{
	textField("agent", func(t *Target) *string { return &t.Agent }),
	textField("failure_domain", func(t *Target) *string { return &t.FailureDomain }),
	boolField("leaving", func(t *Target) *bool { return &t.Leaving }),
}

var domainFields = []field[Domain]{
	textField("region", func(d *Domain) *string { return &d.Region }),
	boolField("out", func(d *Domain) *bool { return &d.Out }),
}

var organisationFields = []field[Organisation]{
	listField("key_sha256", func(o *Organisation) *[]string { return &o.KeyHashes }),
	floatField("weight", func(o *Organisation) *float64 { return &o.Weight }),
}

func textField[T any, S ~string](key string, at func(*T) *S) field[T] {
	return field[T]{
		key: key,
		set: func(entry *T, value string) string { *at(entry) = S(value); return "" },
		get: func(entry *T) string { return string(*at(entry)) },
	}
}

func intField[T any](key string, at func(*T) *int) field[T] {
	set := func(entry *T, value string) string {
		number, err := strconv.Atoi(value)
		if err != nil {
			return "not a whole number: " + value
		}
		*at(entry) = number
		return ""
	}
	return field[T]{key, set, func(entry *T) string { return strconv.Itoa(*at(entry)) }}
}

func boolField[T any](key string, at func(*T) *bool) field[T] {
	set := func(entry *T, value string) string {
		switch value {
		case "true":
			*at(entry) = true
		case "false":
			*at(entry) = false
		default:
			return "neither true nor false: " + value
		}
		return ""
	}
	return field[T]{key, set, func(entry *T) string { return strconv.FormatBool(*at(entry)) }}
}

func floatField[T any](key string, at func(*T) *float64) field[T] {
	set := func(entry *T, value string) string {
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return "not a number: " + value
		}
		*at(entry) = number
		return ""
	}
	get := func(entry *T) string { return strconv.FormatFloat(*at(entry), 'g', -1, 64) }
	return field[T]{key, set, get}
}

func listField[T any](key string, at func(*T) *[]string) field[T] {
	set := func(entry *T, value string) string {
		for _, item := range strings.Split(value, ",") {
			item = strings.TrimSpace(item)
			if item != "" {
				*at(entry) = append(*at(entry), item)
			}
		}
		return ""
	}
	return field[T]{key, set, func(entry *T) string { return strings.Join(*at(entry), ", ") }}
}

func setHeader(route *Route, value string) string {
	name, content, found := strings.Cut(value, ":")
	name, content = strings.TrimSpace(name), strings.TrimSpace(content)
	if !found || name == "" || content == "" {
		return "must read Name: value"
	}
	route.Match.HeaderName = http.CanonicalHeaderKey(name)
	route.Match.HeaderValue = content
	return ""
}

func getHeader(route *Route) string {
	if route.Match.HeaderName == "" {
		return ""
	}
	return route.Match.HeaderName + ": " + route.Match.HeaderValue
}

func setTimeout(route *Route, value string) string {
	timeout, err := time.ParseDuration(value)
	if err != nil {
		return "not a duration such as 5s: " + value
	}
	route.Timeout = timeout
	return ""
}

func fieldKeys[T any](fields []field[T]) []string {
	keys := make([]string, 0, len(fields))
	for _, one := range fields {
		keys = append(keys, one.key)
	}
	return keys
}

func findField[T any](fields []field[T], key string) (field[T], bool) {
	at := slices.IndexFunc(fields, func(one field[T]) bool { return one.key == key })
	if at < 0 {
		return field[T]{}, false
	}
	return fields[at], true
}
