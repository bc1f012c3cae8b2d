package leaser

import "cowslipbend.dev"

// Witness is the state of one incarnation of an entry as a witness for one
// pool. While the store is unavailable, a pool's owner may extend leases only
// if every witness holds its epoch. The zero value has released no epoch. The
// state must last as long as the incarnation: a release that is forgotten would
// let a superseded owner extend leases.
type Witness struct {
	releasedThrough cowslipbend.Epoch
}

// Hold reports whether the witness has not released the epoch, and so lets its
// owner extend leases.
func (w *Witness) Hold(epoch cowslipbend.Epoch) bool { return epoch > w.releasedThrough }

// Release makes Hold return false from now on for all epochs up to and
// including this one.
func (w *Witness) Release(epoch cowslipbend.Epoch) { w.releasedThrough = max(w.releasedThrough, epoch) }
