package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/mattn/go-isatty"

	"cowslipbend.dev"
)

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes rows in columns.
type table struct{ tab *tabwriter.Writer }

func newTable(w io.Writer, head ...string) *table {
	t := &table{tab: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.tab, strings.Join(cells, "\t")) }

func (t *table) flush() error { return t.tab.Flush() }

// terminal reports whether the writer is a terminal.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd())
}

// colour is the code of a colour of a terminal.
type colour string

// The colours that are used.
const (
	red    colour = "31"
	green  colour = "32"
	yellow colour = "33"
)

// plain is the variable by which users of any program refuse colours.
const plain = "NO_COLOR" //nolint:misspell // Its name is agreed among programs.

// paint returns the text in a colour if the writer is a terminal and colours
// are not refused.
func paint(w io.Writer, c colour, text string) string {
	if !terminal(w) || os.Getenv(plain) != "" {
		return text
	}
	return "\x1b[" + string(c) + "m" + text + "\x1b[0m"
}

// bytesText returns an amount of memory with the largest unit that divides
// it.
func bytesText(n cowslipbend.Bytes) string {
	switch {
	case n == 0:
		return "0"
	case n%cowslipbend.GB == 0:
		return fmt.Sprintf("%dG", n/cowslipbend.GB)
	case n%cowslipbend.MB == 0:
		return fmt.Sprintf("%dM", n/cowslipbend.MB)
	case n%cowslipbend.KB == 0:
		return fmt.Sprintf("%dK", n/cowslipbend.KB)
	}
	return fmt.Sprint(int64(n))
}
