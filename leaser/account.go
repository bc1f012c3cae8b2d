package leaser

import "cowslipbend.dev"

// Account is what an owner may grant. The zero value may grant nothing.
type Account struct {
	// confirmed is the start of the last read that confirmed the epoch, valid
	// if known.
	confirmed cowslipbend.Time
	known     bool
	// held is the start of the last round in which all witnesses held, valid
	// if backed.
	held   cowslipbend.Time
	backed bool
	over   bool
}

// Confirm notes that the store confirmed the epoch by an exchange that began
// then.
func (a *Account) Confirm(began cowslipbend.Time) {
	if !a.known || began > a.confirmed {
		a.confirmed, a.known = began, true
	}
}

// Extend notes that every witness held in a round whose first question was
// sent then.
func (a *Account) Extend(sent cowslipbend.Time) {
	if !a.backed || sent > a.held {
		a.held, a.backed = sent, true
	}
}

// End makes every later grant zero; the epoch is over.
func (a *Account) End() { a.over = true }

// Until returns the moment at which all leases granted so far end at the
// latest, and whether there is one.
func (a *Account) Until(t Terms) (cowslipbend.Time, bool) {
	if !a.known {
		return 0, false
	}
	until := a.confirmed.Add(t.Length)
	if a.backed {
		until = max(until, min(a.held.Add(t.Length), a.confirmed.Add(t.Cap)))
	}
	return until, true
}

// Grant returns the lease that a reply may carry now. The agent counts it
// from the moment it sent its heartbeat, which was earlier.
func (a *Account) Grant(t Terms, now cowslipbend.Time) cowslipbend.Span {
	until, ok := a.Until(t)
	if a.over || !ok {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Extendable reports whether leases may be extended under the lists of
// witnesses that may be in force: none of them may be empty, as a successor
// that finds an empty list asks nobody.
func Extendable[T any](lists []T, empty func(T) bool) bool {
	for _, l := range lists {
		if empty(l) {
			return false
		}
	}
	return len(lists) > 0
}
