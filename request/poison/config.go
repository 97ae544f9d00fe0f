package poison

import "time"

// Defaults of Config.
const (
	DefaultRefuseFor          = 10 * time.Minute
	DefaultMassCrashWindow    = time.Second
	DefaultMassCrashTargets   = 3
	DefaultRefusalHold        = 1500 * time.Millisecond
	DefaultPropagationHold    = 150 * time.Millisecond
	DefaultTrialAfterCrashes  = 1
	DefaultRefuseAfterCrashes = 2
	DefaultMaxCrashes         = 64
	DefaultMaxFingerprints    = 1024
	DefaultMaxClearances      = 4096
)

// Config holds the settings of a Ledger; zero values select the defaults.
type Config struct {
	// RefuseFor is how long a fingerprint is refused after its latest crash, and how
	// long evidence is kept.
	RefuseFor time.Duration
	// MassCrashWindow and MassCrashTargets define a mass crash: at least
	// MassCrashTargets targets crash within MassCrashWindow.
	MassCrashWindow  time.Duration
	MassCrashTargets int
	// RefusalHold is how long a fingerprint is held after its second crash or a mass
	// crash. It covers MassCrashWindow and the time that crash reports take to arrive, so
	// that a mass crash is recognised before anything is refused and no trial starts
	// during one.
	RefusalHold time.Duration
	// PropagationHold is how long a suspect is held after its first crash, so that the
	// evidence reaches all entries before the request runs again.
	PropagationHold time.Duration
	// TrialAfterCrashes is the number of crashes from which on a fingerprint is suspected
	// so much that its requests run on trial only.
	TrialAfterCrashes int
	// RefuseAfterCrashes is the number of crashes after which a fingerprint is refused
	// if no other one explains them as well. After three crashes, or
	// RefuseAfterCrashes if that is more, it is refused in any case.
	RefuseAfterCrashes int
	// MaxCrashes, MaxFingerprints (of one crash) and MaxClearances bound the memory
	// for evidence. The oldest crashes and clearances are dropped first.
	MaxCrashes, MaxFingerprints, MaxClearances int
	// Process identifies this process among all that exchange evidence. NewTracker draws it if it is 0.
	Process uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.RefuseFor, DefaultRefuseFor)
	setDefault(&c.MassCrashWindow, DefaultMassCrashWindow)
	setDefault(&c.MassCrashTargets, DefaultMassCrashTargets)
	setDefault(&c.RefusalHold, DefaultRefusalHold)
	setDefault(&c.PropagationHold, DefaultPropagationHold)
	setDefault(&c.TrialAfterCrashes, DefaultTrialAfterCrashes)
	setDefault(&c.RefuseAfterCrashes, DefaultRefuseAfterCrashes)
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
