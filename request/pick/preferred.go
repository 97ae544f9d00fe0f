package pick

import "github.com/cespare/xxhash/v2"

const (
	// preferredSlots is the number of slots that prefixes are hashed to.
	preferredSlots = 1 << 10
	// preferredPerSlot is the number of preferred targets of a slot.
	preferredPerSlot = 2
)

// preferredTargets maps each prefix to a few targets that every entry with the same
// candidates considers for it, so that the entries reuse each other's cached
// prefixes. It is a table of slots filled by rendezvous hashing of slots and targets, so that
// adding or removing a target changes only the slots that map to it.
type preferredTargets struct {
	slots [][preferredPerSlot]uint16
}

// newPreferredTargets returns the table of the targets.
func newPreferredTargets(states []*TargetState) preferredTargets {
	if len(states) == 0 {
		return preferredTargets{}
	}
	nameHashes := make([]uint64, len(states))
	for i, state := range states {
		nameHashes[i] = mix(xxhash.Sum64String(state.Name()))
	}
	p := preferredTargets{slots: make([][preferredPerSlot]uint16, preferredSlots)}
	for slot := range p.slots {
		p.slots[slot] = topTwo(mix(uint64(slot)+1), nameHashes)
	}
	return p
}

// topTwo returns the indexes of the two targets with the greatest rendezvous
// weights for a slot.
func topTwo(slotHash uint64, nameHashes []uint64) [preferredPerSlot]uint16 {
	var top [preferredPerSlot]uint16
	var first, second uint64
	for i, nameHash := range nameHashes {
		weight := mix(slotHash ^ nameHash)
		switch {
		case weight > first:
			second, top[1] = first, top[0]
			first, top[0] = weight, uint16(i)
		case weight > second:
			second, top[1] = weight, uint16(i)
		}
	}
	if len(nameHashes) == 1 {
		top[1] = top[0]
	}
	return top
}

// forPrefix returns the indexes of the preferred targets of a prefix.
func (p preferredTargets) forPrefix(hash uint64) [preferredPerSlot]uint16 {
	return p.slots[mix(hash)%preferredSlots]
}
