// Package mutant runs one test of a package on a copy of its sources in which a
// rule is broken, to show that the test sees the rule missing. The product's own
// sources stay as they are: the copy is given to the compiler as an overlay.
package mutant

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Edit replaces a text that stands once in a source file of the package in the
// current directory.
type Edit struct{ File, Old, New string }

// EditError means that the text to replace does not stand exactly once in its file.
type EditError struct {
	Edit  Edit
	Found int
}

// Error implements error.
func (e *EditError) Error() string {
	return fmt.Sprintf("%s holds the text to replace %d times: %s", e.Edit.File, e.Found, e.Edit.Old)
}

// Variable names the environment variable that tells the test which case it plays.
const Variable = "VERBENASEAM_MUTANT"

// Run runs a test of the package in the current directory on a copy with the edits
// and tells what it printed and whether it passed. scratch is a directory for the
// copy. It fails with EditError and with the errors of files.
func Run(scratch string, edits []Edit, test, name string) (output string, passed bool, err error) {
	overlay, err := writeOverlay(scratch, edits)
	if err != nil {
		return "", false, err
	}
	command := exec.Command("go", "test", "-overlay", overlay, "-count=1", "-run", "^"+test+"$", ".")
	command.Env = append(os.Environ(), Variable+"="+name)
	printed, err := command.CombinedOutput()
	return string(printed), err == nil, nil
}

// writeOverlay writes the edited files and the list of them for the compiler.
func writeOverlay(scratch string, edits []Edit) (string, error) {
	texts := map[string]string{}
	for _, edit := range edits {
		file, err := filepath.Abs(edit.File)
		if err != nil {
			return "", err
		}
		text, known := texts[file]
		if !known {
			read, err := os.ReadFile(file)
			if err != nil {
				return "", err
			}
			text = string(read)
		}
		if found := strings.Count(text, edit.Old); found != 1 {
			return "", &EditError{Edit: edit, Found: found}
		}
		texts[file] = strings.Replace(text, edit.Old, edit.New, 1)
	}
	replaced := map[string]string{}
	for file, text := range texts {
		replaced[file] = filepath.Join(scratch, filepath.Base(file))
		if err := os.WriteFile(replaced[file], []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	list, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(scratch, "overlay.json")
	return overlay, os.WriteFile(overlay, list, 0o600)
}
