package metrics

import (
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

func TestOrganisationsBeyondTheBoundAreRecordedAsOther(t *testing.T) {
	const bound = 3
	m := New("entry", bound)
	for i := range 10 {
		m.ObserveRequest("org-"+strconv.Itoa(i), "normal", "done", time.Millisecond)
	}
	require.Equal(t, bound+1, testutil.CollectAndCount(m.requestSeconds))
	require.Equal(t, OtherOrganisation, m.labels.valueFor("org-9"))
	require.Equal(t, "org-0", m.labels.valueFor("org-0"))
}
