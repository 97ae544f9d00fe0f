package release

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

func TestCommonIsTheHighestVersionThatBothSpeak(t *testing.T) {
	for _, c := range []struct {
		a, b   Range
		common uint8
		ok     bool
	}{
		{Range{1, 1}, Range{1, 1}, 1, true},
		{Range{1, 3}, Range{2, 4}, 3, true},
		{Range{2, 4}, Range{1, 3}, 3, true},
		{Range{1, 1}, Range{2, 3}, 1, false},
	} {
		common, ok := c.a.Common(c.b)
		require.Equal(t, c.ok, ok, "%v %v", c.a, c.b)
		if ok {
			require.Equal(t, c.common, common, "%v %v", c.a, c.b)
		}
	}
}

// TestInfoOfEarlierReleasesIsVersionOne guards against a process of a release that states
// nothing being taken for one that speaks nothing.
func TestInfoOfEarlierReleasesIsVersionOne(t *testing.T) {
	require.Equal(t, Range{1, 1}, Info{}.Versions())
	encoded, err := cbor.Marshal(Info{})
	require.NoError(t, err)
	var decoded Info
	require.NoError(t, cbor.Unmarshal(encoded, &decoded))
	require.Equal(t, Info{}, decoded)
}

func TestBuildNames(t *testing.T) {
	require.Equal(t, "unknown", buildName("", true))
	require.Equal(t, "0123456", buildName("0123456789", false))
	require.Equal(t, "0123456+", buildName("0123456789", true))
	require.NotEmpty(t, Build())
}

// TestRollIsLoggedOnceAndRaisesTheVersion follows a roll from processes that state nothing
// to ones that speak two versions, and back.
func TestRollIsLoggedOnceAndRaisesTheVersion(t *testing.T) {
	logger, hook := test.NewNullLogger()
	o := NewObserver(prometheus.NewRegistry(), logrus.NewEntry(logger))
	next := Info{Build: "b", Min: 1, Max: 2}
	for _, step := range []struct {
		processes []Info
		common    float64
		logged    string
	}{
		{[]Info{{}, {}}, 1, "unstated (versions 1-1): 2"},
		{[]Info{{}, next}, 1, "unstated (versions 1-1): 1, b (versions 1-2): 1"},
		{[]Info{next, {}}, 1, ""},
		{[]Info{next, next}, 2, "b (versions 1-2): 2"},
		{[]Info{next, {}}, 1, "unstated (versions 1-1): 1, b (versions 1-2): 1"},
		{[]Info{{Build: "c", Min: 2, Max: 2}, {}}, 0, "unstated (versions 1-1): 1, c (versions 2-2): 1"},
	} {
		hook.Reset()
		o.Update(NewCensus(step.processes))
		require.InDelta(t, step.common, testutil.ToFloat64(o.common), 0)
		if step.logged == "" {
			require.Empty(t, hook.Entries)
			continue
		}
		require.Len(t, hook.Entries, 1)
		require.Equal(t, step.logged, hook.LastEntry().Data["builds"])
	}
	require.Equal(t, logrus.ErrorLevel, hook.LastEntry().Level)
}
