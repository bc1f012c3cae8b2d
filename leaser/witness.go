package leaser

import "cowslipbend.dev"

// Witness is one life of an entry as it backs the owner of one pool. The zero
// value has released nothing. It must be forgotten only with that life.
type Witness struct {
	released cowslipbend.Epoch
}

// Hold reports whether the witness backs the epoch.
func (w *Witness) Hold(epoch cowslipbend.Epoch) bool { return epoch > w.released }

// Release ends the backing of all epochs up to this one for good.
func (w *Witness) Release(epoch cowslipbend.Epoch) { w.released = max(w.released, epoch) }
