package table

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
)

// keyShards is the number of shards; the first byte of a hash selects its shard.
const keyShards = 256

// keyHash is the SHA-256 hash of an organisation's key.
type keyHash [keyHashBytes]byte

// keyEntry maps the hash of a key to the organisation that owns the key.
type keyEntry struct {
	hash         keyHash
	organisation *Organisation
}

// keyIndex looks up organisations by key. It is immutable; an update copies only
// the shards that it modifies.
type keyIndex struct {
	shards [keyShards]map[keyHash]keyEntry
}

func newKeyIndex(organisations map[string]Organisation) *keyIndex {
	index := &keyIndex{}
	for name := range organisations {
		organisation := organisations[name]
		for _, hash := range keyHashes(organisation) {
			shard := &index.shards[hash[0]]
			if *shard == nil {
				*shard = map[keyHash]keyEntry{}
			}
			(*shard)[hash] = keyEntry{hash, &organisation}
		}
	}
	return index
}

// find looks up the hash of the key, not the key itself, so the duration of the
// lookup reveals nothing useful about stored hashes. The final comparison takes
// constant time for the same reason.
func (x *keyIndex) find(key string) (*Organisation, bool) {
	hash := hashKey(key)
	entry := x.shards[hash[0]][hash]
	if entry.organisation == nil {
		return nil, false
	}
	if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) != 1 {
		return nil, false
	}
	return entry.organisation, true
}

// hashKey returns the SHA-256 hash of a key. It does not allocate for keys of up
// to maxTextBytes bytes.
func hashKey(key string) keyHash {
	var buffer [maxTextBytes]byte
	if len(key) > len(buffer) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// withChanges returns the index of the organisations in after, where x is the index
// of those in before and changed holds the names of the organisations that differ.
// It shares unmodified shards with x.
func (x *keyIndex) withChanges(before, after map[string]Organisation, changed []string) *keyIndex {
	next := *x
	cloned := [keyShards]bool{}
	mutableShard := func(hash keyHash) map[keyHash]keyEntry {
		shard := hash[0]
		if !cloned[shard] {
			next.shards[shard] = cloneShard(next.shards[shard])
			cloned[shard] = true
		}
		return next.shards[shard]
	}
	for _, name := range changed {
		for _, hash := range keyHashes(before[name]) {
			delete(mutableShard(hash), hash)
		}
	}
	for _, name := range changed {
		organisation := after[name]
		for _, hash := range keyHashes(organisation) {
			mutableShard(hash)[hash] = keyEntry{hash, &organisation}
		}
	}
	return &next
}

func cloneShard(shard map[keyHash]keyEntry) map[keyHash]keyEntry {
	if shard == nil {
		return map[keyHash]keyEntry{}
	}
	return maps.Clone(shard)
}

// keyHashes decodes the organisation's key hashes. It skips hashes that Validate
// rejects.
func keyHashes(organisation Organisation) []keyHash {
	hashes := make([]keyHash, 0, len(organisation.KeyHashes))
	for _, text := range organisation.KeyHashes {
		decoded, err := hex.DecodeString(text)
		if err == nil && len(decoded) == keyHashBytes {
			hashes = append(hashes, keyHash(decoded))
		}
	}
	return hashes
}
