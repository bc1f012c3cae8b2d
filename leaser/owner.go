package leaser

import "cowslipbend.dev"

// OwnerState holds the confirmations that bound the leases an owner may grant.
// The zero value grants none.
type OwnerState struct {
	// confirmedAt is the start of the last store exchange that confirmed the
	// epoch, valid if confirmed is set.
	confirmedAt cowslipbend.Time
	confirmed   bool
	// witnessedAt is the start of the last round in which every witness held
	// the epoch, valid if witnessed is set.
	witnessedAt cowslipbend.Time
	witnessed   bool
	// ended is set once the epoch is over.
	ended bool
}

// Confirm records that the store confirmed the epoch in an exchange that
// started at the given time.
func (s *OwnerState) Confirm(startedAt cowslipbend.Time) {
	if !s.confirmed || startedAt > s.confirmedAt {
		s.confirmedAt, s.confirmed = startedAt, true
	}
}

// Extend records that every witness held the epoch in a round whose first
// request was sent at the given time.
func (s *OwnerState) Extend(startedAt cowslipbend.Time) {
	if !s.witnessed || startedAt > s.witnessedAt {
		s.witnessedAt, s.witnessed = startedAt, true
	}
}

// End records that the epoch is over; every later grant is zero.
func (s *OwnerState) End() { s.ended = true }

// LeaseEnd returns the latest moment at which a lease granted so far can end,
// and whether any lease can have been granted.
func (s *OwnerState) LeaseEnd(t Terms) (cowslipbend.Time, bool) {
	if !s.confirmed {
		return 0, false
	}
	end := s.confirmedAt.Add(t.Length)
	if s.witnessed {
		end = max(end, min(s.witnessedAt.Add(t.Length), s.confirmedAt.Add(t.Cap)))
	}
	return end, true
}

// Grant returns the length of the lease that a heartbeat reply may carry now.
// The agent counts it from the moment at which it sent the heartbeat, which is
// earlier.
func (s *OwnerState) Grant(t Terms, now cowslipbend.Time) cowslipbend.Span {
	end, ok := s.LeaseEnd(t)
	if s.ended || !ok {
		return 0
	}
	return max(end.Sub(now), 0)
}

// Extendable reports whether leases may be extended, given every list of
// witnesses that may be in force. No list may be empty: a successor that finds
// an empty list asks no witness to release the epoch.
func Extendable[T any](lists []T, isEmpty func(T) bool) bool {
	for _, list := range lists {
		if isEmpty(list) {
			return false
		}
	}
	return len(lists) > 0
}
