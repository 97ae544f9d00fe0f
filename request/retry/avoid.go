package retry

import "slices"

// Groups provides the groups of targets that are suspected of failing together.
type Groups interface {
	// Related reports whether b is likely to fail when a does.
	Related(a, b string) bool
}

// AvoidSet is the set of targets that a further attempt should not use. It is
// immutable once it has been passed to an attempt.
type AvoidSet struct {
	tried  []string
	groups Groups
}

// with returns a copy of the set that also contains target.
func (a AvoidSet) with(target string) AvoidSet {
	if target == "" {
		return a
	}
	return AvoidSet{tried: append(slices.Clip(a.tried), target), groups: a.groups}
}

// Tried reports whether the request has been sent to target.
func (a AvoidSet) Tried(target string) bool { return slices.Contains(a.tried, target) }

// Excludes reports whether target was tried or is related to a target that was.
func (a AvoidSet) Excludes(target string) bool {
	if a.Tried(target) {
		return true
	}
	if a.groups == nil {
		return false
	}
	return slices.ContainsFunc(a.tried, func(tried string) bool {
		return a.groups.Related(tried, target)
	})
}

// Len returns the number of targets tried.
func (a AvoidSet) Len() int { return len(a.tried) }
