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

// fill sets the fields of a struct from a decoded document and returns every
// unknown field and every value of the wrong type. The target must be a
// pointer to a struct whose fields have JSON names.
func fill(target any, doc map[string]any) []fieldFault {
	f := &filler{}
	f.object("", reflect.ValueOf(target).Elem(), doc)
	return f.faults
}

type filler struct{ faults []fieldFault }

func (f *filler) fault(path, what, remedy string) {
	f.faults = append(f.faults, fieldFault{path: path, what: what, remedy: remedy})
}

func (f *filler) object(path string, into reflect.Value, doc map[string]any) {
	fields := fieldsOf(into.Type())
	for _, name := range keysOf(doc) {
		at := join(path, name)
		index, known := fields[name]
		if !known {
			f.fault(at, "is no field", "use "+strings.Join(keysOf(fields), ", "))
			continue
		}
		f.value(at, into.Field(index), doc[name])
	}
}

func (f *filler) value(path string, into reflect.Value, v any) {
	if v == nil {
		f.fault(path, "has no value", "give one, or leave the field out")
		return
	}
	if into.Kind() == reflect.Struct {
		doc, ok := v.(map[string]any)
		if !ok {
			f.fault(path, "is no object", "give its fields "+strings.Join(keysOf(fieldsOf(into.Type())), ", "))
			return
		}
		f.object(path, into, doc)
		return
	}
	data, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(data, into.Addr().Interface())
	}
	if err != nil {
		f.wrong(path, into.Type(), data, err)
	}
}

// wrong reports a value that does not decode, in the words of the type that
// refused it if it has any.
func (f *filler) wrong(path string, t reflect.Type, data []byte, err error) {
	if e, ok := errors.AsType[*cowslipbend.Error](err); ok {
		f.fault(path, e.What, e.Remedy)
		return
	}
	f.fault(path, fmt.Sprintf("%s is no %s", data, wanted(t)), "write "+form(t))
}

func wanted(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[cowslipbend.Span]():
		return "length of time"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return "whole number"
}

func form(t reflect.Type) string {
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

// fieldsOf returns the index of each field of a struct by its JSON name.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func keysOf[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
