package placement

import "github.com/rotisserie/eris"

// ErrNoRoom means that the live ranks have too few slots for one copy of every
// expert.
var ErrNoRoom = eris.New("live ranks have too few slots to hold every expert")

// ErrShape means that the dimensions of loads, speeds, slots and map do not match.
var ErrShape = eris.New("dimensions of loads, speeds, slots and map do not match")
