package measurer

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"cowslipbend.dev"
)

// group holds the lines that differ only in their seed.
type group struct {
	firm, caseName, variant string
	length                  cowslipbend.Span
	lines                   []Line
}

// variant names the policy of a line and the options that differ from their
// defaults.
func variant(l Line) string {
	parts := []string{l.Policy}
	if l.Routing != "" {
		parts = append(parts, "--routing "+l.Routing)
	}
	if l.Guard != "" {
		parts = append(parts, "--guard "+l.Guard)
	}
	if l.Only != "" {
		parts = append(parts, "--only "+l.Only)
	}
	if l.LeaseCap != 0 {
		parts = append(parts, "--cap "+l.LeaseCap.String())
	}
	return strings.Join(parts, " ")
}

func groupLines(lines []Line) []*group {
	byKey := map[string]*group{}
	var list []*group
	for _, l := range lines {
		key := fmt.Sprint(l.Firm, "|", l.Case, "|", variant(l), "|", l.LoadTime)
		g, ok := byKey[key]
		if !ok {
			g = &group{firm: l.Firm, caseName: l.Case, variant: variant(l), length: l.LoadTime}
			byKey[key] = g
			list = append(list, g)
		}
		g.lines = append(g.lines, l)
	}
	sort.SliceStable(list, func(a, b int) bool {
		if list[a].firm != list[b].firm {
			return list[a].firm > list[b].firm
		}
		return list[a].caseName < list[b].caseName
	})
	return list
}

// median returns the median over the seeds.
func (g *group) median(value func(Line) float64) float64 {
	values := make([]float64, len(g.lines))
	for i, l := range g.lines {
		values[i] = value(l)
	}
	sort.Float64s(values)
	if n := len(values); n%2 == 0 {
		return (values[n/2-1] + values[n/2]) / 2
	}
	return values[len(values)/2]
}

const percent = 100

// percentage returns n as a percentage of all, or 0 if all is 0.
func percentage(n, all int64) float64 {
	if all == 0 {
		return 0
	}
	return percent * float64(n) / float64(all)
}

// column is one figure in the tables.
type column struct {
	title, format string
	value         func(Line) float64
}

var columns = []column{
	{"p50 ms", "%.1f", func(l Line) float64 { return l.P50 }},
	{"p99 ms", "%.1f", func(l Line) float64 { return l.P99 }},
	{"p99.9 ms", "%.1f", func(l Line) float64 { return l.P999 }},
	{"late %", "%.2f", func(l Line) float64 { return percentage(l.Late, l.Calls) }},
	{"refused %", "%.2f", func(l Line) float64 { return percentage(l.Refused, l.Calls) }},
	{"unknown", "%.0f", func(l Line) float64 { return float64(l.Unknown) }},
	{"lost to one worker %", "%.2f", func(l Line) float64 { return percent * l.BadShare }},
	{"failed %", "%.2f", func(l Line) float64 { return percentage(l.Failed, l.Calls) }},
	{"cut", "%.0f", func(l Line) float64 { return float64(l.Cut) }},
	{"batch cpu-s/s", "%.1f", func(l Line) float64 { return l.CPUSeconds / l.Seconds }},
	{"evictions", "%.0f", func(l Line) float64 { return float64(l.Evictions) }},
	{"finished", "%.0f", func(l Line) float64 { return float64(l.Finished) }},
	{"urgent p99 ms", "%.0f", func(l Line) float64 { return l.UrgentP99 }},
	{"no start ms", "%.0f", func(l Line) float64 { return l.LongestStartGap }},
	{"spread p99 ms", "%.0f", func(l Line) float64 { return l.PublishP99 }},
	{"writes/s", "%.0f", func(l Line) float64 { return l.Writes }},
}

// Render writes the page and the plots of the lines kept in the directory.
func Render(dir string) error {
	lines, err := readLines(dir)
	if err != nil {
		return err
	}
	groups := groupLines(lines)
	var b bytes.Buffer
	b.WriteString(preface)
	lastFirm := ""
	for _, g := range groups {
		if g.firm != lastFirm {
			lastFirm = g.firm
			writeHeader(&b, g.firm)
		}
		writeRow(&b, g)
	}
	b.WriteString("\n")
	if note, err := os.ReadFile(filepath.Join(dir, notesFile)); err == nil {
		b.Write(note)
	}
	if err := os.WriteFile(filepath.Join(dir, pageFile), b.Bytes(), fileMode); err != nil {
		return writeFailed(err)
	}
	return writePlots(dir, groups)
}

// notesFile is appended to the page. It explains the figures.
const notesFile = "results-notes.md"

const preface = `# Results

Measured by ` + "`go run ./stand measure`" + ` on one machine: the whole system and its
stand-ins in one process, over real TCP on loopback, with no network delay
between failure domains. Each row is the median over its seeds. Calls are timed
from the moment at which they were due. *Broken* is the sum over all seeds of
the six counters (wrong, twice, falsenot, lost, double, over), which the
stand-ins count. *Cut* counts watchers whose stream broke, *no start* is the
longest time without the start of any task. The page is made from
results.jsonl; a row is played again by

    go run ./stand try --firm FIRM --case CASE --policy POLICY… --for LENGTH --seed N
`

func writeHeader(b *bytes.Buffer, firm string) {
	fmt.Fprintf(b, "\n## %s\n\n![p99 and batch](plots/%s.svg)\n\n| case | policy | length | seeds | broken |", firm, firm)
	for _, c := range columns {
		fmt.Fprintf(b, " %s |", c.title)
	}
	b.WriteString("\n|---|---|---|---|---|" + strings.Repeat("---:|", len(columns)) + "\n")
}

func writeRow(b *bytes.Buffer, g *group) {
	length := "its own"
	if g.length > 0 {
		length = g.length.String()
	}
	fmt.Fprintf(b, "| %s | %s | %s | %d | %s |", g.caseName, g.variant, length, len(g.lines), violations(g))
	for _, c := range columns {
		fmt.Fprintf(b, " "+c.format+" |", g.median(c.value))
	}
	b.WriteString("\n")
}

// violations lists the counters of broken invariants that are above zero,
// summed over the seeds.
func violations(g *group) string {
	sum := map[string]int{}
	for _, l := range g.lines {
		for name, n := range map[string]int{
			"wrong": l.Wrong, "twice": l.Twice, "falsenot": l.Falsenot, "lost": l.Lost, "double": l.Double, "over": l.Over,
		} {
			sum[name] += n
		}
	}
	var parts []string
	for name, n := range sum {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", name, n))
		}
	}
	if len(parts) == 0 {
		return "0"
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
