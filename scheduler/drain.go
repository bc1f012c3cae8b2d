package scheduler

import "cowslipbend.dev"

// Drain returns the record by which a worker is emptied and takes no new
// tasks, or KindMissing. It returns no record if the worker is drained already.
func (e *Engine) Drain(id cowslipbend.WorkerID, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	return e.setDrained(id, true, wall)
}

// Undrain returns the record that returns a drained worker to service, or
// KindMissing.
func (e *Engine) Undrain(id cowslipbend.WorkerID, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	return e.setDrained(id, false, wall)
}

func (e *Engine) setDrained(id cowslipbend.WorkerID, drained bool, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	w, known := e.state.Workers[id]
	if !known {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no worker "+string(id)+" in the pool", "look at cowslip status")
	}
	if w.Drained == drained {
		return nil, nil
	}
	kind := cowslipbend.RecUndrained
	if drained {
		kind = cowslipbend.RecDrained
	}
	return []cowslipbend.Record{{Kind: kind, WorkerID: id, At: wall}}, nil
}
