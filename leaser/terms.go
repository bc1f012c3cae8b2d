package leaser

import "cowslipbend.dev"

// Terms are the terms of leases. All entries of a system use the same.
type Terms struct {
	// Length is L: leases end this long after the owner's last confirmed read.
	Length cowslipbend.Span
	// Cap is H: leases extended by witnesses end this long after it.
	Cap cowslipbend.Span
	// Drift is the margin for clocks that run at different rates, in percent.
	Drift int
}

// Defaults returns usual terms.
func Defaults() Terms {
	return Terms{Length: 6 * cowslipbend.Second, Cap: 4 * cowslipbend.Hour, Drift: 5}
}

// percent is the whole in percent.
const percent = 100

// Margin returns the span plus the drift margin.
func (t Terms) Margin(s cowslipbend.Span) cowslipbend.Span {
	return s + s*cowslipbend.Span(t.Drift)/percent
}

// Lapse returns when a successor may count every lease of earlier epochs as
// lapsed. Committed is the return of its epoch commit, listed the count of
// witnesses in the head that it replaced. Released is the return of the first
// release by one of them, or zero while none has released; a release of its
// own that precedes the commit counts from the commit.
func (t Terms) Lapse(committed cowslipbend.Time, listed int, released cowslipbend.Time) cowslipbend.Time {
	switch {
	case listed == 0:
		return committed.Add(t.Margin(t.Length))
	case released != 0:
		return max(committed, released).Add(t.Margin(t.Length))
	}
	return committed.Add(t.Margin(t.Cap))
}
