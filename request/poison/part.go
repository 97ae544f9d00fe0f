package poison

import (
	"slices"
	"strconv"
	"strings"
)

// formatParts returns the parts of prompts as they are logged: in hexadecimal, sorted, each once.
func formatParts(parts []uint64) string {
	sorted := slices.Compact(slices.Sorted(slices.Values(parts)))
	texts := make([]string, len(sorted))
	for i, part := range sorted {
		texts[i] = strconv.FormatUint(part, 16)
	}
	return strings.Join(texts, ",")
}
