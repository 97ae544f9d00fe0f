// Package release identifies builds of the programs and the versions of the formats that
// they exchange, so that processes of neighbouring releases can serve together.
package release

import (
	"runtime/debug"
	"sync"
)

// Range is the versions of a format that a process speaks, from Min to Max.
type Range struct{ Min, Max uint8 }

// unstated is the range of processes of releases that stated none.
var unstated = Range{Min: 1, Max: 1}

// Contains reports whether a version is in the range.
func (r Range) Contains(version uint8) bool { return r.Min <= version && version <= r.Max }

// Common returns the highest version in both ranges, or false if there is none.
func (r Range) Common(other Range) (uint8, bool) {
	version := min(r.Max, other.Max)
	return version, version >= max(r.Min, other.Min)
}

// Info is what a process states of its release in the messages of a format.
type Info struct {
	// Build identifies the build; empty for releases that stated none.
	Build string `cbor:"1,keyasint,omitempty"`
	// Min and Max are the versions of the format that the process speaks; 0 for releases
	// that stated none.
	Min uint8 `cbor:"2,keyasint,omitempty"`
	Max uint8 `cbor:"3,keyasint,omitempty"`
}

// NewInfo returns what this process states of a format.
func NewInfo(versions Range) Info {
	return Info{Build: Build(), Min: versions.Min, Max: versions.Max}
}

// Versions returns the versions of the format that the process speaks.
func (i Info) Versions() Range {
	if i.Max == 0 {
		return unstated
	}
	return Range{Min: i.Min, Max: i.Max}
}

const (
	// unknownBuild is the build of a program that was built outside a repository.
	unknownBuild = "unknown"
	// unstatedBuild stands for the build of a process that states none.
	unstatedBuild = "unstated"
	// buildLength is the number of digits of a revision that a build is named by.
	buildLength = 7
)

// Build returns the revision that this program was built from, with a plus sign if the
// sources had been changed, or "unknown".
var Build = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownBuild
	}
	settings := map[string]string{}
	for _, setting := range info.Settings {
		settings[setting.Key] = setting.Value
	}
	return buildName(settings["vcs.revision"], settings["vcs.modified"] == "true")
})

func buildName(revision string, modified bool) string {
	if revision == "" {
		return unknownBuild
	}
	name := revision[:min(len(revision), buildLength)]
	if modified {
		name += "+"
	}
	return name
}
