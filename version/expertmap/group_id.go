package expertmap

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// GroupID identifies one incarnation of a lock-step group. Groups of a service count
// their incarnations, maps and steps alike, so that a number alone identifies none of
// them: agents ignore all messages of other groups.
type GroupID struct {
	// Name is the name of the group. It is empty where engines report only an
	// incarnation, which then is unique over all groups.
	Name string
	// Incarnation increases each time the group is formed anew.
	Incarnation uint64
}

// supersedes reports whether a group has been formed after another one, whose commands are void then.
// An engine without a group, or an earlier incarnation, may be that of a late report.
func (g GroupID) supersedes(other GroupID) bool {
	return g != GroupID{} && (g.Name != other.Name || g.Incarnation > other.Incarnation)
}

// String returns the name and the incarnation for logs.
func (g GroupID) String() string { return fmt.Sprintf("%s/%d", g.Name, g.Incarnation) }

// namedGroup is the encoding of the identifier of a group with a name.
type namedGroup struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// MarshalCBOR implements cbor.Marshaler. The identifier of a group without a name is
// encoded as its incarnation.
func (g GroupID) MarshalCBOR() ([]byte, error) {
	if g.Name == "" {
		return cbor.Marshal(g.Incarnation)
	}
	return cbor.Marshal(namedGroup{Name: g.Name, Incarnation: g.Incarnation})
}

// UnmarshalCBOR implements cbor.Unmarshaler. It fails with the codec's error.
func (g *GroupID) UnmarshalCBOR(data []byte) error {
	var incarnation uint64
	if err := cbor.Unmarshal(data, &incarnation); err == nil {
		*g = GroupID{Incarnation: incarnation}
		return nil
	}
	var named namedGroup
	if err := cbor.Unmarshal(data, &named); err != nil {
		return err
	}
	*g = GroupID{Name: named.Name, Incarnation: named.Incarnation}
	return nil
}
