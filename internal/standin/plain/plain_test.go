package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Repeated orders are executed each time, and an injected crash before or after the
// execution decides whether the order is counted.
func TestOrdersAreNotDeduplicatedAndCrashAsConfigured(t *testing.T) {
	counter := NewRunCounter()
	service, other := New(counter), New(counter)
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	post := func() (orderResponse, error) {
		response, err := http.Post(server.URL+"/orders", "application/json", strings.NewReader(`{"kiln":4}`))
		if err != nil {
			return orderResponse{}, err
		}
		defer response.Body.Close()
		require.Equal(t, service.Incarnation(), response.Header.Get(IncarnationHeader))
		var decoded orderResponse
		return decoded, json.NewDecoder(response.Body).Decode(&decoded)
	}
	first, err := post()
	require.NoError(t, err)
	second, err := post()
	require.NoError(t, err)
	require.NotEqual(t, first.RunID, second.RunID)
	require.JSONEq(t, `{"kiln":4}`, string(first.Echo))

	before := service.Incarnation()
	service.SetFaults(Faults{CrashBefore: 1, CrashAfter: 1})
	_, err = post()
	require.Error(t, err)
	require.EqualValues(t, 2, counter.Runs())
	_, err = post()
	require.Error(t, err)
	require.Equal(t, 3, counter.RunsWithBody(`{"kiln":4}`))
	require.NotEqual(t, before, service.Incarnation())

	recorder := httptest.NewRecorder()
	other.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/stock?stat=runs", nil))
	body, err := io.ReadAll(recorder.Body)
	require.NoError(t, err)
	require.JSONEq(t, `{"runs":3}`, string(body))
}
