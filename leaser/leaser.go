package leaser

import (
	"sync"

	"cowslipbend.dev"
)

// Leaser is an owner's Account under a lock, with its terms and a clock.
type Leaser struct {
	terms Terms
	clock cowslipbend.Clock

	mu      sync.Mutex
	account Account
}

// New returns a leaser that may grant nothing yet.
func New(terms Terms, clock cowslipbend.Clock) *Leaser {
	return &Leaser{terms: terms, clock: clock}
}

// Terms returns the terms.
func (l *Leaser) Terms() Terms { return l.terms }

// Confirm notes that the store confirmed the epoch by an exchange that began
// then.
func (l *Leaser) Confirm(began cowslipbend.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Confirm(began)
}

// Extend notes that every witness held in a round that began then.
func (l *Leaser) Extend(sent cowslipbend.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Extend(sent)
}

// End makes every later grant zero; the epoch is over.
func (l *Leaser) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.End()
}

// Grant returns the lease that a heartbeat's reply may carry now.
func (l *Leaser) Grant() cowslipbend.Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account.Grant(l.terms, l.clock.Now())
}

// Witnesses is what one life of an entry holds and has released, for all
// pools. It is safe for concurrent use.
type Witnesses struct {
	mu    sync.Mutex
	pools map[cowslipbend.PoolID]*Witness
}

// NewWitnesses returns the witnesses of a life that begins.
func NewWitnesses() *Witnesses {
	return &Witnesses{pools: map[cowslipbend.PoolID]*Witness{}}
}

func (w *Witnesses) pool(id cowslipbend.PoolID) *Witness {
	if w.pools[id] == nil {
		w.pools[id] = &Witness{}
	}
	return w.pools[id]
}

// Hold reports whether this life backs the epoch of the pool.
func (w *Witnesses) Hold(pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pool(pool).Hold(epoch)
}

// Release ends the backing of all epochs of the pool up to this one for good.
func (w *Witnesses) Release(pool cowslipbend.PoolID, epoch cowslipbend.Epoch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pool(pool).Release(epoch)
}
