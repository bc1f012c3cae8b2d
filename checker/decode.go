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

// Bounds on the size of a set.
const (
	maxFile  = 4 << 20 // bytes
	maxFiles = 10000
)

// Files holds the contents of declaration files by path.
type Files map[string][]byte

// Read reads all files ending in .yaml, .yml or .json below the root.
func Read(root fs.FS) (Files, error) {
	files := Files{}
	err := fs.WalkDir(root, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !isDeclarationFile(name) {
			return err
		}
		if len(files) >= maxFiles {
			return cowslipbend.Invalid(name, "exceeds the limit of 10000 files", "keep a set within 10000 files")
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

func isDeclarationFile(name string) bool {
	switch path.Ext(name) {
	case ".yaml", ".yml", ".json":
		return true
	}
	return false
}

// Decode decodes and validates a whole set. It returns all faults at once, in
// the order of files and lines: those of documents that cannot be decoded and
// those that validation finds in the others.
func Decode(files Files) (*cowslipbend.Set, error) {
	d := &decoder{set: &cowslipbend.Set{}, documents: documents{}}
	for _, name := range sortedNames(files) {
		d.decodeFile(name, files[name])
	}
	d.faults.Add(checkSet(d.set, d.documents, d.incomplete))
	sortByPosition(d.faults)
	if err := d.faults.Err(); err != nil {
		return nil, err
	}
	return d.set, nil
}

// DecodeJob decodes and validates a file that holds one job. The document may
// omit its kind.
func DecodeJob(name string, data []byte) (cowslipbend.Job, error) {
	d := &decoder{set: &cowslipbend.Set{}, documents: documents{}, onlyKind: "job"}
	d.decodeFile(name, data)
	if len(d.faults) == 0 && len(d.set.Jobs) != 1 {
		d.faults.Add(cowslipbend.Invalid(name, fmt.Sprintf("holds %d jobs", len(d.set.Jobs)), "give one job in each file"))
	}
	for i := range d.set.Jobs {
		d.faults.Add(d.documents.addPosition(objectKey("job", i), d.set.Jobs[i].Check()))
	}
	if err := d.faults.Err(); err != nil {
		return cowslipbend.Job{}, err
	}
	return d.set.Jobs[0], nil
}

func sortedNames(files Files) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// decoder builds a set and records the document of each object.
type decoder struct {
	set       *cowslipbend.Set
	documents documents
	faults    cowslipbend.Errors
	// onlyKind is the one kind that is accepted, and the default for a
	// document that omits it. If it is empty, all kinds are accepted and each
	// document must name its own.
	onlyKind string
	// incomplete is set once a document could not be decoded. References to
	// objects that it may declare are not reported then.
	incomplete bool
}

// decodeFile decodes the documents of one file.
func (d *decoder) decodeFile(name string, data []byte) {
	if len(data) > maxFile {
		d.addFault(cowslipbend.Invalid(name, "is larger than 4 MB", "split it"))
		return
	}
	for _, doc := range splitDocuments(name, data) {
		d.decodeDocument(doc)
	}
}

func (d *decoder) addFault(err error) {
	d.incomplete = true
	d.faults.Add(err)
}

// document is one YAML document of a file.
type document struct {
	file string
	line int // number of its first line in the file, from 1
	text []byte
}

// splitDocuments splits a file at lines that hold only "---" and drops empty
// documents.
func splitDocuments(name string, data []byte) []document {
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
	nonEmpty := docs[:0]
	for _, doc := range docs {
		if len(bytes.TrimSpace(doc.text)) > 0 {
			nonEmpty = append(nonEmpty, doc)
		}
	}
	return nonEmpty
}

func (d *decoder) decodeDocument(doc document) {
	var fields map[string]any
	if err := yaml.UnmarshalStrict(doc.text, &fields); err != nil {
		d.addFault(syntaxError(doc, err))
		return
	}
	kind, ok := fields["kind"].(string)
	if _, hasKind := fields["kind"]; !hasKind && d.onlyKind != "" {
		kind, ok = d.onlyKind, true
	}
	if !ok || (d.onlyKind != "" && kind != d.onlyKind) {
		kind = fmt.Sprint(fields["kind"])
	}
	delete(fields, "kind")
	switch {
	case d.onlyKind != "" && kind != d.onlyKind:
		d.addFault(cowslipbend.Invalid(doc.qualify("kind"), fmt.Sprintf("%q is not %s", kind, d.onlyKind), "give a "+d.onlyKind))
	case kind == "pool":
		decodeObject(d, doc, kind, fields, &d.set.Pools)
	case kind == "team":
		decodeObject(d, doc, kind, fields, &d.set.Teams)
	case kind == "limit":
		decodeObject(d, doc, kind, fields, &d.set.Limits)
	case kind == "service":
		decodeObject(d, doc, kind, fields, &d.set.Services)
	case kind == "job":
		decodeObject(d, doc, kind, fields, &d.set.Jobs)
	default:
		d.addFault(cowslipbend.Invalid(doc.qualify("kind"), fmt.Sprintf("%q is unknown", kind), "use pool, team, limit, service or job"))
	}
}

// decodeObject decodes one object strictly and appends it to the list. If it
// has faults, it records them and does not append the object.
func decodeObject[T any](d *decoder, doc document, kind string, fields map[string]any, list *[]T) {
	var v T
	if faults := decodeFields(&v, fields); len(faults) > 0 {
		for _, f := range faults {
			d.addFault(cowslipbend.Invalid(doc.qualify(f.path), f.what, f.remedy))
		}
		return
	}
	d.documents[objectKey(kind, len(*list))] = doc
	*list = append(*list, v)
}

// syntaxError converts an error of the YAML library into a fault of one line
// with its position.
func syntaxError(doc document, err error) error {
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
	return cowslipbend.Invalid(fmt.Sprintf("%s:%d", doc.file, doc.line+max(line, 1)-1), text, "write YAML or JSON with one object per document")
}
