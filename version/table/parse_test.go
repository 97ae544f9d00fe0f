package table

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const validTables = `
[failure_domain thamel]
region = bagmati

[target advice-1]
agent = 127.0.0.1:7001
failure_domain = thamel

[pool advice]
kind = model
targets = advice-1
cold_limit = 2
maximum = 8
fencing = checked

[organisation sorters]
key_sha256 = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae

[route chat]
path = /v1/chat/completions
model = petal/advice:7b
pool = advice
timeout = 5s
idempotent = true

[route chat-sorters]
path = /v1
organisation = sorters
header = x-shift: night; late #2
priority = 10
pool = advice
`

func TestParseAcceptsEverySectionKind(t *testing.T) {
	parsed, err := Parse(strings.NewReader(validTables), "valid.ini")
	require.NoError(t, err)
	require.Equal(t, "petal/advice:7b", parsed.Routes["chat"].Match.Model)
	require.True(t, parsed.Routes["chat"].Idempotent)
	require.Equal(t, "night; late #2", parsed.Routes["chat-sorters"].Match.HeaderValue)
	require.Equal(t, ClassNormal, parsed.Routes["chat-sorters"].Class)
	require.Equal(t, []string{"advice-1"}, parsed.Pools["advice"].Targets)
}

func TestParseReportsEachErrorWithItsLine(t *testing.T) {
	cases := []struct {
		desc, sections string
		want           string
	}{
		{"unknown section", "[rout x]", ":1: [rout x] unknown section kind: rout"},
		{"section without a name", "[route]", ":1: [route] section header must be of the form [kind NAME]"},
		{"key outside any section", "pool = advice", ":1: pool: key outside any section"},
		{"unknown key", "[failure_domain p]\nregoin = x", ":2: [failure_domain p] regoin: unknown key"},
		{"line without a value", "[failure_domain p]\nregion", ":2: [failure_domain p] neither a section nor key = value: region"},
		{"duplicate key", "[failure_domain p]\nregion = a\nregion = b", ":3: [failure_domain p] region: duplicate key, first on line 2"},
		{"duplicate route", "[route r]\npool = advice\n[route r]\npool = advice", ":3: [route r] duplicate route, first on line 1"},
		{"dangling pool", "[route r]\npath = /x\npool = none", ":3: [route r] pool: unknown pool: none"},
		{"missing pool", "[route r]\npath = /x", ":1: [route r] pool: unknown pool: "},
		{"fallback pool equals pool", "[route r]\npath = /x\npool = advice\nfallback_pool = advice", ":4: [route r] fallback_pool: must differ from pool"},
		{"dangling target", "[pool p]\nkind = model\ntargets = advice-1, none\ncold_limit = 1\nmaximum = 1\nfencing = ignored", ":3: [pool p] targets: unknown target: none"},
		{"cold limit above maximum", "[pool p]\nkind = model\ncold_limit = 9\nmaximum = 8\nfencing = ignored", ":3: [pool p] cold_limit: must not exceed maximum"},
		{"limit not positive", "[pool p]\nkind = model\ncold_limit = 0\nmaximum = 8\nfencing = ignored", ":3: [pool p] cold_limit: must be positive"},
		{"invalid fencing", "[pool p]\nkind = model\ncold_limit = 1\nmaximum = 8\nfencing = maybe", ":5: [pool p] fencing: neither checked nor ignored: maybe"},
		{"invalid policy", "[pool p]\nkind = model\ncold_limit = 1\nmaximum = 8\nfencing = ignored\npolicy = best", ":6: [pool p] policy: unknown policy: best"},
		{"invalid kind", "[pool p]\nkind = disk\ncold_limit = 1\nmaximum = 8\nfencing = ignored", ":2: [pool p] kind: neither model nor service: disk"},
		{"lock step in a service pool", "[pool p]\nkind = service\ntargets = advice-1\ncold_limit = 1\nmaximum = 1\nfencing = ignored\nlock_step = true", ":7: [pool p] lock_step: requires kind model"},
		{"lock step without targets", "[pool p]\nkind = model\ncold_limit = 1\nmaximum = 1\nfencing = ignored\nlock_step = true", ":6: [pool p] lock_step: requires targets"},
		{"rank of two groups", "[pool p]\nkind = model\ntargets = advice-1\ncold_limit = 1\nmaximum = 1\nfencing = ignored\nlock_step = true\n[pool q]\nkind = model\ntargets = advice-1\ncold_limit = 1\nmaximum = 1\nfencing = ignored\nlock_step = true", ":10: [pool q] targets: target is already a rank of pool p"},
		{"rebalance without lock step", "[pool p]\nkind = model\ncold_limit = 1\nmaximum = 1\nfencing = ignored\nrebalance = true", ":6: [pool p] rebalance: requires lock_step"},
		{"unknown failure domain", "[target t]\nagent = 127.0.0.1:1\nfailure_domain = mars", ":3: [target t] failure_domain: unknown failure domain: mars"},
		{"agent by host name", "[target t]\nagent = host:1\nfailure_domain = thamel", ":2: [target t] agent: not an IP:port address: host:1"},
		{"invalid class", "[route r]\npath = /x\npool = advice\nclass = vip", ":4: [route r] class: unknown class: vip"},
		{"invalid timeout", "[route r]\npath = /x\npool = advice\ntimeout = 5", ":4: [route r] timeout: not a duration such as 5s: 5"},
		{"negative timeout", "[route r]\npath = /x\npool = advice\ntimeout = -5s", ":4: [route r] timeout: must be positive"},
		{"invalid header", "[route r]\npath = /x\npool = advice\nheader = nothing", ":4: [route r] header: must be of the form Name: value"},
		{"invalid boolean", "[route r]\npath = /x\npool = advice\nidempotent = yes", ":4: [route r] idempotent: neither true nor false: yes"},
		{"invalid hash", "[organisation o]\nkey_sha256 = 12ab", ":2: [organisation o] key_sha256: not a SHA-256 hash in hex: 12ab"},
		{"key of two organisations", "[organisation a]\nkey_sha256 = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "hash already belongs to organisation a"},
		{"overlap at equal priority", "[route r]\npath = /v1/chat\npool = advice\npriority = 0", ":4: [route r] priority: overlaps with route chat at the same priority"},
		{"weight is not a number", "[organisation o]\nweight = NaN", ":2: [organisation o] weight: not a number: NaN"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := Parse(strings.NewReader(tc.sections+"\n"+validTables), "invalid.ini")
			var errs ValidationErrors
			require.True(t, errors.As(err, &errs))
			require.Contains(t, err.Error(), tc.want)
			require.NotContains(t, err.Error(), "invalid.ini:0:", "every error has a line")
		})
	}
}

