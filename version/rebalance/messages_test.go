package rebalance

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

func TestEnvelopeEncodeDecodeRoundTrip(t *testing.T) {
	envelope := Envelope{Group: testGroup, Status: &Status{Rank: 3, Held: [][]int{{1}}}}
	data, err := Encode(envelope)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, envelope, got)
	_, err = Decode([]byte{0xff, 0x00})
	var decodeErr *DecodeError
	require.ErrorAs(t, err, &decodeErr)
}

func TestDatagramsOfLargeGroupsStayWithinSizeLimit(t *testing.T) {
	const ranks, layers, slots = 64, 8, 5
	group := expertmap.GroupID{Name: "a group's name", Incarnation: 1 << 60}
	large := Map{ID: expertmap.MapID{Epoch: 1 << 20, Version: 9}}
	for layer := range layers {
		var held [][]int
		for rank := range ranks {
			held = append(held, []int{250 + rank, 251, 252, 253 + layer, 300})
		}
		large.Experts = append(large.Experts, held)
	}
	require.Len(t, large.Experts[0][0], slots)
	assembler := NewMapAssembler(ranks)
	parts := large.Parts()
	for i := len(parts) - 1; i >= 0; i-- {
		_, complete := assembler.Map(large.ID.Number())
		require.False(t, complete)
		data, err := Encode(Envelope{Group: group, Part: &parts[i]})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
		got, err := Decode(data)
		require.NoError(t, err)
		require.NoError(t, assembler.AddPart(*got.Part))
		require.NoError(t, assembler.AddPart(*got.Part))
	}
	got, ok := assembler.Map(large.ID.Number())
	require.True(t, ok)
	require.Equal(t, large, *got)

	for _, counts := range SplitCounts(63, make([]uint64, layers*252)) {
		data, err := Encode(Envelope{Group: group, Counts: &counts})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
	}
	directive := Directive{Hosts: make([]byte, ranks*hostBytes)}
	directive.SetHost(63, hostOf(7))
	data, err := Encode(Envelope{Group: group, Directive: &directive})
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), maxDatagramSize)
	for changes := range maxDatagramSize {
		delta := Delta{Number: 1 << 40, Base: 1 << 40, Layers: layers, Experts: 252, Ranks: ranks, Changes: slices.Repeat([]int{300}, changes), Sum: 1 << 60}
		if !delta.FitsWithDirective(&directive) {
			break
		}
		data, err = Encode(Envelope{Group: group, Directive: &directive, Delta: &delta})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
	}
	status := Status{AgentIncarnation: 1 << 60, Sequence: 1 << 30, Running: 1 << 40, Prepared: 1 << 40, Armed: 1 << 40}
	for levels := range maxDatagramSize {
		counts := Counts{Rank: 63, Levels: make([]byte, levels)}
		if !counts.FitsWithStatus(&status) {
			break
		}
		data, err = Encode(Envelope{Group: group, Status: &status, Counts: &counts})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
	}
	host, known := directive.Host(63)
	require.True(t, known)
	require.Equal(t, hostOf(7), host)
	require.Equal(t, 1, directive.KnownHosts())
}

func TestDeltaReproducesMapOrIsRejected(t *testing.T) {
	base := InitialMap(2, 8, 4)
	next := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 1}, Experts: InitialMap(2, 8, 4).Experts}
	next.Experts[1][2] = []int{0, 2, 6}
	delta := NewDelta(base, next, 8)
	require.Equal(t, []int{1, 2, noExpert, 0}, delta.Changes)

	assembler := NewMapAssembler(4)
	require.NoError(t, assembler.AddDelta(delta))
	got, ok := assembler.Map(next.ID.Number())
	require.True(t, ok, "a delta from the initial map needs no base")
	require.Equal(t, next, got)

	third := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 2}, Experts: InitialMap(2, 8, 4).Experts}
	third.Experts[0][0] = []int{0}
	second := NewDelta(next, third, 8)
	other := NewMapAssembler(4)
	require.NoError(t, other.AddDelta(second))
	_, ok = other.Map(third.ID.Number())
	require.False(t, ok, "the base is missing")
	wrongSum := second
	wrongSum.Sum++
	require.NoError(t, assembler.AddDelta(wrongSum))
	_, ok = assembler.Map(third.ID.Number())
	require.False(t, ok, "the checksum does not match")
	require.NoError(t, assembler.AddDelta(second))
	got, ok = assembler.Map(third.ID.Number())
	require.True(t, ok)
	require.Equal(t, third, got)
	for _, bad := range []Delta{{Number: 1 << 40, Ranks: 4}, {Number: 1 << 40, Layers: 1 << 30, Experts: 1, Ranks: 4}, {Number: 1 << 40, Base: second.Number, Layers: 2, Ranks: 4, Changes: []int{7, 0, 0, 0}}} {
		require.NoError(t, assembler.AddDelta(bad))
		_, ok = assembler.Map(1 << 40)
		require.False(t, ok)
	}
}

