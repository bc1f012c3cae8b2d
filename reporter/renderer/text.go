package renderer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cowslipbend.dev"
	"cowslipbend.dev/reporter"
)

// percent turns a share into a percentage.
const percent = 100

// Text writes a report as tables.
func Text(w io.Writer, r reporter.Report) error {
	if r.Partial != "" {
		if _, err := fmt.Fprintf(w, "partial report, %s\n\n", r.Partial); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row(t, "SERVICE", "OBJECTIVE", "WINDOW", "REQUESTS", "LATE", "REFUSED", "FAILED", "UNKNOWN", "LIMITED", "BURN", "LEFT")
	for _, s := range r.Services {
		name, objective, left := string(s.Name), Objective(s.Objective), Left(s)
		for _, n := range s.Windows {
			row(t, name, objective, Span(n.Span), n.Total(), n.Late, n.Refused, n.Failed, n.Unknown, n.Limited, Burn(n), left)
			name, objective, left = "", "", ""
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, line := range Alerts(r) {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// Alerts returns one line for each alert of a report.
func Alerts(r reporter.Report) []string {
	var lines []string
	for _, s := range r.Services {
		for _, a := range s.Alerts {
			word := "ticket"
			if a.Page {
				word = "page"
			}
			lines = append(lines, fmt.Sprintf("%s: %s %s", word, s.Name, a.Reason))
		}
	}
	return lines
}

// Objective returns an objective in short.
func Objective(o cowslipbend.Objective) string {
	return fmt.Sprintf("%g%% in %s", o.Good*percent, o.P99)
}

// Left returns the share of the budget that is left.
func Left(s reporter.Service) string { return fmt.Sprintf("%.1f%%", s.Left*percent) }

// Burn returns the burn of a window, or a dash if it had no requests.
func Burn(w reporter.Window) string {
	if w.Total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.Burn)
}

// Span returns a span without the parts that are zero.
func Span(s cowslipbend.Span) string {
	switch {
	case s%cowslipbend.Day == 0:
		return fmt.Sprintf("%dd", s/cowslipbend.Day)
	case s%cowslipbend.Hour == 0:
		return fmt.Sprintf("%dh", s/cowslipbend.Hour)
	}
	return fmt.Sprintf("%dm", s/cowslipbend.Minute)
}
