package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponsesBeingReadTakeNothingFromRequests guards against requests that are rejected or ended
// because a target sends responses without end.
func TestResponsesBeingReadTakeNothingFromRequests(t *testing.T) {
	a := NewAccount(bound)
	slow := a.Open("a")
	slow.SetEnd(func(Part) { t.Error("a response that is being delivered was ended") }, start)
	slow.Set(Response, bound/2, start)
	var ended []string
	read := func(name string, usual, size int64) *Reading {
		r := a.BeginReading(usual, func() { ended = append(ended, name) })
		r.Set(size, start)
		return r
	}
	endless := read("without end", 100, bound/2)
	usual := read("large as usual", bound/4, bound/4)
	require.Empty(t, ended, "they may take what requests leave")

	body := a.Open("b")
	require.True(t, body.Admit(LargeBody-1), "a body is admitted as if nothing was read")
	require.Equal(t, []string{"without end"}, ended, "the one that exceeds its usual size most")
	usual.Set(bound/4+1, start)
	require.Equal(t, []string{"without end"}, ended, "its bytes count as freed already")
	usual.Set(bound, start)
	require.Equal(t, []string{"without end", "large as usual"}, ended)
	endless.Close()
	usual.Close()
	usual.Close()
	usual.Set(1, start)
	require.Zero(t, a.Reading())
	require.Equal(t, int64(bound/2+LargeBody-1), a.Total())
}

// TestResponsesBeingReadKeepTheirShare guards against sound responses that are ended because bodies
// and slow callers hold all of the memory.
func TestResponsesBeingReadKeepTheirShare(t *testing.T) {
	a := NewAccount(bound)
	a.Open("a").Set(Body, bound, start)
	r := a.BeginReading(0, func() { t.Error("ended within its share") })
	r.Set(bound*readingShare, start)
	NewAccount(0).BeginReading(0, nil).Set(1<<40, start)
}

// TestSlowCallersMakeRoomForUsualResponses guards against sound responses that are ended because slow
// callers hold all of the memory.
func TestSlowCallersMakeRoomForUsualResponses(t *testing.T) {
	a := NewAccount(bound)
	ended := 0
	for range 4 {
		slow := a.Open("a")
		slow.SetEnd(func(Part) { ended++ }, start)
		slow.Set(Response, bound/4, start)
	}
	r := a.BeginReading(bound/2, func() { t.Error("ended though it is of usual size") })
	r.Set(bound/4, start)
	require.Zero(t, ended)
	r.Set(bound/2, start)
	require.Equal(t, 1, ended)
}
