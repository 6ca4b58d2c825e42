// Package parser decodes JSON with comments into typed values. It reports every
// fault in a file with the line, the field and the value.
package parser

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one error in a file.
type Fault struct {
	Line    int    `json:"line"` // 1 for the first; 0 when unknown
	Field   string `json:"field"`
	Value   string `json:"value"`
	Message string `json:"what"`
}

// String returns the fault as one line for an operator.
func (fa Fault) String() string {
	if fa.Line == 0 {
		return fmt.Sprintf("%s: %s (got %q)", fa.Field, fa.Message, fa.Value)
	}
	return fmt.Sprintf("line %d: %s: %s (got %s)", fa.Line, fa.Field, fa.Message, fa.Value)
}

// Faults is the error that lists all faults of a file.
type Faults []Fault

// Error implements the error interface.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, fa := range fs {
		lines[i] = fa.String()
	}
	return strings.Join(lines, "\n")
}

// ParseFile reads the file at path into out. See Parse.
func ParseFile(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read %q: %w", path, err)
	}
	if err := Parse(data, out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Parse reads JSON with comments into out. Unknown fields are errors.
func Parse(data []byte, out any) error {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Faults{{Line: syntaxErrorLine(err), Field: "(syntax)", Value: "unreadable text", Message: err.Error()}}
	}
	fs := unknownFields(std, reflect.TypeOf(out), "")
	de := json.NewDecoder(bytes.NewReader(std))
	if err := de.Decode(out); err != nil {
		fs = append(fs, decodeFault(std, de.InputOffset(), err))
	}
	if len(fs) > 0 {
		return ResolveLines(data, fs)
	}
	return nil
}

// ResolveLines fills in the line of each fault that has none, by looking up its
// field in data, and sorts the faults by line.
func ResolveLines(data []byte, fs Faults) Faults {
	tree, err := hujson.Parse(data)
	if err != nil {
		return fs
	}
	for i := range fs {
		if fs[i].Line == 0 {
			fs[i].Line = lineAt(data, int64(offsetOf(tree, fs[i].Field)))
		}
	}
	slices.SortStableFunc(fs, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return fs
}

// offsetOf returns the offset of the value of a field such as a.b[1].c. For a
// missing field it returns the offset of the nearest enclosing object.
func offsetOf(tree hujson.Value, field string) int {
	pointer := "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(field)
	for pointer != "" {
		if found := tree.Find(pointer); found != nil {
			return found.StartOffset
		}
		pointer = pointer[:strings.LastIndex(pointer, "/")]
	}
	return tree.StartOffset
}

// decodeFault converts a decoding error at offset to a fault.
func decodeFault(std []byte, offset int64, err error) Fault {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return Fault{Line: lineAt(std, te.Offset), Field: te.Field, Value: te.Value, Message: "want " + kindName(te.Type)}
	}
	return Fault{Line: lineAt(std, offset), Field: "(document)", Value: "unreadable value", Message: err.Error()}
}

// kindName returns the name of a type for an operator.
func kindName(ty reflect.Type) string {
	switch ty.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a number"
	}
}

// lineAt returns the number of the line that offset is in.
func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// syntaxErrorLine returns the line number in the text of a hujson error, or 0 if
// there is none.
func syntaxErrorLine(err error) int {
	var line, col int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &col); scanErr != nil {
		return 0
	}
	return line
}

// MergeFaults returns the faults found by Parse together with those found by
// checking the values, or nil if there are none. err is the error from Parse. An
// error without faults is returned as it is.
func MergeFaults(data []byte, err error, checked Faults) error {
	var parsed Faults
	if err != nil && !errors.As(err, &parsed) {
		return err
	}
	if fs := append(parsed, ResolveLines(data, checked)...); len(fs) > 0 {
		return fs
	}
	return nil
}

// HasField reports whether the document is an object with a field of that name.
func HasField(data []byte, name string) bool {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return false
	}
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal(std, &fields) != nil {
		return false
	}
	_, found := fields[name]
	return found
}
