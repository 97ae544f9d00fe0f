package measure

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFigureOK(t *testing.T) {
	cases := []struct {
		desc   string
		figure Figure
		ok     bool
	}{
		{"below an upper bound", Figure{Value: 1, Limit: AtMost, Bound: 2}, true},
		{"above an upper bound", Figure{Value: 3, Limit: AtMost, Bound: 2}, false},
		{"below a lower bound", Figure{Value: 1, Limit: AtLeast, Bound: 2}, false},
		{"without a bound", Figure{Value: 1}, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) { require.Equal(t, c.ok, c.figure.OK()) })
	}
}

func TestReportMarksFiguresOutOfBounds(t *testing.T) {
	study := Study{Name: "one", Run: func(context.Context) (Result, error) {
		return Result{
			Figures: []Figure{{Name: "f", Value: 3, Limit: AtMost, Bound: 2, Unit: "ms"}},
			Plots:   []Plot{{Title: "t", Series: []Series{{Name: "s", X: []float64{1, 2}, Y: []float64{3, 4}}}}},
		}, nil
	}}
	outcomes := RunAll(context.Background(), []Study{study}, func(Outcome) {})
	require.True(t, outcomes[0].Failed())
	directory := t.TempDir()
	require.NoError(t, WriteReport(directory, outcomes))
	page, err := os.ReadFile(filepath.Join(directory, "report.md"))
	require.NoError(t, err)
	require.Contains(t, string(page), "OUT OF BOUNDS")
	image, err := os.ReadFile(filepath.Join(directory, "one-1.svg"))
	require.NoError(t, err)
	require.True(t, strings.Contains(string(image), "<svg"))
}
