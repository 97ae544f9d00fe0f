// Package corpus supports tests that messages of earlier releases are still read. A corpus
// file is one encoded message of a release in which every field is set; the folder is named
// after the release's commit. RecordVariable records those of a release.
package corpus

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// maxDepth bounds the nesting of filled values, for types that contain themselves.
const maxDepth = 8

// Fill sets all fields of the value that target points to, to values that are not zero and
// differ from field to field.
func Fill(target any) {
	next := 0
	fill(reflect.ValueOf(target).Elem(), &next, 0)
}

func fill(v reflect.Value, next *int, depth int) {
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next % 100))
	case reflect.Uint8:
		// Versions and enumerations; 1 is valid for all of them.
		v.SetUint(1)
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *next))
	default:
		fillContainer(v, next, depth)
	}
}

func fillContainer(v reflect.Value, next *int, depth int) {
	if depth > maxDepth {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i), next, depth+1)
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next, depth+1)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), next, depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next, depth+1)
		fill(value, next, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	}
}

// Files returns the files of a corpus folder with the given name, one per release.
func Files(folder, name string) ([]string, error) {
	return filepath.Glob(filepath.Join(folder, "*", name))
}

// LostField is a field of a message that did not survive decoding.
type LostField struct {
	// Path is the position of the field, by the keys that lead to it.
	Path     string
	Old, New any
}

// Error implements error.
func (e *LostField) Error() string {
	return fmt.Sprintf("field %s: %v in the corpus, %v after decoding", e.Path, e.Old, e.New)
}

// CheckCBOR decodes a corpus file into target, a pointer, and returns LostField if a field
// of the file is missing or differs when target is encoded again. Other errors are of reading
// or decoding.
func CheckCBOR(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, target); err != nil {
		return err
	}
	encoded, err := cbor.Marshal(target)
	if err != nil {
		return err
	}
	var before, after any
	if err := cbor.Unmarshal(data, &before); err != nil {
		return err
	}
	if err := cbor.Unmarshal(encoded, &after); err != nil {
		return err
	}
	return contained(before, after, "")
}

// contained checks that all fields of before are in after with the same values.
func contained(before, after any, path string) error {
	old, isMap := before.(map[any]any)
	if !isMap {
		return containedValue(before, after, path)
	}
	now, isMap := after.(map[any]any)
	if !isMap {
		return &LostField{path, before, after}
	}
	for key, value := range old {
		if err := contained(value, now[key], fmt.Sprintf("%s/%v", path, key)); err != nil {
			return err
		}
	}
	return nil
}

func containedValue(before, after any, path string) error {
	old, isList := before.([]any)
	now, stillList := after.([]any)
	if !isList || !stillList || len(old) != len(now) {
		if reflect.DeepEqual(before, after) {
			return nil
		}
		return &LostField{path, before, after}
	}
	for i := range old {
		if err := contained(old[i], now[i], fmt.Sprintf("%s/%d", path, i)); err != nil {
			return err
		}
	}
	return nil
}
