package elector

import (
	"cmp"
	"context"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

// Strength is the capacity of an entry's host as an owner, in millicores.
type Strength int64

// Parameters of strength.
const (
	// linkPerMillicore is the bandwidth that an owner needs per millicore: it
	// takes about 6 millicores and 8 Mbit/s to own 70 hosts and 60 flows a second.
	linkPerMillicore = cowslipbend.Mbit
	// minStrengthRatio is how many times as strong as the owner an entry must be
	// to replace it; a change of owner costs a fraction of a second.
	minStrengthRatio = 2
	// minTenure is how long an owner keeps the flows before it yields, so that
	// ownership does not move repeatedly while entries start together.
	minTenure = 3 * cowslipbend.Second
)

// StrengthOf returns the strength of a host, which the scarcer of its CPU and
// its link limits.
func StrengthOf(cpu cowslipbend.Millicores, link cowslipbend.BitRate) Strength {
	return Strength(min(int64(cpu), int64(link/linkPerMillicore)))
}

// supersedes reports whether an owner of the given strength yields to an entry
// of strength s.
func (s Strength) supersedes(owner Strength) bool {
	return s > owner && s >= minStrengthRatio*owner
}

// rank returns how many entries try to replace the owner before this one does:
// the stronger ones, and those as strong with a lower id. The caller holds the
// lock.
func (e *Elector) rank(owner conductor.Head) int {
	others := make([]Member, 0, len(e.members))
	for _, m := range e.members {
		if m.URL != owner.URL || m.ID == e.self.ID {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.ID, b.ID))
	})
	return max(slices.IndexFunc(others, func(m Member) bool { return m.ID == e.self.ID }), 0)
}

// supersedesOwner reports whether this entry is strong enough for the owner at
// the URL to yield to it. The caller holds the lock.
func (e *Elector) supersedesOwner(owner string) bool {
	for _, m := range e.members {
		if m.URL == owner {
			return e.self.Strength.supersedes(m.Strength)
		}
	}
	return false
}

// updateYielding sets whether this entry, as the owner, yields: it does while
// the strongest entry supersedes it, answers and reaches the store. It remains
// the owner until that entry has taken over.
func (e *Elector) updateYielding(ctx context.Context) {
	e.mu.Lock()
	strongest := e.self
	for _, m := range e.members {
		if m.Strength > strongest.Strength {
			strongest = m
		}
	}
	tooEarly := e.conductor == nil || e.clock.Now().Sub(e.tookOverAt) < minTenure
	e.mu.Unlock()
	if tooEarly || !strongest.Strength.supersedes(e.self.Strength) {
		e.setYielding(false)
		return
	}
	var h Health
	err := e.caller.Call(ctx, strongest.URL+PathHealth, struct{}{}, &h, pollTimeout)
	e.setYielding(err == nil && h.Life == strongest.Life && !h.Leaving && h.StoreContactAge <= storeTimeout)
}

func (e *Elector) setYielding(yielding bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if yielding != e.yielding {
		e.log.Info("owner started or stopped yielding to a stronger entry", "yields", yielding)
	}
	e.yielding = yielding
}
