package placement

import "github.com/rotisserie/eris"

// ErrInsufficientSlots means that the live ranks have too few slots for one copy of every
// expert.
var ErrInsufficientSlots = eris.New("live ranks have too few slots to hold every expert")

// ErrShapeMismatch means that the dimensions of loads, speeds, slots and map do not match.
var ErrShapeMismatch = eris.New("dimensions of loads, speeds, slots and map do not match")
