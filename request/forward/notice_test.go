package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/request/dispatch"
)

// TestPauseIsParsedAsSeconds guards against targets that are taken out, or called on, because
// of a value that means no pause, or a very long one.
func TestPauseIsParsedAsSeconds(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.4": 400 * time.Millisecond, " 1 ": time.Second, "1e1": 10 * time.Second,
		"": 0, "0": 0, "-3": 0, "soon": 0, "NaN": 0, "-Inf": 0, "2 s": 0,
		"Fri, 04 Dec 2026 08:00:00 GMT": 0,
		"86400":                         dispatch.MaxPause, "1e300": dispatch.MaxPause, "Inf": dispatch.MaxPause,
	} {
		require.Equal(t, want, parsePause(text), "%q", text)
	}
}

// TestNoticeOfAnotherTargetIsIgnored guards against a target that gets no more requests
// because the one that now has its address leaves, or asks for a pause.
func TestNoticeOfAnotherTargetIsIgnored(t *testing.T) {
	h := &Headers{Instance: "Instance", Leaving: "Leaving", RetryAfter: "Retry-After", Limit: "Limit", Signature: "Signature"}
	header := http.Header{"Instance": {"b"}, "Leaving": {"1"}, "Retry-After": {"2"}}
	require.Equal(t, notice{}, decodeNotice(h, http.StatusMisdirectedRequest, header, "a"))
	require.Equal(t, notice{leaving: true}, decodeNotice(h, http.StatusMisdirectedRequest, header, "b"))
	require.Equal(t, notice{leaving: true, pause: 2 * time.Second}, decodeNotice(h, http.StatusServiceUnavailable, header, "b"))
	header.Set("Leaving", "0")
	require.Equal(t, notice{}, decodeNotice(h, http.StatusOK, header, "b"))
}

// TestLimitIsParsedAsRequestsPerSecond guards against a limit that is not seen, made up of a
// value that is none, or lifted by bytes that the target has not made.
func TestLimitIsParsedAsRequestsPerSecond(t *testing.T) {
	h := &Headers{Instance: "Instance", Limit: "Limit", Signature: "Signature", NotRun: "Not-Run"}
	signed := func(name, value string) http.Header { return http.Header{"Signature": {"s"}, name: {value}} }
	for text, want := range map[string]float64{"2.2": 2.2, " 3 ": 3, "0": 0, "1e3": 1000} {
		n := decodeNotice(h, http.StatusOK, signed("Limit", text), "a")
		require.Equal(t, notice{limit: limitNamed, limitPerSecond: want}, n, "%q", text)
	}
	for _, text := range []string{"-1", "NaN", "Inf", "-Inf", "many", "2 a second"} {
		require.Equal(t, notice{}, decodeNotice(h, http.StatusOK, signed("Limit", text), "a"), "%q", text)
	}
	require.Equal(t, notice{limit: limitNone}, decodeNotice(h, http.StatusOK, signed("Other", "x"), "a"))
	require.Equal(t, notice{limit: limitNone}, decodeNotice(h, http.StatusServiceUnavailable, http.Header{"Not-Run": {"1"}}, "a"))
	require.Equal(t, notice{}, decodeNotice(h, http.StatusOK, http.Header{}, "a"), "neither signed nor marked as not run")
	other := http.Header{"Instance": {"b"}, "Limit": {"2"}, "Not-Run": {"1"}}
	require.Equal(t, notice{}, decodeNotice(h, http.StatusMisdirectedRequest, other, "a"), "of another target")
}
