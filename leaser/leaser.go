package leaser

import (
	"sync"

	"cowslipbend.dev"
)

// Leaser is an OwnerState with its terms and a clock. It is safe for
// concurrent use.
type Leaser struct {
	terms Terms
	clock cowslipbend.Clock

	mu    sync.Mutex
	state OwnerState
}

// New returns a leaser that grants no lease until the epoch is confirmed.
func New(terms Terms, clock cowslipbend.Clock) *Leaser {
	return &Leaser{terms: terms, clock: clock}
}

// Terms returns the terms of the leases that it grants.
func (l *Leaser) Terms() Terms { return l.terms }

// Confirm records that the store confirmed the epoch in an exchange that
// started at the given time.
func (l *Leaser) Confirm(startedAt cowslipbend.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Confirm(startedAt)
}

// Extend records that every witness held the epoch in a round that started at
// the given time.
func (l *Leaser) Extend(startedAt cowslipbend.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Extend(startedAt)
}

// End records that the epoch is over; every later grant is zero.
func (l *Leaser) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.End()
}

// Grant returns the length of the lease that a heartbeat reply may carry now.
func (l *Leaser) Grant() cowslipbend.Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Grant(l.terms, l.clock.Now())
}

// Witnesses is the witness state of one incarnation of an entry for all pools.
// It is safe for concurrent use.
type Witnesses struct {
	mu    sync.Mutex
	pools map[cowslipbend.PoolID]*Witness
}

// NewWitnesses returns the witness state of a new incarnation, which has
// released no epoch.
func NewWitnesses() *Witnesses {
	return &Witnesses{pools: map[cowslipbend.PoolID]*Witness{}}
}

func (w *Witnesses) witness(id cowslipbend.PoolID) *Witness {
	if w.pools[id] == nil {
		w.pools[id] = &Witness{}
	}
	return w.pools[id]
}

// Hold reports whether this incarnation has not released the pool's epoch, and
// so lets its owner extend leases.
func (w *Witnesses) Hold(pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.witness(pool).Hold(epoch)
}

// Release makes Hold return false from now on for all epochs of the pool up to
// and including this one.
func (w *Witnesses) Release(pool cowslipbend.PoolID, epoch cowslipbend.Epoch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.witness(pool).Release(epoch)
}
