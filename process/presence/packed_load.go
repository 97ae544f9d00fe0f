package presence

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// targetNumber returns the number that stands for a target in packed loads. Two of 1,000
// targets have the same one with a probability of 1 in 8,600; each then counts the requests of
// both.
func targetNumber(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// PackLoad encodes the number of requests at each target in about 5 bytes per target, a third
// of a map by target ID.
func PackLoad(load map[string]int) []byte {
	packed := make([]byte, 0, 5*len(load))
	for _, id := range slices.Sorted(maps.Keys(load)) {
		packed = binary.BigEndian.AppendUint32(packed, targetNumber(id))
		packed = binary.AppendUvarint(packed, uint64(max(load[id], 0)))
	}
	return packed
}

// maxPackedRequests is the largest plausible number of requests at a target.
const maxPackedRequests = 1 << 20

// TargetNumbers finds targets by their numbers in packed loads. It is not safe for concurrent
// use.
type TargetNumbers struct{ ids map[uint32][]string }

// Set replaces the known targets.
func (n *TargetNumbers) Set(ids []string) {
	n.ids = make(map[uint32][]string, len(ids))
	for _, id := range ids {
		number := targetNumber(id)
		n.ids[number] = append(n.ids[number], id)
	}
}

// Unpack decodes a packed load. It reports false if the load names targets that are not known,
// which it omits, or is malformed.
func (n *TargetNumbers) Unpack(packed []byte) (map[string]int, bool) {
	load, complete := map[string]int{}, true
	for len(packed) >= 4 {
		ids := n.ids[binary.BigEndian.Uint32(packed)]
		count, size := binary.Uvarint(packed[4:])
		if size <= 0 || count > maxPackedRequests {
			return load, false
		}
		complete = complete && len(ids) > 0
		for _, id := range ids {
			load[id] += int(count)
		}
		packed = packed[4+size:]
	}
	return load, complete && len(packed) == 0
}
