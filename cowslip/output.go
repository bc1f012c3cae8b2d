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

// table writes rows as aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(w io.Writer, header ...string) *table {
	t := &table{writer: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.writer, strings.Join(cells, "\t")) }

func (t *table) flush() error { return t.writer.Flush() }

// isTerminal reports whether the writer is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd())
}

// colour is the ANSI code of a foreground colour.
type colour string

const (
	red    colour = "31"
	green  colour = "32"
	yellow colour = "33"
)

// noColourVariable is the environment variable that disables colours, by a
// convention that many programs follow.
const noColourVariable = "NO_COLOR" //nolint:misspell // The convention has this name.

// colourise returns the text in a colour if the writer is a terminal and
// colours are not disabled.
func colourise(w io.Writer, c colour, text string) string {
	if !isTerminal(w) || os.Getenv(noColourVariable) != "" {
		return text
	}
	return "\x1b[" + string(c) + "m" + text + "\x1b[0m"
}

// formatBytes formats an amount of memory in the largest unit that divides it.
func formatBytes(n cowslipbend.Bytes) string {
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
