package tool

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/version/check"
)

const checkData = "../../version/check/testdata/"

func runConfigCheck(arguments ...string) (status int, out, errOut string) {
	var stdout, stderr strings.Builder
	status = Main(append([]string{"config", "check"}, arguments...), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// TestConfigCheckStatus guards against scripts that publish a configuration with findings, or
// take a wrong command line for one.
func TestConfigCheckStatus(t *testing.T) {
	refusing := httptest.NewServer(http.NotFoundHandler())
	defer refusing.Close()
	for arguments, want := range map[string]int{
		"clean.ini":                                       command.ExitSuccess,
		"clean.json":                                      command.ExitSuccess,
		"clean.ini --against clean.ini":                   command.ExitSuccess,
		"shadowed_route.ini":                              command.ExitRefused,
		"invalid.ini":                                     command.ExitRefused,
		"invalid.json":                                    command.ExitRefused,
		"keys_withdrawn.ini":                              command.ExitSuccess,
		"keys_withdrawn.ini --against clean.ini":          command.ExitRefused,
		"absent.ini":                                      command.ExitUsage,
		"clean.ini --against absent.ini":                  command.ExitUsage,
		"clean.ini --against invalid.ini":                 command.ExitUsage,
		"clean.ini --against clean.json":                  command.ExitUsage,
		"clean.ini --format xml":                          command.ExitUsage,
		"clean.ini --against " + refusing.URL:             command.ExitUsage,
		"clean.ini --against http://127.0.0.1:1/operator": command.ExitUnreachable,
	} {
		words := strings.Fields(arguments)
		for i, word := range words {
			if strings.HasSuffix(word, ".ini") || strings.HasSuffix(word, ".json") {
				words[i] = checkData + word
			}
		}
		status, out, errOut := runConfigCheck(words...)
		require.Equal(t, want, status, "%s\n%s%s", arguments, out, errOut)
		require.Equal(t, want == command.ExitSuccess, errOut == "", arguments)
	}
	status, _, errOut := runConfigCheck()
	require.Equal(t, command.ExitUsage, status)
	require.NotEmpty(t, errOut)
}

// TestConfigCheckPrintsJSON guards against output that scripts cannot read: text mixed into it,
// or null in place of an empty list.
func TestConfigCheckPrintsJSON(t *testing.T) {
	status, out, _ := runConfigCheck("--format", "json", checkData+"risky_changes.ini", "--against", checkData+"clean.ini")
	require.Equal(t, command.ExitRefused, status)
	var report configReport
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	codes := []check.Code{}
	for _, finding := range report.Findings {
		codes = append(codes, finding.Code)
		require.NotZero(t, finding.Line)
	}
	require.Equal(t, []check.Code{check.FewerTargets, check.FewerSlots, check.KeysWithdrawn, check.OrdersRepeatable}, codes)
	require.Len(t, report.Changes, 4)

	_, out, _ = runConfigCheck("--format", "json", checkData+"clean.ini")
	require.JSONEq(t, `{"findings": [], "changes": []}`, out)
}

// TestConfigCheckAgainstEntry guards against a comparison with anything but the newest tables
// of the entry.
func TestConfigCheckAgainstEntry(t *testing.T) {
	clean, err := os.ReadFile(filepath.Join(checkData, "clean.ini"))
	require.NoError(t, err)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || !strings.HasSuffix(r.URL.Path, "/tables") || r.Header.Get("Authorization") != "Bearer secret" {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("ETag", `"4"`)
		_, _ = w.Write(clean)
	}))
	defer entry.Close()
	status, out, errOut := runConfigCheck("--key", "secret", checkData+"orders_repeatable.ini", "--against", entry.URL)
	require.Equal(t, command.ExitRefused, status, errOut)
	require.Contains(t, out, "orders_repeatable.ini:40: [route orders] idempotent: requests may now be executed more than once (orders_repeatable)")
	require.Contains(t, out, "changes against "+entry.URL+":\n+ [route orders]")
}
