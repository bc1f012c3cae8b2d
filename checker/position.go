package checker

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"cowslipbend.dev"
)

// documents holds the document of each object by its objectKey.
type documents map[string]document

// objectKey returns the key of the object with the index among those of its
// kind.
func objectKey(kind string, index int) string { return fmt.Sprintf("%s#%d", kind, index) }

// addPosition prepends file and line to the path of each fault of an object.
// Paths of objects without a document are unchanged.
func (d documents) addPosition(key string, err error) error {
	doc, ok := d[key]
	if !ok || err == nil {
		return err
	}
	var l cowslipbend.Errors
	l.Add(err)
	for _, e := range l {
		_, field, _ := strings.Cut(e.Path, ".")
		e.Path = doc.position(field) + ": " + e.Path
	}
	return l.Err()
}

// qualify returns "file:line: path".
func (doc document) qualify(path string) string { return doc.position(path) + ": " + path }

// position returns "file:line" of the field with the path.
func (doc document) position(path string) string {
	return fmt.Sprintf("%s:%d", doc.file, doc.lineOf(path))
}

// lineOf returns the number of the line that holds the field with a path such
// as "objective.p99". If only a prefix of the path is found, it returns the
// line of that, and otherwise the document's first line of content.
func (doc document) lineOf(path string) int {
	lines := strings.Split(string(doc.text), "\n")
	index, from := -1, 0
	for name := range strings.SplitSeq(path, ".") {
		i := findKey(lines, from, name)
		if i < 0 {
			break
		}
		index, from = i, i
	}
	if index < 0 {
		index = firstContentLine(lines)
	}
	return doc.line + index
}

// findKey returns the index of the first line, starting at from, that holds
// the key, or -1.
func findKey(lines []string, from int, name string) int {
	key := regexp.MustCompile(`(^|[\s{,"'])` + regexp.QuoteMeta(name) + `["']?\s*:`)
	for i := from; i < len(lines); i++ {
		if key.MatchString(lines[i]) {
			return i
		}
	}
	return -1
}

// sortByPosition sorts faults by file and line.
func sortByPosition(faults cowslipbend.Errors) {
	sort.SliceStable(faults, func(i, j int) bool {
		fileI, lineI := splitPosition(faults[i].Path)
		fileJ, lineJ := splitPosition(faults[j].Path)
		if fileI != fileJ {
			return fileI < fileJ
		}
		return lineI < lineJ
	})
}

// splitPosition returns the file and the line of a path that begins with
// "file:line".
func splitPosition(path string) (string, int) {
	position, _, _ := strings.Cut(path, ": ")
	i := strings.LastIndex(position, ":")
	if i < 0 {
		return position, 0
	}
	line, err := strconv.Atoi(position[i+1:])
	if err != nil {
		return position, 0
	}
	return position[:i], line
}

// firstContentLine returns the index of the first line that is neither empty
// nor a comment.
func firstContentLine(lines []string) int {
	for i, line := range lines {
		if text := strings.TrimSpace(line); text != "" && !strings.HasPrefix(text, "#") {
			return i
		}
	}
	return 0
}
