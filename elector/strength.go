package elector

import (
	"cmp"
	"context"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

// Strength tells how much an entry's host can carry, in millicores.
type Strength int64

// Terms of strength.
const (
	// linkOfCore is the link that an owner needs for a millicore: it takes
	// about 6 millicores and 8 Mbit/s to own 70 hosts and 60 flows a second.
	linkOfCore = cowslipbend.Mbit
	// stronger is by how much another entry must be stronger for an owner to
	// yield to it; a change of owner costs a fraction of a second.
	stronger = 2
	// settled is how long an owner conducts before it yields, so that entries
	// that start together do not change places again and again.
	settled = 3 * cowslipbend.Second
)

// StrengthOf returns what a host with such processors and link can carry: as
// much as the scarcer of them.
func StrengthOf(cpu cowslipbend.Millicores, link cowslipbend.BitRate) Strength {
	return Strength(min(int64(cpu), int64(link/linkOfCore)))
}

// outdoes reports whether an owner of one strength yields to an entry of
// another.
func (s Strength) outdoes(owner Strength) bool {
	return s > owner && s >= stronger*owner
}

// place returns how many entries come before this one when the owner has to
// be replaced: the stronger ones, and of equals those with a lower id.
func (e *Elector) place(owner conductor.Head) int {
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

// mayOutdo reports whether this entry is one to which the owner yields.
func (e *Elector) mayOutdo(owner string) bool {
	for _, m := range e.members {
		if m.URL == owner {
			return e.self.Strength.outdoes(m.Strength)
		}
	}
	return false
}

// yield notes whether this owner yields: a stronger entry answers and reaches
// the store. The owner conducts on until that one has taken over.
func (e *Elector) yield(ctx context.Context) {
	e.mu.Lock()
	best := e.self
	for _, m := range e.members {
		if m.Strength > best.Strength {
			best = m
		}
	}
	early := e.current == nil || e.clock.Now().Sub(e.since) < settled
	e.mu.Unlock()
	if early || !best.Strength.outdoes(e.self.Strength) {
		e.setYields(false)
		return
	}
	var h Health
	err := e.caller.Call(ctx, best.URL+PathHealth, struct{}{}, &h, lookTime)
	e.setYields(err == nil && h.Life == best.Life && !h.Leaving && h.Store <= cutOff)
}

func (e *Elector) setYields(yields bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if yields != e.yields {
		e.log.Info("owner yields to a stronger entry", "yields", yields)
	}
	e.yields = yields
}
