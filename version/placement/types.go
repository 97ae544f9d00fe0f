package placement

// Replica is one copy of an expert.
type Replica struct {
	// Rank holds the copy.
	Rank int `cbor:"1,keyasint"`
	// Share is the fraction of the expert's tokens that the replica takes; the
	// shares of an expert's replicas add up to 1.
	Share float64 `cbor:"2,keyasint"`
}

// Layer holds the replicas of each expert of one layer.
type Layer [][]Replica

// Map places the experts of every layer. It is immutable once built.
type Map struct {
	Layers []Layer
}

// Pin requires a replica of an expert on a rank.
type Pin struct {
	Layer, Expert, Rank int
}

// Move loads the weights of an expert into a rank's memory.
type Move struct {
	Layer, Expert, Rank int
}

// FailureCorrelation reports suspected correlated failures between ranks.
type FailureCorrelation interface {
	// MayFailTogether reports whether two ranks are suspected to share a cause of failure.
	MayFailTogether(a, b int) bool
}

// Input holds everything that a decision depends on.
type Input struct {
	// Loads holds the tokens per step by layer and expert.
	Loads [][]float64
	// Speeds holds the tokens per second that each rank computes; 0 marks a lost
	// rank.
	Speeds []float64
	// Slots holds, by layer and rank, how many experts fit into the rank's memory.
	Slots [][]int
	// Pins lists the replicas that Pack must place, and that are not removed from live
	// ranks.
	Pins []Pin
	// FailureCorrelation may be nil.
	FailureCorrelation FailureCorrelation
}

// Settings tune Improve.
type Settings struct {
	// StartSkew is the skew of a layer above which its weights are moved, StopSkew the
	// skew at which moving stops. The gap between them is the hysteresis.
	StartSkew, StopSkew float64
	// MinGain is the minimum reduction of a layer's skew that each move must bring.
	MinGain float64
	// MinSplitGain is the minimum reduction of the map's skew for which a change of
	// splits alone is applied.
	MinSplitGain float64
	// MaxMoves bounds the moves per layer and decision.
	MaxMoves int
	// Workers bounds the layers decided concurrently; 0 means one.
	Workers int
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{StartSkew: 1.06, StopSkew: 1.03, MinGain: 0.004, MinSplitGain: 0.01, MaxMoves: 8, Workers: 8}
}

// Plan is the result of a decision.
type Plan struct {
	// Map is the next map, or the current map itself if nothing changes.
	Map *Map
	// Moves are the weights to load before the map can be used.
	Moves []Move
	// Changed reports whether Map differs from the current map.
	Changed bool
	// SkewBefore and SkewAfter are the expected skews without and with the plan.
	SkewBefore, SkewAfter Skew
}

// Skew measures the load imbalance of a step; 1 is perfectly balanced.
type Skew struct {
	// Step is the slowest rank's step time divided by the mean over ranks.
	Step float64
	// Barrier is the time of a step in which ranks synchronise after every layer,
	// divided by the time of a step whose layers are spread in proportion to speed.
	Barrier float64
}
