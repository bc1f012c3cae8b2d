package checker

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"cowslipbend.dev"
)

// places holds the document of each object by its key.
type places map[string]document

// keyOf names the object with the index among those of its kind.
func keyOf(kind string, index int) string { return fmt.Sprintf("%s#%d", kind, index) }

// locate puts file and line before the path of each fault of an object. A set
// that came without files leaves the paths as they are.
func (p places) locate(key string, err error) error {
	doc, ok := p[key]
	if !ok || err == nil {
		return err
	}
	var l cowslipbend.Errors
	l.Add(err)
	for _, e := range l {
		_, field, _ := strings.Cut(e.Path, ".")
		e.Path = doc.prefix(field) + ": " + e.Path
	}
	return l.Err()
}

// at returns "file:line: path".
func (doc document) at(path string) string { return doc.prefix(path) + ": " + path }

func (doc document) prefix(path string) string {
	return fmt.Sprintf("%s:%d", doc.file, doc.find(path))
}

// find returns the line that holds the field of a path such as
// "objective.p99", or that of the document's first text.
func (doc document) find(path string) int {
	lines := strings.Split(string(doc.text), "\n")
	found, from := -1, 0
	for name := range strings.SplitSeq(path, ".") {
		i := seek(lines, from, name)
		if i < 0 {
			break
		}
		found, from = i, i
	}
	if found < 0 {
		found = first(lines)
	}
	return doc.line + found
}

// seek returns the index of the first line from the index on that holds the
// key, or -1.
func seek(lines []string, from int, name string) int {
	key := regexp.MustCompile(`(^|[\s{,"'])` + regexp.QuoteMeta(name) + `["']?\s*:`)
	for i := from; i < len(lines); i++ {
		if key.MatchString(lines[i]) {
			return i
		}
	}
	return -1
}

// arrange puts faults in the order of their files and lines.
func arrange(faults cowslipbend.Errors) {
	sort.SliceStable(faults, func(i, j int) bool {
		fileI, lineI := placeOf(faults[i].Path)
		fileJ, lineJ := placeOf(faults[j].Path)
		if fileI != fileJ {
			return fileI < fileJ
		}
		return lineI < lineJ
	})
}

// placeOf takes a path that begins with "file:line" apart.
func placeOf(path string) (string, int) {
	place, _, _ := strings.Cut(path, ": ")
	i := strings.LastIndex(place, ":")
	if i < 0 {
		return place, 0
	}
	line, err := strconv.Atoi(place[i+1:])
	if err != nil {
		return place, 0
	}
	return place[:i], line
}

func first(lines []string) int {
	for i, line := range lines {
		if text := strings.TrimSpace(line); text != "" && !strings.HasPrefix(text, "#") {
			return i
		}
	}
	return 0
}
