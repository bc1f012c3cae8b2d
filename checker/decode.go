package checker

import (
	"bytes"
	"fmt"
	"io/fs"
	"path"
	"sort"
	"strings"

	"sigs.k8s.io/yaml"

	"cowslipbend.dev"
)

// Bounds of a set.
const (
	maxFile  = 4 << 20 // bytes
	maxFiles = 10000
)

// Files holds the content of declaration files by their path.
type Files map[string][]byte

// Read reads all files ending in .yaml, .yml or .json below the root.
func Read(root fs.FS) (Files, error) {
	files := Files{}
	err := fs.WalkDir(root, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !declares(name) {
			return err
		}
		if len(files) >= maxFiles {
			return cowslipbend.Invalid(name, "is one file too many", "keep a set below 10000 files")
		}
		data, err := fs.ReadFile(root, name)
		files[name] = data
		return err
	})
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a readable directory of declarations", "cannot read the set")
	}
	if len(files) == 0 {
		return nil, cowslipbend.Invalid(".", "holds no declarations", "add files that end in .yaml or .json")
	}
	return files, nil
}

func declares(name string) bool {
	switch path.Ext(name) {
	case ".yaml", ".yml", ".json":
		return true
	}
	return false
}

// Decode decodes and checks a whole set. All faults are returned at once,
// those of objects that decode beside those of objects that do not.
func Decode(files Files) (*cowslipbend.Set, error) {
	d := &decoder{set: &cowslipbend.Set{}, places: places{}}
	for _, name := range sorted(files) {
		d.file(name, files[name])
	}
	d.faults.Add(check(d.set, d.places, d.broken))
	arrange(d.faults)
	if err := d.faults.Err(); err != nil {
		return nil, err
	}
	return d.set, nil
}

// DecodeJob decodes and checks one job, which may name its kind.
func DecodeJob(name string, data []byte) (cowslipbend.Job, error) {
	d := &decoder{set: &cowslipbend.Set{}, places: places{}, only: "job"}
	d.file(name, data)
	if len(d.faults) == 0 && len(d.set.Jobs) != 1 {
		d.faults.Add(cowslipbend.Invalid(name, fmt.Sprintf("holds %d jobs", len(d.set.Jobs)), "give one job in each file"))
	}
	for i := range d.set.Jobs {
		d.faults.Add(d.places.locate(keyOf("job", i), d.set.Jobs[i].Check()))
	}
	if err := d.faults.Err(); err != nil {
		return cowslipbend.Job{}, err
	}
	return d.set.Jobs[0], nil
}

func sorted(files Files) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// decoder gathers a set and the place of each object.
type decoder struct {
	set    *cowslipbend.Set
	places places
	faults cowslipbend.Errors
	// only is the kind of a document that names none; empty demands a name.
	only string
	// broken is set once a document was left out, so that a reference to
	// what it declares is not reported too.
	broken bool
}

// file decodes the documents of one file.
func (d *decoder) file(name string, data []byte) {
	if len(data) > maxFile {
		d.fault(cowslipbend.Invalid(name, "is larger than 4 MB", "split it"))
		return
	}
	for _, doc := range split(name, data) {
		d.document(doc)
	}
}

func (d *decoder) fault(err error) {
	d.broken = true
	d.faults.Add(err)
}

// document is one document of a file.
type document struct {
	file string
	line int // of its first line, from 1
	text []byte
}

// split cuts a file at the lines that hold only "---".
func split(name string, data []byte) []document {
	var docs []document
	doc := document{file: name, line: 1}
	for i, line := range bytes.SplitAfter(data, []byte("\n")) {
		if string(bytes.TrimRight(line, " \t\r\n")) != "---" {
			doc.text = append(doc.text, line...)
			continue
		}
		docs = append(docs, doc)
		doc = document{file: name, line: i + 2}
	}
	docs = append(docs, doc)
	kept := docs[:0]
	for _, doc := range docs {
		if len(bytes.TrimSpace(doc.text)) > 0 {
			kept = append(kept, doc)
		}
	}
	return kept
}

func (d *decoder) document(doc document) {
	var fields map[string]any
	if err := yaml.UnmarshalStrict(doc.text, &fields); err != nil {
		d.fault(syntax(doc, err))
		return
	}
	kind, ok := fields["kind"].(string)
	if _, named := fields["kind"]; !named && d.only != "" {
		kind, ok = d.only, true
	}
	if !ok || (d.only != "" && kind != d.only) {
		kind = fmt.Sprint(fields["kind"])
	}
	delete(fields, "kind")
	switch {
	case d.only != "" && kind != d.only:
		d.fault(cowslipbend.Invalid(doc.at("kind"), fmt.Sprintf("%q is not %s", kind, d.only), "give a "+d.only))
	case kind == "pool":
		into(d, doc, kind, fields, &d.set.Pools)
	case kind == "team":
		into(d, doc, kind, fields, &d.set.Teams)
	case kind == "limit":
		into(d, doc, kind, fields, &d.set.Limits)
	case kind == "service":
		into(d, doc, kind, fields, &d.set.Services)
	case kind == "job":
		into(d, doc, kind, fields, &d.set.Jobs)
	default:
		d.fault(cowslipbend.Invalid(doc.at("kind"), fmt.Sprintf("%q is unknown", kind), "use pool, team, limit, service or job"))
	}
}

// into fills one object strictly and appends it, or notes its faults.
func into[T any](d *decoder, doc document, kind string, fields map[string]any, list *[]T) {
	var v T
	if faults := fill(&v, fields); len(faults) > 0 {
		for _, f := range faults {
			d.fault(cowslipbend.Invalid(doc.at(f.path), f.what, f.remedy))
		}
		return
	}
	d.places[keyOf(kind, len(*list))] = doc
	*list = append(*list, v)
}

// syntax turns an error of the YAML library into one line with its place.
func syntax(doc document, err error) error {
	text := err.Error()
	for _, prefix := range []string{"error converting YAML to JSON: ", "error unmarshaling JSON: ", "while decoding JSON: ", "yaml: "} {
		text = strings.TrimPrefix(text, prefix)
	}
	line := 0
	if n, scanErr := fmt.Sscanf(text, "line %d:", &line); n == 1 && scanErr == nil {
		_, text, _ = strings.Cut(text, ": ")
	} else if n, scanErr := fmt.Sscanf(text, "unmarshal errors:\n line %d:", &line); n == 1 && scanErr == nil {
		text = strings.TrimSpace(text[strings.Index(text, "line "):])
		_, text, _ = strings.Cut(text, ": ")
	}
	text = strings.ReplaceAll(text, "\n", "; ")
	return cowslipbend.Invalid(fmt.Sprintf("%s:%d", doc.file, doc.line+max(line, 1)-1), text, "write YAML or JSON with one object a document")
}
