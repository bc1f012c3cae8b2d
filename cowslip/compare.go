package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"cowslipbend.dev"
)

// Change marks of objectChange.
const (
	added   = "+"
	removed = "-"
	changed = "~"
)

// objectChange is one declared object that differs between two sets.
type objectChange struct {
	Change string        `json:"change"`
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Fields []fieldChange `json:"fields,omitempty"`
}

// fieldChange is one field that differs. From or To is empty if that side lacks
// the field.
type fieldChange struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the change in the form that the command diff prints.
func (f fieldChange) String() string {
	switch {
	case f.From == "":
		return fmt.Sprintf("%s: %s", f.Path, f.To)
	case f.To == "":
		return fmt.Sprintf("%s: %s removed", f.Path, f.From)
	}
	return fmt.Sprintf("%s: %s -> %s", f.Path, f.From, f.To)
}

// object is one declared object. The values of its fields are kept as text by
// path, such as "size.cpu".
type object struct {
	kind   string
	name   string
	fields map[string]string
}

// compareSets returns the objects that differ, sorted by kind and name.
func compareSets(from, to *cowslipbend.Set) []objectChange {
	before, after := objectsByKey(from), objectsByKey(to)
	changes := []objectChange{}
	for _, key := range unionKeys(before, after) {
		b, inBefore := before[key]
		a, inAfter := after[key]
		switch {
		case !inBefore:
			changes = append(changes, objectChange{Change: added, Kind: a.kind, Name: a.name, Fields: compareFields(nil, a.fields)})
		case !inAfter:
			changes = append(changes, objectChange{Change: removed, Kind: b.kind, Name: b.name})
		default:
			if f := compareFields(b.fields, a.fields); len(f) > 0 {
				changes = append(changes, objectChange{Change: changed, Kind: a.kind, Name: a.name, Fields: f})
			}
		}
	}
	return changes
}

func compareFields(before, after map[string]string) []fieldChange {
	var list []fieldChange
	for _, path := range unionKeys(before, after) {
		if before[path] != after[path] {
			list = append(list, fieldChange{Path: path, From: before[path], To: after[path]})
		}
	}
	return list
}

func unionKeys[V any](a, b map[string]V) []string {
	var keys []string
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, inBoth := a[key]; !inBoth {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func objectsByKey(set *cowslipbend.Set) map[string]object {
	all := map[string]object{}
	if set == nil {
		return all
	}
	for i := range set.Pools {
		addObject(all, "pool", string(set.Pools[i].Name), set.Pools[i])
	}
	for i := range set.Teams {
		addObject(all, "team", string(set.Teams[i].Name), set.Teams[i])
	}
	for i := range set.Limits {
		addObject(all, "limit", set.Limits[i].Name, set.Limits[i])
	}
	for i := range set.Services {
		addObject(all, "service", string(set.Services[i].Name), set.Services[i])
	}
	for i := range set.Jobs {
		addObject(all, "job", string(set.Jobs[i].ID), set.Jobs[i])
	}
	return all
}

// addObject adds a declared object to the map, with its fields flattened.
func addObject(all map[string]object, kind, name string, v any) {
	o := object{kind: kind, name: name, fields: map[string]string{}}
	data, err := json.Marshal(v)
	if err != nil {
		panic("cowslip: declared object does not encode: " + err.Error()) // Declared objects hold only plain data.
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

func flatten(fields map[string]string, path string, doc map[string]any) {
	for name, v := range doc {
		fieldPath := name
		if path != "" {
			fieldPath = path + "." + name
		}
		switch v := v.(type) {
		case map[string]any:
			flatten(fields, fieldPath, v)
		case json.Number:
			fields[fieldPath] = formatNumber(name, v)
		default:
			fields[fieldPath] = fmt.Sprint(v)
		}
	}
}

// formatNumber formats fields named mem as amounts of memory and other numbers
// unchanged.
func formatNumber(name string, n json.Number) string {
	if v, err := n.Int64(); name == "mem" && err == nil {
		return formatBytes(cowslipbend.Bytes(v))
	}
	return n.String()
}
