package rollout

// Limits of the entries that a node keeps for peers that are behind.
const (
	maxRecentEntries = 2048
	maxRecentBytes   = 1 << 20
	// maxMessageEntryBytes bounds the size of the entries in one message.
	maxMessageEntryBytes = 48 << 10
	// entryOverheadBytes is the assumed size of an entry's fields other than its
	// delta.
	entryOverheadBytes = 80
)

// recentEntries holds the newest entries in order and without gaps.
type recentEntries struct {
	entries []Entry
	bytes   int
}

func (r *recentEntries) add(entry Entry) {
	r.entries = append(r.entries, entry)
	r.bytes += entry.size()
	for len(r.entries) > 0 && (len(r.entries) > maxRecentEntries || r.bytes > maxRecentBytes) {
		r.bytes -= r.entries[0].size()
		r.entries = r.entries[1:]
	}
}

func (r *recentEntries) reset() { *r = recentEntries{} }

// after returns the entries that follow a version, at least one if there is any
// and up to maxMessageEntryBytes. It returns false if those entries were already
// discarded.
func (r *recentEntries) after(version uint64) ([]Entry, bool) {
	if len(r.entries) == 0 || r.entries[0].Version > version+1 {
		return nil, false
	}
	from := int(version + 1 - r.entries[0].Version)
	if from >= len(r.entries) {
		return nil, true
	}
	to, bytes := from, 0
	for to < len(r.entries) && (to == from || bytes+r.entries[to].size() <= maxMessageEntryBytes) {
		bytes += r.entries[to].size()
		to++
	}
	return r.entries[from:to:to], true
}

// size returns the approximate encoded size of an entry.
func (e Entry) size() int { return len(e.Delta) + entryOverheadBytes }
