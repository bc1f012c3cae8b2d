package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"cowslipbend.dev"
)

// Marks of a change.
const (
	added   = "+"
	removed = "-"
	changed = "~"
)

// change is one object that differs.
type change struct {
	Change string  `json:"change"`
	Kind   string  `json:"kind"`
	Name   string  `json:"name"`
	Fields []field `json:"fields,omitempty"`
}

// field is one field that differs; an empty side lacks it.
type field struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the field as diff shows it.
func (f field) String() string {
	switch {
	case f.From == "":
		return fmt.Sprintf("%s: %s", f.Path, f.To)
	case f.To == "":
		return fmt.Sprintf("%s: %s removed", f.Path, f.From)
	}
	return fmt.Sprintf("%s: %s -> %s", f.Path, f.From, f.To)
}

// object is one declared object, with its fields as text by path.
type object struct {
	kind   string
	name   string
	fields map[string]string
}

// compare returns what differs, in the order of kinds and names.
func compare(from, to *cowslipbend.Set) []change {
	before, after := objects(from), objects(to)
	changes := []change{}
	for _, key := range union(before, after) {
		b, had := before[key]
		a, has := after[key]
		switch {
		case !had:
			changes = append(changes, change{Change: added, Kind: a.kind, Name: a.name, Fields: fields(nil, a.fields)})
		case !has:
			changes = append(changes, change{Change: removed, Kind: b.kind, Name: b.name})
		default:
			if f := fields(b.fields, a.fields); len(f) > 0 {
				changes = append(changes, change{Change: changed, Kind: a.kind, Name: a.name, Fields: f})
			}
		}
	}
	return changes
}

func fields(before, after map[string]string) []field {
	var list []field
	for _, path := range union(before, after) {
		if before[path] != after[path] {
			list = append(list, field{Path: path, From: before[path], To: after[path]})
		}
	}
	return list
}

func union[V any](a, b map[string]V) []string {
	var keys []string
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, twice := a[key]; !twice {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func objects(set *cowslipbend.Set) map[string]object {
	all := map[string]object{}
	if set == nil {
		return all
	}
	for i := range set.Pools {
		gather(all, "pool", string(set.Pools[i].Name), set.Pools[i])
	}
	for i := range set.Teams {
		gather(all, "team", string(set.Teams[i].Name), set.Teams[i])
	}
	for i := range set.Limits {
		gather(all, "limit", set.Limits[i].Name, set.Limits[i])
	}
	for i := range set.Services {
		gather(all, "service", string(set.Services[i].Name), set.Services[i])
	}
	for i := range set.Jobs {
		gather(all, "job", string(set.Jobs[i].ID), set.Jobs[i])
	}
	return all
}

// gather takes an object apart into fields.
func gather(all map[string]object, kind, name string, v any) {
	o := object{kind: kind, name: name, fields: map[string]string{}}
	data, err := json.Marshal(v)
	if err != nil {
		panic("cowslip: declared object does not encode: " + err.Error()) // Plain structs encode.
	}
	var doc map[string]any
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.UseNumber()
	if err := dec.Decode(&doc); err != nil {
		panic("cowslip: declared object does not decode: " + err.Error())
	}
	flatten(o.fields, "", doc)
	delete(o.fields, "name")
	delete(o.fields, "id")
	all[kind+" "+name] = o
}

func flatten(into map[string]string, path string, doc map[string]any) {
	for name, v := range doc {
		at := name
		if path != "" {
			at = path + "." + name
		}
		switch v := v.(type) {
		case map[string]any:
			flatten(into, at, v)
		case json.Number:
			into[at] = number(name, v)
		default:
			into[at] = fmt.Sprint(v)
		}
	}
}

// number returns memory in its unit and any other number as it is.
func number(name string, n json.Number) string {
	if v, err := n.Int64(); name == "mem" && err == nil {
		return bytesText(cowslipbend.Bytes(v))
	}
	return n.String()
}
