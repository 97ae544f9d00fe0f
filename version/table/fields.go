package table

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section kinds of a tables file.
const (
	sectionRoute        = "route"
	sectionPool         = "pool"
	sectionTarget       = "target"
	sectionDomain       = "failure_domain"
	sectionOrganisation = "organisation"
)

// Default values of optional keys.
const (
	defaultTimeout = 30 * time.Second
	defaultPolicy  = "score"
)

// field maps one key of an INI section to a field of T.
type field[T any] struct {
	key string
	// set parses and stores the value; it returns the reason if the value is
	// invalid, else an empty string.
	set func(entry *T, value string) string
	// get formats the value as in a tables file; empty values are not written.
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

var domainFields = []field[FailureDomain]{
	textField("region", func(d *FailureDomain) *string { return &d.Region }),
	boolField("out", func(d *FailureDomain) *bool { return &d.Out }),
}

var organisationFields = []field[Organisation]{
	listField("key_sha256", func(o *Organisation) *[]string { return &o.KeyHashes }),
	floatField("weight", func(o *Organisation) *float64 { return &o.Weight }),
}

func textField[T any, S ~string](key string, ptr func(*T) *S) field[T] {
	return field[T]{
		key: key,
		set: func(entry *T, value string) string { *ptr(entry) = S(value); return "" },
		get: func(entry *T) string { return string(*ptr(entry)) },
	}
}

func intField[T any](key string, ptr func(*T) *int) field[T] {
	set := func(entry *T, value string) string {
		number, err := strconv.Atoi(value)
		if err != nil {
			return "not a whole number: " + value
		}
		*ptr(entry) = number
		return ""
	}
	return field[T]{key, set, func(entry *T) string { return strconv.Itoa(*ptr(entry)) }}
}

func boolField[T any](key string, ptr func(*T) *bool) field[T] {
	set := func(entry *T, value string) string {
		switch value {
		case "true":
			*ptr(entry) = true
		case "false":
			*ptr(entry) = false
		default:
			return "neither true nor false: " + value
		}
		return ""
	}
	return field[T]{key, set, func(entry *T) string { return strconv.FormatBool(*ptr(entry)) }}
}

func floatField[T any](key string, ptr func(*T) *float64) field[T] {
	set := func(entry *T, value string) string {
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return "not a number: " + value
		}
		*ptr(entry) = number
		return ""
	}
	get := func(entry *T) string { return strconv.FormatFloat(*ptr(entry), 'g', -1, 64) }
	return field[T]{key, set, get}
}

func listField[T any](key string, ptr func(*T) *[]string) field[T] {
	set := func(entry *T, value string) string {
		for _, item := range strings.Split(value, ",") {
			item = strings.TrimSpace(item)
			if item != "" {
				*ptr(entry) = append(*ptr(entry), item)
			}
		}
		return ""
	}
	return field[T]{key, set, func(entry *T) string { return strings.Join(*ptr(entry), ", ") }}
}

func setHeader(route *Route, value string) string {
	name, content, found := strings.Cut(value, ":")
	name, content = strings.TrimSpace(name), strings.TrimSpace(content)
	if !found || name == "" || content == "" {
		return "must be of the form Name: value"
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
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return keys
}

func fieldByKey[T any](fields []field[T], key string) (field[T], bool) {
	i := slices.IndexFunc(fields, func(f field[T]) bool { return f.key == key })
	if i < 0 {
		return field[T]{}, false
	}
	return fields[i], true
}
