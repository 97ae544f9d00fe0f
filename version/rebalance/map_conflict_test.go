package rebalance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// TestTwoMapsWithOneNumberAreRefused guards against ranks that copy different contents under one
// number, or contents put together from both: planners of earlier releases may send them.
func TestTwoMapsWithOneNumberAreRefused(t *testing.T) {
	id := expertmap.MapID{Epoch: 1 << rankBits, Version: 2}
	base := InitialMap(2, 4, 2)
	first := &Map{ID: id, Experts: [][][]int{{{0, 2, 3}, {1, 3}}, {{0, 2}, {1, 3}}}}
	second := &Map{ID: id, Experts: [][][]int{{{0, 2}, {0, 1, 3}}, {{0, 2}, {1, 3}}}}
	delta := NewDelta(base, second, 4)
	for name, conflict := range map[string]func(a *MapAssembler) error{
		"a part":  func(a *MapAssembler) error { return a.AddPart(second.Parts()[0]) },
		"a delta": func(a *MapAssembler) error { return a.AddDelta(delta) },
	} {
		t.Run(name, func(t *testing.T) {
			assembler := NewMapAssembler(2)
			require.NoError(t, assembler.AddPart(first.Parts()[0]))
			require.NoError(t, assembler.AddPart(first.Parts()[0]))
			_, ok := assembler.Map(id.Number())
			require.True(t, ok)
			var conflicting *MapConflictError
			require.ErrorAs(t, conflict(&assembler), &conflicting)
			require.Equal(t, id.Number(), conflicting.Number)
			_, ok = assembler.Map(id.Number())
			require.False(t, ok)
			require.ErrorAs(t, assembler.AddPart(first.Parts()[0]), &conflicting, "the conflict stays")

			later := &Map{ID: expertmap.MapID{Epoch: id.Epoch, Version: 4}, Experts: first.Experts}
			require.NoError(t, assembler.AddPart(later.Parts()[0]))
			_, ok = assembler.Map(later.ID.Number())
			require.True(t, ok, "a later map is not affected")
		})
	}
}

// TestMapOfMixedPartsIsRefused guards against a map that is put together from the parts of two.
func TestMapOfMixedPartsIsRefused(t *testing.T) {
	id := expertmap.MapID{Epoch: 1 << rankBits, Version: 2}
	first := &Map{ID: id, Experts: [][][]int{{{0, 2, 3}, {1, 3}}, {{0, 2}, {1, 3}}}}
	second := &Map{ID: id, Experts: [][][]int{{{0, 2}, {0, 1, 3}}, {{0, 2}, {1, 3}}}}
	partOf := func(m *Map, layer int, sum uint64) MapPart {
		return MapPart{Number: id.Number(), Layers: 2, Ranks: 2, FirstLayer: layer, Experts: m.Experts[layer : layer+1], Sum: sum}
	}
	assembler := NewMapAssembler(2)
	require.NoError(t, assembler.AddPart(partOf(first, 0, first.Sum())))
	var conflict *MapConflictError
	require.ErrorAs(t, assembler.AddPart(partOf(second, 1, second.Sum())), &conflict)

	assembler = NewMapAssembler(2)
	require.NoError(t, assembler.AddPart(partOf(first, 0, second.Sum())))
	require.ErrorAs(t, assembler.AddPart(partOf(second, 1, 0)), &conflict, "the contents do not have the stated checksum")

	assembler = NewMapAssembler(2)
	require.NoError(t, assembler.AddPart(partOf(first, 0, 0)))
	require.NoError(t, assembler.AddPart(partOf(first, 1, 0)), "earlier releases state no checksum")
	_, ok := assembler.Map(id.Number())
	require.True(t, ok)
}
