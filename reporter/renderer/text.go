package renderer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cowslipbend.dev"
	"cowslipbend.dev/reporter"
)

// percent converts a fraction into a percentage.
const percent = 100

// Text writes a report as tables.
func Text(w io.Writer, r reporter.Report) error {
	if r.PartialReason != "" {
		if _, err := fmt.Fprintf(w, "partial report, %s\n\n", r.PartialReason); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(t, "SERVICE", "OBJECTIVE", "WINDOW", "REQUESTS", "LATE", "REFUSED", "FAILED", "UNKNOWN", "LIMITED", "BURN", "LEFT")
	for _, s := range r.Services {
		name, objective, left := string(s.Name), Objective(s.Objective), BudgetLeft(s)
		for _, window := range s.Windows {
			writeRow(t, name, objective, Span(window.Span), window.Total(), window.Late, window.Refused, window.Failed, window.Unknown, window.Limited, BurnRate(window), left)
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

func writeRow(w io.Writer, cells ...any) {
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
			severity := "ticket"
			if a.Page {
				severity = "page"
			}
			lines = append(lines, fmt.Sprintf("%s: %s %s", severity, s.Name, a.Reason))
		}
	}
	return lines
}

// Objective formats an objective as "99.9% in 40ms".
func Objective(o cowslipbend.Objective) string {
	return fmt.Sprintf("%g%% in %s", o.Good*percent, o.P99)
}

// BudgetLeft formats the unspent fraction of the error budget.
func BudgetLeft(s reporter.Service) string { return fmt.Sprintf("%.1f%%", s.BudgetLeft*percent) }

// BurnRate formats the burn rate of a window, or a dash if it has no requests.
func BurnRate(w reporter.Window) string {
	if w.Total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.BurnRate)
}

// Span formats a span in its largest whole unit.
func Span(s cowslipbend.Span) string {
	switch {
	case s%cowslipbend.Day == 0:
		return fmt.Sprintf("%dd", s/cowslipbend.Day)
	case s%cowslipbend.Hour == 0:
		return fmt.Sprintf("%dh", s/cowslipbend.Hour)
	}
	return fmt.Sprintf("%dm", s/cowslipbend.Minute)
}
