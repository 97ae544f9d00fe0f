package expertmap

import "time"

// RankReport is what the engine of one rank tells of itself.
type RankReport struct {
	// Group names the group, Incarnation its incarnation, Open that it makes steps.
	Group       string
	Incarnation uint64
	Rank, Size  int
	Open        bool
	// Orders counts the orders that began something since the engine started.
	Orders uint64
	// Step is the last step that was begun.
	Step uint64
	// Running is the version of the map in use, Prepared that of the map which the
	// rank has copied and could switch to; 0 for none.
	Running, Prepared uint64
	// ArmedVersion and ArmedStep are the switch that is set; 0 for none.
	ArmedVersion, ArmedStep uint64
	// Held is the step that the engine waits to be let into, if Holding.
	Holding bool
	Held    uint64
	// Born is when the engine started.
	Born time.Time
	// Pace is how much slower than usual the engine is; 1 is as usual.
	Pace float64
	// Active and Queued are its requests.
	Active, Queued int
}
