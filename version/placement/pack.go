package placement

import (
	"math"
	"slices"
)

// Pack builds a map from scratch: it gives extra replicas to the experts with the
// most tokens per replica, then places the heaviest replicas first, each on the
// rank with a free slot that finishes earliest. It fails with ErrShapeMismatch or
// ErrInsufficientSlots.
func Pack(in Input, workers int) (Plan, error) {
	empty := &Map{Layers: make([]Layer, len(in.Loads))}
	if !in.fits(nil) {
		return Plan{}, ErrShapeMismatch
	}
	return decide(in, empty, workers, 0, func(s *layerState, _ Layer) ([]Move, error) { return s.pack() })
}

func (s *layerState) pack() ([]Move, error) {
	var moves []Move
	for _, pin := range s.in.Pins {
		if pin.Layer == s.layer && s.hasFreeSlot(pin.Rank) && !s.hasReplica(pin.Expert, pin.Rank) {
			s.addReplica(pin.Expert, pin.Rank, 0)
			moves = append(moves, Move(pin))
		}
	}
	if !s.placeReplicas(s.replicaCounts()) {
		return nil, ErrInsufficientSlots
	}
	for expert, ranks := range s.expertRanks {
		for _, rank := range ranks {
			if move := (Move{Layer: s.layer, Expert: expert, Rank: rank}); !slices.Contains(moves, move) {
				moves = append(moves, move)
			}
		}
	}
	s.splitEvenly()
	s.balance(maxSweeps)
	return moves, nil
}

// placeReplicas puts the replicas, in the given order, on the ranks that bestRank
// chooses. It skips further replicas of an expert if there is no room for them,
// and returns false if there is none for the first.
func (s *layerState) placeReplicas(counts []replicaCount) bool {
	for _, replicas := range counts {
		for index := range replicas.count {
			rank := s.bestRank(replicas.expert, replicas.tokens)
			if rank < 0 && index == 0 && len(s.expertRanks[replicas.expert]) == 0 {
				return false
			}
			if rank < 0 {
				break
			}
			s.addReplica(replicas.expert, rank, replicas.tokens)
		}
	}
	return true
}

// splitEvenly gives all replicas of an expert equal shares, which add up to the
// expert's load.
func (s *layerState) splitEvenly() {
	clear(s.rankTokens)
	for expert, ranks := range s.expertRanks {
		for index, rank := range ranks {
			s.replicaTokens[expert][index] = s.expertLoads[expert] / float64(len(ranks))
			s.rankTokens[rank] += s.replicaTokens[expert][index]
		}
	}
}

// replicaCount is the number of replicas of an expert and the tokens of each.
type replicaCount struct {
	expert, count int
	tokens        float64
}

// replicaCounts distributes the free slots: one replica per expert, then each
// spare slot to the expert with the most tokens per replica, up to one replica per
// live rank. The result is sorted by tokens per replica, heaviest first.
func (s *layerState) replicaCounts() []replicaCount {
	free, live := 0, 0
	for rank, slots := range s.in.Slots[s.layer] {
		if s.in.Speeds[rank] > 0 {
			free += slots - s.usedSlots[rank]
			live++
		}
	}
	counts := make([]replicaCount, len(s.expertLoads))
	for expert, load := range s.expertLoads {
		counts[expert] = replicaCount{expert: expert, count: 1, tokens: load}
	}
	for spare := free - len(counts); spare > 0; spare-- {
		heaviest := -1
		for expert := range counts {
			if counts[expert].count < live && (heaviest < 0 || counts[expert].tokens > counts[heaviest].tokens) {
				heaviest = expert
			}
		}
		if heaviest < 0 {
			break
		}
		counts[heaviest].count++
		counts[heaviest].tokens = s.expertLoads[heaviest] / float64(counts[heaviest].count)
	}
	slices.SortStableFunc(counts, func(a, b replicaCount) int { return compare(b.tokens, a.tokens) })
	return counts
}

// bestRank is the rank with a free slot that would finish earliest with the given
// tokens of the expert, or -1. Heavy replicas instead go to the idle rank with the
// fewest slots, so that the other ranks keep their slots for the many light
// experts. Ranks that are suspected to fail together with all of the expert's
// replicas are used only if no other rank has room. Each layer starts the scan at a
// different rank, so that ties do not make the same ranks slow in all layers.
func (s *layerState) bestRank(expert int, tokens float64) int {
	best := -1
	var bestScore rankScore
	ranks := len(s.rankTokens)
	for offset := range ranks {
		rank := (offset + s.layer*layerStride) % ranks
		if !s.hasFreeSlot(rank) || s.hasReplica(expert, rank) {
			continue
		}
		score := s.score(expert, rank, tokens)
		if best < 0 || score.before(bestScore) {
			best, bestScore = rank, score
		}
	}
	return best
}

// rankScore orders candidate ranks; earlier fields take precedence.
type rankScore struct {
	diverse bool
	slots   int
	time    float64
}

func (s *layerState) score(expert, rank int, tokens float64) rankScore {
	score := rankScore{
		diverse: s.diverseWith(expert, rank),
		time:    (s.rankTokens[rank] + tokens) / s.in.Speeds[rank],
	}
	if tokens >= heavyShare*s.ideal*s.in.Speeds[rank] {
		score.slots = s.in.Slots[s.layer][rank]
		if s.rankTokens[rank] > 0 {
			score.slots = math.MaxInt
		}
	}
	return score
}

// heavyShare is the fraction of a rank's ideal load from which on a replica counts
// as heavy.
const heavyShare = 0.6

func (a rankScore) before(b rankScore) bool {
	if a.diverse != b.diverse {
		return a.diverse
	}
	if a.slots != b.slots {
		return a.slots < b.slots
	}
	return a.time < b.time
}

// layerStride is the distance between the first ranks that adjacent layers scan.
const layerStride = 7
