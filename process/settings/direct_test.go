package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const directFile = `[entry]
name = edge-1
failure_domain = z1
caller_address = 10.0.0.1:1
ready_address = 10.0.0.1:2
directory_address = 10.0.0.1:3
peer_address = 10.0.0.1:4
[store]
address = 10.0.0.9:1
[bounds]
apply = 2000ms
retry_share = 0.2
warmup_slack = 5
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestLoadDirect(t *testing.T) {
	loaded, err := LoadDirect(writeSettings(t, directFile))
	require.NoError(t, err)
	require.Equal(t, "edge-1", loaded.Name)
	require.Equal(t, "10.0.0.9:1", loaded.StoreAddress)
	require.Equal(t, 2*time.Second, loaded.Bounds.Apply)
	require.Equal(t, 0.2, loaded.Bounds.RetryShare)
	require.Equal(t, "json", loaded.Log.Format)
}

// TestCrossingIsOptional guards against an entry that does not start without the section.
func TestCrossingIsOptional(t *testing.T) {
	loaded, err := LoadDirect(writeSettings(t, directFile))
	require.NoError(t, err)
	require.Zero(t, loaded.Crossing)
	loaded, err = LoadDirect(writeSettings(t, directFile+"[crossing]\ndelay = 500us\nprice = 2s\n"))
	require.NoError(t, err)
	require.Equal(t, Crossing{Delay: 500 * time.Microsecond, Price: 2 * time.Second}, loaded.Crossing)
	_, err = LoadDirect(writeSettings(t, directFile+"[crossing]\ndelay = -1ms\nprice = much\n"))
	var all KeyErrors
	require.ErrorAs(t, err, &all)
	require.Len(t, all, 2)
}

func TestLoadDirectReportsAllErrors(t *testing.T) {
	broken := strings.NewReplacer("10.0.0.1:1", "somewhere", "0.2", "much", "= 5", "= -5").Replace(directFile) + "unknown = 1\n"
	_, err := LoadDirect(writeSettings(t, broken))
	var all KeyErrors
	require.ErrorAs(t, err, &all)
	require.Len(t, all, 4)
}

func TestLoadRank(t *testing.T) {
	text := "[rank]\nname = side-1\nfailure_domain = z\ntarget_address = 10.0.0.1:5\nservice = s\npeer_address = 10.0.0.1:6\n[store]\naddress = 10.0.0.9:1\n"
	loaded, err := LoadRank(writeSettings(t, text))
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:5", loaded.TargetAddress)
	_, err = LoadRank(writeSettings(t, strings.Replace(text, "service = s\n", "", 1)))
	require.Error(t, err)
}

// TestUnknownOptionalKeyIsIgnored guards against processes of an older build that do not
// start with the settings of a newer one, and against misspelt keys that go unnoticed.
func TestUnknownOptionalKeyIsIgnored(t *testing.T) {
	withStore := func(keys string) (Direct, error) {
		text := strings.Replace(directFile, "[store]\n", "[store]\n"+keys, 1)
		return LoadDirect(writeSettings(t, text))
	}
	loaded, err := withStore("optional_keys = shards, address\nshards = 4\n")
	require.NoError(t, err)
	require.Equal(t, []string{"[store] shards"}, loaded.IgnoredKeys, "address is known and in use")
	require.Equal(t, "10.0.0.9:1", loaded.StoreAddress)
	for name, keys := range map[string]string{
		"not listed":      "shards = 4\n",
		"misspelt":        "optional_keys = shards\nshrads = 4\n",
		"listed, missing": "optional_keys = shards\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := withStore(keys)
			var all KeyErrors
			require.ErrorAs(t, err, &all)
		})
	}
	_, err = LoadDirect(writeSettings(t, strings.Replace(directFile, "warmup_slack = 5", "warmup_slack = five\noptional_keys = warmup_slack", 1)))
	require.Error(t, err, "a wrong value of a known key stays an error")
}
