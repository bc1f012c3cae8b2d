package checker

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"cowslipbend.dev"
)

// fieldFault is a fault of one field of a document.
type fieldFault struct {
	path   string
	what   string
	remedy string
}

// decodeFields sets the fields of a struct from a decoded document and returns
// a fault for every unknown field and every value of the wrong type. The
// target must be a pointer to a struct whose fields have JSON names.
func decodeFields(target any, doc map[string]any) []fieldFault {
	f := &fieldDecoder{}
	f.decodeStruct("", reflect.ValueOf(target).Elem(), doc)
	return f.faults
}

type fieldDecoder struct{ faults []fieldFault }

func (f *fieldDecoder) addFault(path, what, remedy string) {
	f.faults = append(f.faults, fieldFault{path: path, what: what, remedy: remedy})
}

func (f *fieldDecoder) decodeStruct(path string, target reflect.Value, doc map[string]any) {
	fields := fieldIndexes(target.Type())
	for _, name := range sortedKeys(doc) {
		fieldPath := joinPath(path, name)
		index, known := fields[name]
		if !known {
			f.addFault(fieldPath, "is not a known field", "use "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		f.decodeValue(fieldPath, target.Field(index), doc[name])
	}
}

func (f *fieldDecoder) decodeValue(path string, target reflect.Value, v any) {
	if v == nil {
		f.addFault(path, "has no value", "give one, or leave the field out")
		return
	}
	if target.Kind() == reflect.Struct {
		doc, ok := v.(map[string]any)
		if !ok {
			f.addFault(path, "is not an object", "give its fields "+strings.Join(sortedKeys(fieldIndexes(target.Type())), ", "))
			return
		}
		f.decodeStruct(path, target, doc)
		return
	}
	data, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(data, target.Addr().Interface())
	}
	if err != nil {
		f.addTypeFault(path, target.Type(), data, err)
	}
}

// addTypeFault reports a value that cannot be decoded. It uses the message of
// the error if that is a cowslipbend.Error, and one by type otherwise.
func (f *fieldDecoder) addTypeFault(path string, t reflect.Type, data []byte, err error) {
	if e, ok := errors.AsType[*cowslipbend.Error](err); ok {
		f.addFault(path, e.What, e.Remedy)
		return
	}
	f.addFault(path, fmt.Sprintf("%s is not %s", data, typeName(t)), "write "+typeExample(t))
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[cowslipbend.Span]():
		return "a duration"
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func typeExample(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[cowslipbend.Span]():
		return "it as 200ms, 3s or 1h"
	case t.Kind() == reflect.String:
		return "it in quotes"
	case t.Kind() == reflect.Float64:
		return "a number such as 0.5"
	}
	return "a number such as 3"
}

// fieldIndexes returns the index of each field of a struct by its JSON name.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
