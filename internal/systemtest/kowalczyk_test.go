package systemtest

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKowalczykExampleServesAllRoutes starts all processes of the kowalczyk example
// and sends one request for each route to every entry.
func TestKowalczykExampleServesAllRoutes(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 19 processes")
	}
	f := startFleet(t, "kowalczyk")
	f.makeReady()
	order := []byte(`{"supplier":"coconuts"}`)
	chat := []byte(`{"model":"cart-notes","max_tokens":4,"messages":[{"role":"user","content":"restock"}]}`)
	for i := range entryCount {
		for _, request := range []*http.Request{
			f.newRequest(http.MethodGet, f.url(i)+"/stock?item=ice", nil, ""),
			f.newRequest(http.MethodPost, f.url(i)+"/orders", order, "supplier-1"),
			f.newRequest(http.MethodPost, f.url(i)+"/v1/chat/completions", chat, ""),
		} {
			status, outcome, body, err := send(request)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, string(body))
			require.Equal(t, "done", outcome)
		}
	}
	require.Equal(t, 1, f.standins.RunCounter.RunsWithBody(string(order)))
}
