package poison

import "time"

// Defaults of Config.
const (
	DefaultRefuseFor       = 10 * time.Minute
	DefaultMassWindow      = time.Second
	DefaultMassTargets     = 3
	DefaultSettle          = 1500 * time.Millisecond
	DefaultSpread          = 150 * time.Millisecond
	DefaultConvicting      = 2
	DefaultMaxCrashes      = 64
	DefaultMaxFingerprints = 1024
	DefaultMaxClearances   = 4096
)

// Config holds the settings of a Ledger; zero values select the defaults.
type Config struct {
	// RefuseFor is how long a fingerprint is refused after its latest crash, and how
	// long evidence is kept.
	RefuseFor time.Duration
	// MassWindow and MassTargets define a mass crash: at least MassTargets targets
	// crash within MassWindow.
	MassWindow  time.Duration
	MassTargets int
	// Settle is how long a fingerprint is held after its second crash or a mass
	// crash. It covers MassWindow and the time that crash reports take to arrive, so
	// that a mass crash is recognised before anything is refused and no trial starts
	// during one.
	Settle time.Duration
	// Spread is how long a suspect is held after its first crash, so that the
	// evidence reaches all entries before the request runs again.
	Spread time.Duration
	// Convicting is the number of crashes after which a fingerprint is refused if no
	// other one explains them as well. After three crashes, or Convicting if that is
	// more, it is refused in any case.
	Convicting int
	// MaxCrashes, MaxFingerprints (of one crash) and MaxClearances bound memory;
	// the oldest evidence is dropped first.
	MaxCrashes, MaxFingerprints, MaxClearances int
}

func (c Config) withDefaults() Config {
	setDefault(&c.RefuseFor, DefaultRefuseFor)
	setDefault(&c.MassWindow, DefaultMassWindow)
	setDefault(&c.MassTargets, DefaultMassTargets)
	setDefault(&c.Settle, DefaultSettle)
	setDefault(&c.Spread, DefaultSpread)
	setDefault(&c.Convicting, DefaultConvicting)
	setDefault(&c.MaxCrashes, DefaultMaxCrashes)
	setDefault(&c.MaxFingerprints, DefaultMaxFingerprints)
	setDefault(&c.MaxClearances, DefaultMaxClearances)
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
