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

// requirement states whether a key must be present.
type requirement bool

const (
	required requirement = true
	optional requirement = false
)

// reader reads typed values from an INI file and collects all errors.
type reader struct {
	file string
	ini  *ini.File
	// known holds the keys looked up so far, by section; finish reports all others.
	known  map[string]map[string]bool
	errors KeyErrors
	// ignored holds the unknown keys that the file allows builds to ignore, as
	// "[section] key".
	ignored []string
}

// optionalKeysKey is the key that lists, in any section, keys that builds which do not
// know them may ignore.
const optionalKeysKey = "optional_keys"

func newReader(file string) (*reader, error) {
	options := ini.LoadOptions{Insensitive: false, AllowShadows: false}
	loaded, err := ini.LoadSources(options, file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return &reader{file: file, ini: loaded, known: map[string]map[string]bool{}}, nil
}

func (r *reader) addError(section, key, value, expected string) {
	err := &KeyError{File: r.file, Section: section, Key: key, Value: value, Expected: expected}
	r.errors = append(r.errors, err)
}

// lookup returns the value without surrounding space and whether it is present. It
// records an error when a required value is missing or empty.
func (r *reader) lookup(section, key string, need requirement, expected string) (string, bool) {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
	found, err := r.ini.GetSection(section)
	if err != nil || !found.HasKey(key) {
		if need == required {
			r.addError(section, key, "", expected)
		}
		return "", false
	}
	value := strings.TrimSpace(found.Key(key).String())
	if value == "" && need == required {
		r.addError(section, key, "", expected)
		return "", false
	}
	return value, true
}

func (r *reader) text(section, key string, dest *string, need requirement, expected string) {
	if value, ok := r.lookup(section, key, need, expected); ok {
		*dest = value
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (r *reader) name(section, key string, dest *string, need requirement) {
	const expected = "a name of lower-case letters, digits, dots and hyphens"
	value, ok := r.lookup(section, key, need, expected)
	if !ok {
		return
	}
	if !namePattern.MatchString(value) {
		r.addError(section, key, value, expected)
		return
	}
	*dest = value
}

const addressExpected = "an address IP:port"

func (r *reader) address(section, key string, dest *string, need requirement) {
	value, ok := r.lookup(section, key, need, addressExpected)
	if !ok {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.addError(section, key, value, addressExpected)
		return
	}
	*dest = value
}

func (r *reader) addresses(section, key string, dest *[]string) {
	value, ok := r.lookup(section, key, optional, addressExpected)
	if !ok {
		return
	}
	for _, part := range splitList(value) {
		if _, err := netip.ParseAddrPort(part); err != nil {
			r.addError(section, key, part, addressExpected)
			continue
		}
		*dest = append(*dest, part)
	}
}

func (r *reader) url(section, key string, dest *string, need requirement) {
	const expected = "a URL http://IP:port or https://IP:port"
	value, ok := r.lookup(section, key, need, expected)
	if !ok {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		r.addError(section, key, value, expected)
		return
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		r.addError(section, key, value, expected)
		return
	}
	*dest = strings.TrimSuffix(value, "/")
}

// duration reads a duration with a unit, within [low, high].
func (r *reader) duration(section, key string, dest *time.Duration, low, high time.Duration) {
	expected := "a duration with a unit, from " + low.String() + " to " + high.String()
	value, ok := r.lookup(section, key, optional, expected)
	if !ok {
		return
	}
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < low || parsed > high {
		r.addError(section, key, value, expected)
		return
	}
	*dest = parsed
}

// Units of sizes, in bytes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
)

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", KiB}, {"MiB", MiB}, {"B", 1}}

func (r *reader) size(section, key string, dest *int64, low, high int64) {
	const expected = "a size with a unit B, KiB or MiB, within the allowed range"
	value, ok := r.lookup(section, key, optional, expected)
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
		*dest = count * unit.bytes
		return
	}
	r.addError(section, key, value, expected)
}

func (r *reader) integer(section, key string, dest *int, low, high int) {
	expected := "a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
	value, ok := r.lookup(section, key, optional, expected)
	if !ok {
		return
	}
	parsed, err := strconv.Atoi(value)
	if err != nil || parsed < low || parsed > high {
		r.addError(section, key, value, expected)
		return
	}
	*dest = parsed
}

func (r *reader) number(section, key string, dest *float64, low, high float64) {
	expected := fmt.Sprintf("a number from %g to %g", low, high)
	value, ok := r.lookup(section, key, optional, expected)
	if !ok {
		return
	}
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= low && parsed <= high) {
		r.addError(section, key, value, expected)
		return
	}
	*dest = parsed
}

func (r *reader) boolean(section, key string, dest *bool) {
	const expected = "true or false"
	value, ok := r.lookup(section, key, optional, expected)
	if !ok {
		return
	}
	switch value {
	case "true":
		*dest = true
	case "false":
		*dest = false
	default:
		r.addError(section, key, value, expected)
	}
}

func (r *reader) choice(section, key string, dest *string, choices ...string) {
	expected := "one of " + strings.Join(choices, ", ")
	value, ok := r.lookup(section, key, optional, expected)
	if !ok {
		return
	}
	for _, choice := range choices {
		if value == choice {
			*dest = value
			return
		}
	}
	r.addError(section, key, value, expected)
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (r *reader) hashes(section, key string, dest *[]string, need requirement) {
	const expected = "hex SHA-256 hashes, separated by commas"
	value, ok := r.lookup(section, key, need, expected)
	if !ok {
		return
	}
	for _, part := range splitList(value) {
		if !hashPattern.MatchString(part) {
			r.addError(section, key, part, expected)
			continue
		}
		*dest = append(*dest, part)
	}
}

// finish returns all errors, including those for unknown sections and keys.
func (r *reader) finish() error {
	for _, section := range r.ini.Sections() {
		r.checkUnknown(section)
	}
	if len(r.errors) == 0 {
		return nil
	}
	return r.errors
}

// checkUnknown records an error for a section or key that no setting uses, and for a
// key outside a section.
func (r *reader) checkUnknown(section *ini.Section) {
	keys, known := r.known[section.Name()]
	if section.Name() == ini.DefaultSection {
		for _, key := range section.KeyStrings() {
			r.addError("", key, section.Key(key).String(), "every key to be in a section")
		}
		return
	}
	if !known {
		r.addError(section.Name(), "", "", "a known section")
		return
	}
	mayIgnore := r.optionalKeys(section)
	for _, key := range section.KeyStrings() {
		switch {
		case keys[key] || key == optionalKeysKey:
		case mayIgnore[key]:
			r.ignored = append(r.ignored, "["+section.Name()+"] "+key)
		default:
			r.addError(section.Name(), key, section.Key(key).String(), "a known key")
		}
	}
}

// optionalKeys returns the keys that the section's optionalKeysKey lists. It records an
// error for one that the section does not have, which is most likely misspelt.
func (r *reader) optionalKeys(section *ini.Section) map[string]bool {
	listed := map[string]bool{}
	if !section.HasKey(optionalKeysKey) {
		return listed
	}
	for _, key := range splitList(section.Key(optionalKeysKey).String()) {
		if !section.HasKey(key) {
			r.addError(section.Name(), optionalKeysKey, key, "keys of the section")
		}
		listed[key] = true
	}
	return listed
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