func TestInvalidPartsRejected(t *testing.T) {
	assembler := NewMapAssembler(1)
	for _, part := range []MapPart{
		{Number: 5, Ranks: 1, Layers: 0}, {Number: 5, Ranks: 1, Layers: 1 << 30}, {Number: 5, Ranks: 1, Layers: 2, FirstLayer: -1},
		{Number: 5, Ranks: 1, Layers: 2, FirstLayer: 1, Experts: [][][]int{{{1}}, {{1}}}},
		{Number: 5, Ranks: 1, Layers: 1, FirstRank: 1, Experts: [][][]int{{{1}}}}, {Number: 5, Ranks: 1, Layers: 1, FirstRank: -1, Experts: [][][]int{{{1}}}},
	} {
		require.NoError(t, assembler.AddPart(part))
	}
	_, complete := assembler.Map(5)
	require.False(t, complete)
	require.NoError(t, assembler.AddPart(MapPart{Number: 5, Ranks: 1, Layers: 1, Experts: [][][]int{{{1}}}}))
	require.NoError(t, assembler.AddPart(MapPart{Number: 4, Ranks: 1, Layers: 1, Experts: [][][]int{{{2}}}}))
	_, complete = assembler.Map(5)
	require.True(t, complete, "parts of an older map are ignored")
}

// TestLargeMapsAndDeltasFitIntoDatagrams guards against a group whose ranks never get a map:
// a layer of 129 ranks, and a delta with a change for each of them, exceed a datagram.
func TestLargeMapsAndDeltasFitIntoDatagrams(t *testing.T) {
	const ranks, layers, experts = 129, 16, 258
	base := InitialMap(layers, experts, ranks)
	next := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 2}, Experts: InitialMap(layers, experts, ranks).Experts}
	for rank := range ranks {
		held := next.Experts[rank%layers][rank]
		next.Experts[rank%layers][rank] = []int{held[0], held[1], (held[1] + 7) % experts}
	}
	next.sort()
	requireFits := func(envelope Envelope) Envelope {
		t.Helper()
		envelope.Group = expertmap.GroupID{Name: "a group's name", Incarnation: 1 << 60}
		data, err := Encode(envelope)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
		data, err = Encode(Envelope{Group: envelope.Group, Relay: &Relay{First: 120, End: 129, Datagram: data}})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
		relayed, err := Decode(data)
		require.NoError(t, err)
		decoded, err := Decode(relayed.Relay.Datagram)
		require.NoError(t, err)
		return decoded
	}
	fromParts, fromDelta := NewMapAssembler(ranks), NewMapAssembler(ranks)
	for _, part := range next.Parts() {
		require.NoError(t, fromParts.AddPart(*requireFits(Envelope{Part: &part}).Part))
	}
	delta := NewDelta(base, next, experts)
	parts := delta.Split()
	require.Greater(t, len(parts), 1)
	for at := range parts {
		_, complete := fromDelta.Map(next.ID.Number())
		require.False(t, complete)
		part := requireFits(Envelope{Delta: &parts[len(parts)-1-at]}).Delta
		require.NoError(t, fromDelta.AddDelta(*part))
		require.NoError(t, fromDelta.AddDelta(*part))
	}
	for _, assembler := range []MapAssembler{fromParts, fromDelta} {
		got, complete := assembler.Map(next.ID.Number())
		require.True(t, complete)
		require.Equal(t, next.Sum(), got.Sum())
		require.True(t, assembler.Knows(next.ID.Number()))
	}
}

