package logs

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/settings"
)

func TestMessagesHavePartPrefixInBothFormats(t *testing.T) {
	var text, structured bytes.Buffer
	Component(New(&text, settings.Log{Format: "text", Level: "info"}), "link").Info("peer left")
	require.Contains(t, text.String(), "link: peer left")

	Component(New(&structured, settings.Log{Format: "json", Level: "info"}), "link").Info("peer left")
	var line struct{ Msg, Part string }
	require.NoError(t, json.Unmarshal(structured.Bytes(), &line))
	require.Equal(t, "link: peer left", line.Msg)
	require.Equal(t, "link", line.Part)
}
