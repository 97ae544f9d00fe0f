package table

import (
	"encoding/hex"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"unicode"
)

// Limits on the contents of a table.
const (
	maxNameBytes    = 128
	maxTextBytes    = 512
	maxPathSegments = 16
	keyHashBytes    = 32
)

var (
	tokenPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
	policies     = []string{"score", "p2c", "least", "round_robin"}
	classes      = []Class{ClassLow, ClassNormal, ClassHigh}
)

// Validate checks the whole table. It fails with ValidationErrors that hold every
// error found.
func (t *Table) Validate() error { return validate(t).orNil() }

func validate(t *Table) ValidationErrors {
	c := &checker{table: t, lockStepPool: map[string]string{}}
	for _, name := range sortedNames(t.Domains) {
		c.beginEntry(sectionDomain, name, t.Domains[name].Name)
		c.checkText("region", t.Domains[name].Region)
	}
	for _, name := range sortedNames(t.Targets) {
		c.checkTarget(name, t.Targets[name])
	}
	for _, name := range sortedNames(t.Pools) {
		c.checkPool(name, t.Pools[name])
	}
	for _, name := range sortedNames(t.Routes) {
		c.checkRoute(name, t.Routes[name])
	}
	c.checkOrganisations()
	return append(c.errs, checkOverlaps(t.Routes)...)
}

func sortedNames[T any](entries map[string]T) []string {
	return slices.Sorted(maps.Keys(entries))
}