func TestParseReportsAllErrorsAtOnce(t *testing.T) {
	text := "[route a]\npool = none\nclass = vip\n[pool p]\nkind = x\n[target t]\nagent = y\n"
	_, err := Parse(strings.NewReader(text), "invalid.ini")
	var errs ValidationErrors
	require.ErrorAs(t, err, &errs)
	seen := map[string]bool{}
	for _, e := range errs {
		seen[e.Section+"/"+e.Key] = true
	}
	for _, want := range []string{"route a/pool", "route a/class", "pool p/kind", "pool p/cold_limit",
		"pool p/maximum", "pool p/fencing", "target t/agent", "target t/failure_domain"} {
		require.True(t, seen[want], want)
	}
}

func TestWriteINIRoundTripsThroughParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawTable(t)
		var text bytes.Buffer
		require.NoError(t, want.WriteINI(&text))
		got, err := Parse(&text, "roundtrip.ini")
		require.NoError(t, err)
		require.True(t, Diff(got, want).Empty(), "%v", Diff(got, want).Describe())
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validTables)
	f.Add("[route r]\nheader = a: b\n")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse(strings.NewReader(text), "fuzz.ini")
		if err != nil {
			var errs ValidationErrors
			require.ErrorAs(t, err, &errs)
			require.NotEmpty(t, errs)
			return
		}
		var written bytes.Buffer
		require.NoError(t, parsed.WriteINI(&written))
		reparsed, err := Parse(&written, "reparsed.ini")
		require.NoError(t, err)
		require.True(t, Diff(parsed, reparsed).Empty(), "%v", Diff(parsed, reparsed).Describe())
	})
}
