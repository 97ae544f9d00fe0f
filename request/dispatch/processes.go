package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Processes are the processes that send requests to the same targets. They divide limits
// among themselves without coordination: each derives its own part from the names of all.
type Processes struct {
	self  string
	names []string
}

// NewProcesses returns the processes with the given names, to which self is added.
func NewProcesses(self string, others []string) Processes {
	names := append(slices.Clone(others), self)
	slices.Sort(names)
	return Processes{self: self, names: slices.Compact(names)}
}

// Count returns the number of processes, at least 1.
func (p Processes) Count() int { return max(len(p.names), 1) }

// equal reports whether both are the same process among the same ones.
func (p Processes) equal(other Processes) bool {
	return p.self == other.self && slices.Equal(p.names, other.names)
}

// part returns this process's part of a whole number of units. The units that remain
// after an even division go to the processes that come first in an order derived from the
// key, so that the parts of all processes add up to the total and those of different keys
// are spread over the processes.
func (p Processes) part(total int, key string) int {
	count := p.Count()
	even, rest := total/count, total%count
	if rest > 0 && p.Rank(key) < rest {
		even++
	}
	return even
}

// Rank returns the position, from 0, of this process in an order of all processes that
// depends on the key.
func (p Processes) Rank(key string) int {
	own := hashFor(key, p.self)
	position := 0
	for _, name := range p.names {
		if name != p.self && hashFor(key, name) < own {
			position++
		}
	}
	return position
}

func hashFor(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
