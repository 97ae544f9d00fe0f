package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// need tells whether a key may be left out.
type need bool

const (
	required need = true
	optional need = false
)

// reader takes typed values out of an INI file and collects every fault.
type reader struct {
	file   string
	ini    *ini.File
	known  map[string]map[string]bool
	faults Errors
}

func newReader(file string) (*reader, error) {
	options := ini.LoadOptions{Insensitive: false, AllowShadows: false}
	loaded, err := ini.LoadSources(options, file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return &reader{file: file, ini: loaded, known: map[string]map[string]bool{}}, nil
}

func (r *reader) fault(section, key, value, expected string) {
	fault := &KeyError{File: r.file, Section: section, Key: key, Value: value, Expected: expected}
	r.faults = append(r.faults, fault)
}

// take returns the raw value and whether it stands in the file.
func (r *reader) take(section, key string, wanted need, expected string) (string, bool) {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
	found, err := r.ini.GetSection(section)
	if err != nil || !found.HasKey(key) {
		if wanted == required {
			r.fault(section, key, "", expected)
		}
		return "", false
	}
	value := strings.TrimSpace(found.Key(key).String())
	if value == "" && wanted == required {
		r.fault(section, key, "", expected)
		return "", false
	}
	return value, true
}

func (r *reader) text(section, key string, into *string, wanted need, expected string) {
	if value, ok := r.take(section, key, wanted, expected); ok {
		*into = value
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (r *reader) name(section, key string, into *string, wanted need) {
	const expected = "a name of lower-case letters, digits, dots and hyphens"
	value, ok := r.take(section, key, wanted, expected)
	if !ok {
		return
	}
	if !namePattern.MatchString(value) {
		r.fault(section, key, value, expected)
		return
	}
	*into = value
}

const addressExpected = "an address IP:port"

func (r *reader) address(section, key string, into *string, wanted need) {
	value, ok := r.take(section, key, wanted, addressExpected)
	if !ok {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.fault(section, key, value, addressExpected)
		return
	}
	*into = value
}

func (r *reader) addresses(section, key string, into *[]string) {
	value, ok := r.take(section, key, optional, addressExpected)
	if !ok {
		return
	}
	for _, part := range splitList(value) {
		if _, err := netip.ParseAddrPort(part); err != nil {
			r.fault(section, key, part, addressExpected)
			continue
		}
		*into = append(*into, part)
	}
}

func (r *reader) url(section, key string, into *string, wanted need) {
	const expected = "a URL http://IP:port or https://IP:port"
	value, ok := r.take(section, key, wanted, expected)
	if !ok {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		r.fault(section, key, value, expected)
		return
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		r.fault(section, key, value, expected)
		return
	}
	*into = strings.TrimSuffix(value, "/")
}

// duration takes a duration with a unit, within [low, high].
func (r *reader) duration(section, key string, into *time.Duration, low, high time.Duration) {
	expected := "a duration with a unit, from " + low.String() + " to " + high.String()
	value, ok := r.take(section, key, optional, expected)
	if !ok {
		return
	}
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < low || parsed > high {
		r.fault(section, key, value, expected)
		return
	}
	*into = parsed
}

// Units of sizes in settings.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
)

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", KiB}, {"MiB", MiB}, {"B", 1}}

func (r *reader) size(section, key string, into *int64, low, high int64) {
	const expected = "a size with a unit B, KiB or MiB, within the allowed range"
	value, ok := r.take(section, key, optional, expected)
	if !ok {
		return
	}
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(value, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count < 0 || count > high/unit.bytes || count*unit.bytes < low {
			break
		}
		*into = count * unit.bytes
		return
	}
	r.fault(section, key, value, expected)
}

func (r *reader) integer(section, key string, into *int, low, high int) {
	expected := "a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
	value, ok := r.take(section, key, optional, expected)
	if !ok {
		return
	}
	parsed, err := strconv.Atoi(value)
	if err != nil || parsed < low || parsed > high {
		r.fault(section, key, value, expected)
		return
	}
	*into = parsed
}

func (r *reader) number(section, key string, into *float64, low, high float64) {
	expected := fmt.Sprintf("a number from %g to %g", low, high)
	value, ok := r.take(section, key, optional, expected)
	if !ok {
		return
	}
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= low && parsed <= high) {
		r.fault(section, key, value, expected)
		return
	}
	*into = parsed
}

func (r *reader) flag(section, key string, into *bool) {
	const expected = "true or false"
	value, ok := r.take(section, key, optional, expected)
	if !ok {
		return
	}
	switch value {
	case "true":
		*into = true
	case "false":
		*into = false
	default:
		r.fault(section, key, value, expected)
	}
}

func (r *reader) choice(section, key string, into *string, choices ...string) {
	expected := "one of " + strings.Join(choices, ", ")
	value, ok := r.take(section, key, optional, expected)
	if !ok {
		return
	}
	for _, choice := range choices {
		if value == choice {
			*into = value
			return
		}
	}
	r.fault(section, key, value, expected)
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (r *reader) hashes(section, key string, into *[]string, wanted need) {
	const expected = "hex SHA-256 hashes, separated by commas"
	value, ok := r.take(section, key, wanted, expected)
	if !ok {
		return
	}
	for _, part := range splitList(value) {
		if !hashPattern.MatchString(part) {
			r.fault(section, key, part, expected)
			continue
		}
		*into = append(*into, part)
	}
}

// finish reports unknown sections and keys together with all other faults.
func (r *reader) finish() error {
	for _, section := range r.ini.Sections() {
		r.finishSection(section)
	}
	if len(r.faults) == 0 {
		return nil
	}
	return r.faults
}

func (r *reader) finishSection(section *ini.Section) {
	keys, known := r.known[section.Name()]
	if section.Name() == ini.DefaultSection {
		for _, key := range section.KeyStrings() {
			r.fault("", key, section.Key(key).String(), "every key to stand in a section")
		}
		return
	}
	if !known {
		r.fault(section.Name(), "", "", "a known section")
		return
	}
	for _, key := range section.KeyStrings() {
		if !keys[key] {
			r.fault(section.Name(), key, section.Key(key).String(), "a known key")
		}
	}
}

func splitList(value string) []string {
	parts := []string{}
	for _, part := range strings.Split(value, ",") {
		if trimmed := strings.TrimSpace(part); trimmed != "" {
			parts = append(parts, trimmed)
		}
	}
	return parts
}
