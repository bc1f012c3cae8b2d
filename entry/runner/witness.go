package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/journaler"
)

// witnessTimeout bounds one call to a witness.
const witnessTimeout = cowslipbend.Second

// Witnesses returns the other live entries with their incarnations.
func (e *Entry) Witnesses() []journaler.EntryRef {
	var list []journaler.EntryRef
	for _, p := range e.tracker.Live(peerTimeout) {
		list = append(list, journaler.EntryRef{ID: p.ID, URL: p.URL, Life: p.Life})
	}
	return list
}

// Hold asks a witness to hold the epoch of a pool and reports whether it does.
func (e *Entry) Hold(ctx context.Context, w journaler.EntryRef, pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout.Duration())
	defer cancel()
	reply, err := control.NewEntryProtobufClient(w.URL, e.http).Hold(ctx, &control.HoldRequest{
		Pool: string(pool), Epoch: int64(epoch), Life: string(w.Life),
	})
	return err == nil && reply.GetHeld()
}

// Release asks a witness, which may be this entry, never to hold epochs of the
// pool up to this one again, and reports whether it has agreed.
func (e *Entry) Release(ctx context.Context, w journaler.EntryRef, pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool {
	if w.Life == e.life {
		e.witnesses.Release(pool, epoch)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout.Duration())
	defer cancel()
	reply, err := control.NewEntryProtobufClient(w.URL, e.http).Release(ctx, &control.ReleaseRequest{
		Pool: string(pool), Epoch: int64(epoch), Life: string(w.Life),
	})
	return err == nil && reply.GetReleased()
}
