package link

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"verbenaseam.example/verbenaseam/process/release"
)

// Versions is the versions of the link protocol that this build speaks. Every incompatible
// change of the frames adds one. They are unrelated to frame.Version.
//
// The dialling side offers its versions as WebSocket subprotocols, the accepting side
// chooses the highest that both speak. Releases that offer or choose none speak version 1.
var Versions = release.Range{Min: 1, Max: 1}

// firstVersion is the version of a side that names none.
const firstVersion = 1

// agreement is what the two sides of a link know of each other from the WebSocket handshake.
type agreement struct {
	// version is the version of the protocol that both speak.
	version uint8
	// peerBuild is the peer's build; empty for releases that name none.
	peerBuild string
}

// Protocol returns the version of the protocol that both sides of the link speak.
func (l *Link) Protocol() uint8 { return l.agreed.version }

// PeerBuild returns the peer's build; empty for releases that name none.
func (l *Link) PeerBuild() string { return l.agreed.peerBuild }

// subprotocolPrefix precedes the version in the name of a WebSocket subprotocol.
const subprotocolPrefix = "verbenaseam-link-"

// programName precedes the build in the headers that name it.
const programName = "verbenaseam/"

// VersionError means that the two sides of a link speak no common version.
type VersionError struct {
	// Offered is what the peer offered or chose; empty for version 1.
	Offered string
	Spoken  release.Range
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("link protocol %q not supported, want versions %d to %d", e.Offered, e.Spoken.Min, e.Spoken.Max)
}

// subprotocols returns the names of the versions, the highest first.
func subprotocols(versions release.Range) []string {
	var names []string
	for version := int(versions.Max); version >= int(versions.Min); version-- {
		names = append(names, subprotocolPrefix+strconv.Itoa(version))
	}
	return names
}

// agreedVersion returns the version that the accepting side chose. offered lists what the
// dialling side offered, for the accepting side, which must not take the lack of a choice
// for version 1 if that was not offered.
func agreedVersion(versions release.Range, chosen string, offered []string) (uint8, error) {
	version := uint64(firstVersion)
	switch name, isVersion := strings.CutPrefix(chosen, subprotocolPrefix); {
	case chosen == "" && len(offered) > 0:
		return 0, &VersionError{Offered: strings.Join(offered, ", "), Spoken: versions}
	case chosen == "":
	case isVersion:
		parsed, err := strconv.ParseUint(name, 10, 8)
		if err != nil {
			return 0, &VersionError{Offered: chosen, Spoken: versions}
		}
		version = parsed
	default:
		return 0, &VersionError{Offered: chosen, Spoken: versions}
	}
	if !versions.Contains(uint8(version)) {
		return 0, &VersionError{Offered: chosen, Spoken: versions}
	}
	return uint8(version), nil
}

// nameBuild sets the header that names this build.
func nameBuild(header http.Header, key string) { header.Set(key, programName+release.Build()) }

// namedBuild returns the build that a header names, or "" if it names none.
func namedBuild(header http.Header, key string) string {
	build, ok := strings.CutPrefix(header.Get(key), programName)
	if !ok {
		return ""
	}
	return build
}