// TestDeltaAppliesAfterAMapWasGivenUp guards against ranks that need the full map each time
// a map was given up: they knew that one instead of the map in use.
func TestDeltaAppliesAfterAMapWasGivenUp(t *testing.T) {
	const ranks, experts = 4, 8
	inUse, givenUp, next := InitialMap(1, experts, ranks), InitialMap(1, experts, ranks), InitialMap(1, experts, ranks)
	inUse.ID, givenUp.ID, next.ID = expertmap.MapID{Epoch: 1, Version: 2}, expertmap.MapID{Epoch: 1, Version: 4}, expertmap.MapID{Epoch: 1, Version: 6}
	inUse.Experts[0][0] = []int{0, 1, 4}
	givenUp.Experts[0][0] = []int{0, 2, 4}
	next.Experts[0][0] = []int{0, 1, 3, 4}
	assembler := NewMapAssembler(ranks)
	for _, part := range slices.Concat(inUse.Parts(), givenUp.Parts()) {
		require.NoError(t, assembler.AddPart(part))
	}
	require.NoError(t, assembler.AddDelta(NewDelta(inUse, next, experts)))
	got, complete := assembler.Map(next.ID.Number())
	require.True(t, complete)
	require.Equal(t, next.Sum(), got.Sum())
}

// TestMapsOfAnotherShapeRejected guards against a rank that copies the map of a group of
// another size, which an agent with a stale or wrong view of its group could send.
func TestMapsOfAnotherShapeRejected(t *testing.T) {
	assembler := NewMapAssembler(2)
	var shapeErr *MapShapeError
	require.ErrorAs(t, assembler.AddPart(MapPart{Number: 5, Ranks: 3, Layers: 1, Experts: [][][]int{{{1}, {2}, {3}}}}), &shapeErr)
	require.Equal(t, MapShapeError{Number: 5, Ranks: 3, GroupSize: 2}, *shapeErr)
	require.ErrorAs(t, assembler.AddDelta(Delta{Number: 5, Layers: 1, Experts: 4, Ranks: 3}), &shapeErr)
	_, complete := assembler.Map(5)
	require.False(t, complete)
}

// TestStatusOfAnotherSizeRejected guards against ranks that disagree on the size of their
// group: a map for one size leaves experts without a rank in the other.
func TestStatusOfAnotherSizeRejected(t *testing.T) {
	h := newHarness(t)
	var statusErr *StatusError
	require.ErrorAs(t, h.planner.HandleStatus(Status{Rank: 1, Size: testRanks + 1, Sequence: 1}, hostOf(1), h.now), &statusErr)
	require.Equal(t, StatusError{Rank: 1, Size: testRanks + 1, GroupSize: testRanks}, *statusErr)
	require.ErrorAs(t, h.planner.HandleStatus(Status{Rank: testRanks, Size: testRanks, Sequence: 1}, hostOf(1), h.now), &statusErr)
	directive := h.planner.Directive()
	require.Zero(t, directive.KnownHosts())
}

// TestDatagramWithoutGroupRejected guards against the messages of releases that name no
// group: their numbers are those of any group of the service.
func TestDatagramWithoutGroupRejected(t *testing.T) {
	data, err := Encode(Envelope{Part: &MapPart{Number: 5, Ranks: 1, Layers: 1}})
	require.NoError(t, err)
	_, err = Decode(data)
	require.ErrorIs(t, err, ErrNoGroup)
}

func TestCountLevelsAccurateToSixPercent(t *testing.T) {
	for _, count := range []uint64{0, 1, 5, 80, 1000, 70000, 2000000} {
		got := countAtLevel(levelOfCount(count))
		require.InDelta(t, float64(count), got, 0.06*float64(count)+0.05)
	}
	require.Equal(t, byte(255), levelOfCount(1<<40))
}

func FuzzDecode(f *testing.F) {
	seed, err := Encode(Envelope{Group: testGroup, Directive: &Directive{Hosts: []byte{10, 0, 0, 1}}})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := Decode(data)
		if err != nil {
			return
		}
		_, err = Encode(envelope)
		require.NoError(t, err)
	})
}