// isName reports whether text is a valid entry name: letters, digits, dots,
// underscores and hyphens, starting with a letter or digit.
func isName(text string) bool {
	for i := range len(text) {
		c := text[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		punctuation := c == '.' || c == '_' || c == '-'
		if !alphanumeric && (i == 0 || !punctuation) {
			return false
		}
	}
	return text != ""
}

// checker validates a table and collects the errors.
type checker struct {
	table *Table
	// section is the section under validation.
	section string
	// lockStepPool maps each target that is a rank to its lock-step pool.
	lockStepPool map[string]string
	errs         ValidationErrors
}

func (c *checker) addError(key, reason string) {
	c.errs = append(c.errs, &ValidationError{Section: c.section, Key: key, Reason: reason})
}

// require adds an error unless ok.
func (c *checker) require(ok bool, key, reason string) {
	if !ok {
		c.addError(key, reason)
	}
}

// beginEntry makes an entry's section the current one and checks its name.
func (c *checker) beginEntry(kind, key, name string) {
	c.section = kind + " " + key
	c.require(key == name, "", "entry key differs from the entry's name: "+name)
	c.require(len(key) <= maxNameBytes, "", "name is too long")
	c.require(isName(key), "", "name must consist of letters, digits, dots, hyphens and underscores, and start with a letter or digit")
}

// checkText rejects values that are too long or that would not survive being
// written to an INI file and parsed again.
func (c *checker) checkText(key, value string) {
	c.require(len(value) <= maxTextBytes, key, "value is too long")
	c.require(value == strings.TrimSpace(value), key, "value has leading or trailing white space")
	c.require(!strings.ContainsFunc(value, unicode.IsControl), key, "value contains a control character")
	c.require(!strings.ContainsAny(value, "\"'`\\"), key, "value contains a quote or backslash")
}

func (c *checker) checkTarget(name string, target Target) {
	c.beginEntry(sectionTarget, name, target.Name)
	address, err := netip.ParseAddrPort(target.Agent)
	c.require(err == nil && address.Port() != 0, "agent", "not an IP:port address: "+target.Agent)
	_, found := c.table.Domains[target.FailureDomain]
	c.require(found, "failure_domain", "unknown failure domain: "+target.FailureDomain)
}

func (c *checker) checkPool(name string, pool Pool) {
	c.beginEntry(sectionPool, name, pool.Name)
	c.require(pool.Kind == KindModel || pool.Kind == KindService, "kind", "neither model nor service: "+string(pool.Kind))
	c.require(pool.ColdLimit > 0, "cold_limit", "must be positive")
	c.require(pool.Maximum > 0, "maximum", "must be positive")
	c.require(pool.ColdLimit <= pool.Maximum, "cold_limit", "must not exceed maximum")
	knownFencing := pool.Fencing == FencingChecked || pool.Fencing == FencingIgnored
	c.require(knownFencing, "fencing", "neither checked nor ignored: "+string(pool.Fencing))
	c.require(slices.Contains(policies, pool.Policy), "policy", "unknown policy: "+pool.Policy)
	c.checkLockStep(name, pool)
	seen := map[string]bool{}
	for _, target := range pool.Targets {
		_, found := c.table.Targets[target]
		c.require(found, "targets", "unknown target: "+target)
		c.require(!seen[target], "targets", "target listed twice: "+target)
		seen[target] = true
	}
}

// checkLockStep validates the keys of a lock-step group. A target may be a rank of
// only one group, since its engine executes one step at a time.
func (c *checker) checkLockStep(name string, pool Pool) {
	if !pool.LockStep {
		c.require(!pool.Rebalance, "rebalance", "requires lock_step")
		return
	}
	c.require(pool.Kind == KindModel, "lock_step", "requires kind model")
	c.require(len(pool.Targets) > 0, "lock_step", "requires targets")
	for _, target := range pool.Targets {
		other, taken := c.lockStepPool[target]
		c.require(!taken || other == name, "targets", "target is already a rank of pool "+other)
		c.lockStepPool[target] = name
	}
}

func (c *checker) checkRoute(name string, route Route) {
	c.beginEntry(sectionRoute, name, route.Name)
	c.checkMatch(route.Match)
	_, found := c.table.Pools[route.Pool]
	c.require(found, "pool", "unknown pool: "+route.Pool)
	if route.FallbackPool != "" {
		_, found = c.table.Pools[route.FallbackPool]
		c.require(found, "fallback_pool", "unknown pool: "+route.FallbackPool)
		c.require(route.FallbackPool != route.Pool, "fallback_pool", "must differ from pool")
	}
	c.require(route.Timeout > 0, "timeout", "must be positive")
	c.require(slices.Contains(classes, route.Class), "default_class", "unknown class: "+string(route.Class))
	c.require(route.QuotaPerSecond >= 0, "quota_per_second", "must not be negative")
}

func (c *checker) checkMatch(match Match) {
	c.checkText("path", match.Path)
	c.checkText("model", match.Model)
	c.checkText("header", match.HeaderValue)
	if match.Path != "" {
		c.require(match.Path[0] == '/', "path", "must start with /")
		c.require(match.Path == "/" || !strings.HasSuffix(match.Path, "/"), "path", "must not end with /")
		c.require(strings.Count(match.Path, "/") <= maxPathSegments, "path", "has too many segments")
	}
	if match.Organisation != "" {
		_, found := c.table.Organisations[match.Organisation]
		c.require(found, "organisation", "unknown organisation: "+match.Organisation)
	}
	knownClass := match.Class == "" || slices.Contains(classes, match.Class)
	c.require(knownClass, "class", "unknown class: "+string(match.Class))
	if match.HeaderName != "" || match.HeaderValue != "" {
		c.require(tokenPattern.MatchString(match.HeaderName), "header", "invalid header name: "+match.HeaderName)
		c.require(match.HeaderValue != "", "header", "missing value")
	}
}

func (c *checker) checkOrganisations() {
	owners := map[string]string{}
	for _, name := range sortedNames(c.table.Organisations) {
		organisation := c.table.Organisations[name]
		c.beginEntry(sectionOrganisation, name, organisation.Name)
		c.require(organisation.Weight >= 0, "weight", "must not be negative")
		for _, hash := range organisation.KeyHashes {
			c.checkKeyHash(name, hash, owners)
		}
	}
}

func (c *checker) checkKeyHash(name, hash string, owners map[string]string) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != keyHashBytes {
		c.addError("key_sha256", "not a SHA-256 hash in hex: "+hash)
		return
	}
	c.require(hash == strings.ToLower(hash), "key_sha256", "hex must be lower case: "+hash)
	if other, taken := owners[string(decoded)]; taken {
		c.addError("key_sha256", "hash already belongs to organisation "+other)
	}
	owners[string(decoded)] = name
}
