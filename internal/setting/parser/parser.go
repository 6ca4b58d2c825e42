// Package parser reads JSON with comments into typed values. Every fault
// carries the line, the field and the value.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with a file.
type Fault struct {
	Line  int    `json:"line"` // 1 for the first; 0 when unknown
	Field string `json:"field"`
	Value string `json:"value"`
	What  string `json:"what"`
}

// String returns the fault as one line for an operator.
func (fa Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s (got %s)", fa.Line, fa.Field, fa.What, fa.Value)
}

// Faults is the error that lists everything wrong with a file.
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
		return Faults{{Line: lineOfSyntax(err), Field: "(syntax)", Value: "unreadable text", What: err.Error()}}
	}
	de := json.NewDecoder(bytes.NewReader(std))
	de.DisallowUnknownFields()
	if err := de.Decode(out); err != nil {
		return Faults{decodeFault(std, de.InputOffset(), err)}
	}
	return nil
}

// Locate fills in the line of each fault that has none, by looking up its
// field's path in data.
func Locate(data []byte, fs Faults) Faults {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return fs
	}
	for i := range fs {
		if fs[i].Line == 0 {
			fs[i].Line = lineOfField(std, fs[i].Field)
		}
	}
	return fs
}

func decodeFault(std []byte, offset int64, err error) Fault {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return Fault{Line: lineAt(std, te.Offset), Field: te.Field, Value: te.Value, What: "want " + te.Type.String()}
	}
	name, unknown := strings.CutPrefix(err.Error(), "json: unknown field ")
	if unknown {
		name = strings.Trim(name, `"`)
		return Fault{Line: lineOfField(std, name), Field: name, Value: "an unknown field", What: "no such field"}
	}
	return Fault{Line: lineAt(std, offset), Field: "(document)", Value: "unreadable value", What: err.Error()}
}

// lineOfField finds the line of a dotted path by looking for its quoted
// segments one after the other.
func lineOfField(std []byte, path string) int {
	at := 0
	for _, seg := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		i := bytes.Index(std[at:], []byte(`"`+seg+`"`))
		if i >= 0 {
			at += i
		}
	}
	return lineAt(std, int64(at))
}

func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func lineOfSyntax(err error) int {
	var line, col int
	if _, serr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &col); serr != nil {
		return 0
	}
	return line
}
