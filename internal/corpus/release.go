package corpus

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// RecordVariable names the environment variable that makes Check record the messages of this
// build, under the release that it holds.
const RecordVariable = "VERBENASEAM_RECORD_CORPUS"

// fileSuffix ends the names of corpus files.
const fileSuffix = ".cbor"

// ErrEmpty means that a folder holds no messages of any release.
var ErrEmpty = eris.New("no recorded messages")

// UnknownMessageError reports a recorded message that this build has no type for.
type UnknownMessageError struct{ File string }

// Error implements error.
func (e *UnknownMessageError) Error() string { return "no type for the message in " + e.File }

// FileError reports a recorded message that cannot be read.
type FileError struct {
	File string
	// Cause is LostField, or an error of reading or decoding.
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Check decodes the messages of all releases in a folder. messages holds a pointer to a value
// of each message's type, by the name of its file.
func Check(folder string, messages map[string]any) error {
	if release := os.Getenv(RecordVariable); release != "" {
		if err := record(filepath.Join(folder, release), messages); err != nil {
			return err
		}
	}
	files, err := Files(folder, "*"+fileSuffix)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return ErrEmpty
	}
	for _, file := range files {
		message, known := messages[strings.TrimSuffix(filepath.Base(file), fileSuffix)]
		if !known {
			return &UnknownMessageError{File: file}
		}
		if err := CheckCBOR(file, reflect.New(reflect.TypeOf(message).Elem()).Interface()); err != nil {
			return &FileError{File: file, Cause: err}
		}
	}
	return nil
}

// record writes the messages of a release with all fields set.
func record(folder string, messages map[string]any) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for name, message := range messages {
		filled := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		Fill(filled)
		data, err := cbor.Marshal(filled)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, name+fileSuffix), data, 0o644); err != nil {
			return err
		}
	}
	return nil
}
