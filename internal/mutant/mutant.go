// Package mutant runs one test of a package against a mutant: a copy of the package's
// sources with a rule broken by text edits. It shows that the test detects the missing
// rule. The original sources are not modified; the go command reads the edited copies
// through -overlay.
package mutant

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Edit replaces the only occurrence of Old in a source file with New. File is relative
// to the current directory, which must be that of the package under test.
type Edit struct{ File, Old, New string }

// EditError reports that Edit.Old does not occur exactly once in its file.
type EditError struct {
	Edit Edit
	// Matches is the number of occurrences.
	Matches int
}

// Error implements error.
func (e *EditError) Error() string {
	return fmt.Sprintf("%s: text to replace occurs %d times, want 1: %s", e.Edit.File, e.Matches, e.Edit.Old)
}

// EnvVar is the environment variable that passes the name of the mutant to the test.
const EnvVar = "VERBENASEAM_MUTANT"

// Run runs testName of the package in the current directory with the edits applied and
// with Variable set to mutantName. It returns the combined output of go test and
// whether the test passed. The edited files are written to scratchDir.
// The error is an EditError or an error of reading or writing files; a failure of
// go test itself, including a compile error, is reported as passed = false.
func Run(scratchDir string, edits []Edit, testName, mutantName string) (output string, passed bool, err error) {
	overlay, err := writeOverlay(scratchDir, edits)
	if err != nil {
		return "", false, err
	}
	command := exec.Command("go", "test", "-overlay", overlay, "-count=1", "-run", "^"+testName+"$", ".")
	command.Env = append(os.Environ(), EnvVar+"="+mutantName)
	combined, err := command.CombinedOutput()
	return string(combined), err == nil, nil
}

// writeOverlay writes the edited files and the JSON file for go test -overlay, and
// returns the path of the latter.
func writeOverlay(scratchDir string, edits []Edit) (string, error) {
	sources := map[string]string{}
	for _, edit := range edits {
		file, err := filepath.Abs(edit.File)
		if err != nil {
			return "", err
		}
		source, loaded := sources[file]
		if !loaded {
			content, err := os.ReadFile(file)
			if err != nil {
				return "", err
			}
			source = string(content)
		}
		if matches := strings.Count(source, edit.Old); matches != 1 {
			return "", &EditError{Edit: edit, Matches: matches}
		}
		sources[file] = strings.Replace(source, edit.Old, edit.New, 1)
	}
	replacements := map[string]string{}
	for file, source := range sources {
		replacements[file] = filepath.Join(scratchDir, filepath.Base(file))
		if err := os.WriteFile(replacements[file], []byte(source), 0o600); err != nil {
			return "", err
		}
	}
	encoded, err := json.Marshal(map[string]any{"Replace": replacements})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(scratchDir, "overlay.json")
	return overlay, os.WriteFile(overlay, encoded, 0o600)
}
