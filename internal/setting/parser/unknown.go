package parser

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// unknownFields returns a fault for every field in data that the type does not
// have. Values of types that implement json.Unmarshaler are not checked.
func unknownFields(data []byte, ty reflect.Type, path string) Faults {
	for ty.Kind() == reflect.Pointer {
		ty = ty.Elem()
	}
	switch {
	case reflect.PointerTo(ty).Implements(reflect.TypeFor[json.Unmarshaler]()):
		return nil
	case ty.Kind() == reflect.Struct:
		return unknownInObject(data, ty, path)
	case ty.Kind() == reflect.Slice || ty.Kind() == reflect.Array:
		return unknownInList(data, ty.Elem(), path)
	}
	return nil
}

func unknownInObject(data []byte, ty reflect.Type, path string) Faults {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil //nolint:nilerr // decoding reports it
	}
	known := make(map[string]reflect.Type)
	for i := range ty.NumField() {
		name, _, _ := strings.Cut(ty.Field(i).Tag.Get("json"), ",")
		known[name] = ty.Field(i).Type
	}
	fs := Faults{}
	for name, value := range fields {
		full := strings.TrimPrefix(path+"."+name, ".")
		fty, found := known[name]
		if !found {
			fs = append(fs, Fault{Field: full, Value: string(value), Message: "no such field"})
			continue
		}
		fs = append(fs, unknownFields(value, fty, full)...)
	}
	slices.SortFunc(fs, func(a, b Fault) int { return strings.Compare(a.Field, b.Field) })
	return fs
}

func unknownInList(data []byte, ty reflect.Type, path string) Faults {
	items := []json.RawMessage{}
	if err := json.Unmarshal(data, &items); err != nil {
		return nil //nolint:nilerr // decoding reports it
	}
	fs := Faults{}
	for i, item := range items {
		fs = append(fs, unknownFields(item, ty, fmt.Sprintf("%s[%d]", path, i))...)
	}
	return fs
}
