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

// Config sets the bounds of a Ledger; zero values mean the defaults.
type Config struct {
	// RefuseFor is how long a fingerprint is refused after its last crash, and
	// how long crashes are remembered.
	RefuseFor time.Duration
	// MassWindow and MassTargets tell a mass loss: so many targets within the
	// window.
	MassWindow  time.Duration
	MassTargets int
	// Settle is how long a fingerprint is held after its second crash or a mass
	// loss, so that a mass loss shows before anything is refused, and a trial is
	// no part of one: MassWindow and the time that reports take.
	Settle time.Duration
	// Spread is how long a suspect is held after its first crash, so that all
	// entries know of it before it runs again.
	Spread time.Duration
	// Convicting is the number of crashes after which a fingerprint that alone
	// explains them is refused; from 3 on, also one that does not.
	Convicting int
	// MaxCrashes, MaxFingerprints (of one crash) and MaxClearances bound memory;
	// the oldest evidence goes first.
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
