package leaser

import "cowslipbend.dev"

// Terms are the durations that bound leases. All entries of a system must use
// the same terms.
type Terms struct {
	// Length (L) is the time from the start of the last store exchange or
	// witness round that confirmed the epoch to the end of the leases.
	Length cowslipbend.Span
	// Cap (H) is the longest time from the start of the last store exchange
	// that confirmed the epoch to the end of leases that witnesses extend.
	Cap cowslipbend.Span
	// Drift is the safety margin for clocks that run at different rates, in
	// percent.
	Drift int
}

// Defaults returns the default terms.
func Defaults() Terms {
	return Terms{Length: 6 * cowslipbend.Second, Cap: 4 * cowslipbend.Hour, Drift: 5}
}

const percent = 100

// Margin returns the span plus the drift margin.
func (t Terms) Margin(s cowslipbend.Span) cowslipbend.Span {
	return s + s*cowslipbend.Span(t.Drift)/percent
}

// PriorLeasesEnd returns when a successor may treat every lease of earlier
// epochs as lapsed. committedAt is when the commit of its own epoch returned,
// and witnessCount is the count of witnesses in the head that this commit
// replaced. releasedAt is when the first of these witnesses answered its
// release request, or zero while none has; if the successor itself is a witness
// and released before the commit, the commit's time counts.
func (t Terms) PriorLeasesEnd(committedAt cowslipbend.Time, witnessCount int, releasedAt cowslipbend.Time) cowslipbend.Time {
	switch {
	case witnessCount == 0:
		return committedAt.Add(t.Margin(t.Length))
	case releasedAt != 0:
		return max(committedAt, releasedAt).Add(t.Margin(t.Length))
	}
	return committedAt.Add(t.Margin(t.Cap))
}
