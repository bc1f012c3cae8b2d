package intaker

import (
	"sync"

	"cowslipbend.dev"
)

const (
	// rememberFor is how long the outcome of a submission is remembered. Callers repeat
	// one within seconds; a flow is removed minutes after its end at the earliest.
	rememberFor = cowslipbend.Minute
	// maxRemembered bounds the outcomes. At 60 submissions a second it is reached after
	// rememberFor.
	maxRemembered = 4096
)

// attempts remembers submissions that are stored or may be, so that one that is
// repeated costs no more than the first, and is not refused if it may be stored. It is
// safe for concurrent use.
type attempts struct {
	mu   sync.Mutex
	byID map[cowslipbend.JobID]attempt
}

type attempt struct {
	stored bool
	at     cowslipbend.Time
}

// record remembers the result of storing a flow. A refusal is not remembered.
func (a *attempts) record(id cowslipbend.JobID, err error, now cowslipbend.Time) {
	if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindUnknown {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = map[cowslipbend.JobID]attempt{}
	}
	if len(a.byID) >= maxRemembered {
		a.makeRoom(now)
	}
	a.byID[id] = attempt{stored: err == nil || a.byID[id].stored, at: now}
}

// remember makes an attempt to store a flow and remembers its result. It makes none if
// the flow is known to be stored. A flow that another attempt has or may have stored, or
// may still store, is not refused.
func (i *Intaker) remember(id cowslipbend.JobID, try func(mayBeStored bool) error) (err error) {
	inProgress := i.shed.begin(id)
	stored, known := i.attempts.find(id, i.clock.Now())
	// The outcome after a panic.
	err = cowslipbend.Fail(cowslipbend.KindUnknown, "submission ended without an outcome", "submit it again with the same id")
	defer func() {
		if known {
			err = notRefused(err)
		}
		now := i.clock.Now()
		// Recorded first: a concurrent submission finds this one in progress or its outcome.
		// What is known already is not recorded again, as it must be looked up after
		// rememberFor.
		if !stored {
			i.attempts.record(id, err, now)
		}
		inProgress := i.shed.end(id, err, now)
		if _, found := i.attempts.find(id, now); found || inProgress {
			err = notRefused(err)
		}
	}()
	if stored {
		return nil
	}
	return try(known || inProgress)
}

// notRefused returns the error of a submission of a flow that another attempt may have
// stored or may still store.
func notRefused(err error) error {
	if err == nil || cowslipbend.KindOf(err) == cowslipbend.KindUnknown {
		return err
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, err, "submit it again with the same id", "another attempt may have stored the flow")
}

// makeRoom drops the outcomes that are too old, and at least one. The caller holds the
// lock.
func (a *attempts) makeRoom(now cowslipbend.Time) {
	for id, known := range a.byID {
		if now.Sub(known.at) > rememberFor || len(a.byID) >= maxRemembered {
			delete(a.byID, id)
		}
	}
}

// find returns whether the flow is stored, and whether it may be.
func (a *attempts) find(id cowslipbend.JobID, now cowslipbend.Time) (stored, mayBeStored bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, ok := a.byID[id]
	if !ok || now.Sub(known.at) > rememberFor {
		return false, false
	}
	return known.stored, true
}
