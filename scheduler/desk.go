package scheduler

import (
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
)

// desk is where heartbeats meet the owner's loop. It answers them at once,
// also while a round waits for the store, and keeps the newest of each worker
// for the next round.
//
// No worker gets a lease while a round may count it as lost: open bars every
// worker that is silent and whose lease has lapsed, by the same rule by which
// the engine counts it as lost, and only a round that takes its next heartbeat
// lets it in again. A heartbeat that names an attempt which is not of the
// journal gets no lease, so that a frozen attempt which has been replaced
// never thaws; it is stopped by an order.
type desk struct {
	// mailed receives after a heartbeat has come in.
	mailed chan struct{}

	mu      sync.Mutex
	mail    map[cowslipbend.WorkerID]*Beat
	acks    map[cowslipbend.WorkerID][]Ref
	lapses  map[cowslipbend.WorkerID]cowslipbend.Time
	taken   map[cowslipbend.WorkerID]cowslipbend.Time // when a round took the last heartbeat
	suspect cowslipbend.Span
	// tokens are the moments of the workers' clocks at which the heartbeats
	// that rounds have taken were sent.
	tokens map[cowslipbend.WorkerID]cowslipbend.Time
	// vouched are the attempts that the journal has on each worker.
	vouched map[cowslipbend.WorkerID]map[cowslipbend.TaskID]cowslipbend.Attempt
	allowed map[cowslipbend.WorkerID]bool
	// safe is when every lease of earlier epochs has lapsed; no worker of the
	// journal is lost before.
	safe cowslipbend.Time
}

// newDesk returns a desk that lets in the workers which the journal has.
func newDesk(e *Engine) *desk {
	d := &desk{
		mailed: make(chan struct{}, 1), mail: map[cowslipbend.WorkerID]*Beat{}, acks: map[cowslipbend.WorkerID][]Ref{},
		lapses: map[cowslipbend.WorkerID]cowslipbend.Time{}, taken: map[cowslipbend.WorkerID]cowslipbend.Time{},
		suspect: e.opts.Suspect, tokens: map[cowslipbend.WorkerID]cowslipbend.Time{}, allowed: map[cowslipbend.WorkerID]bool{}, safe: e.safe,
	}
	for id, w := range e.state.Workers {
		d.allowed[id] = w.Condition != journaler.Silent
	}
	d.vouch(e)
	return d
}

// vouch notes the attempts of the journal.
func (d *desk) vouch(e *Engine) {
	d.vouched = make(map[cowslipbend.WorkerID]map[cowslipbend.TaskID]cowslipbend.Attempt, len(e.index.on))
	for id, tasks := range e.index.on {
		attempts := make(map[cowslipbend.TaskID]cowslipbend.Attempt, len(tasks))
		for _, t := range tasks {
			attempts[t.ID] = t.Attempt
		}
		d.vouched[id] = attempts
	}
}

// leasable reports whether a heartbeat may get a lease.
func (d *desk) leasable(b *Beat) bool {
	if !d.allowed[b.Worker.ID] {
		return false
	}
	attempts := d.vouched[b.Worker.ID]
	for _, r := range b.Running {
		if attempts[r.Task] != r.Attempt {
			return false
		}
	}
	return true
}

// token returns what the orders for a worker carry.
func (d *desk) token(id cowslipbend.WorkerID) cowslipbend.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tokens[id]
}

// beat takes a heartbeat and returns what its reply carries.
func (d *desk) beat(b Beat, l *leaser.Leaser, clock cowslipbend.Clock) (cowslipbend.Span, []Ref) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := b.Worker.ID
	var lease cowslipbend.Span
	if d.leasable(&b) {
		lease = l.Grant()
		d.lapses[id] = max(d.lapses[id], clock.Now().Add(l.Terms().Margin(lease)))
	}
	b.Lapse = d.lapses[id]
	d.mail[id] = &b
	select {
	case d.mailed <- struct{}{}:
	default:
	}
	acks := d.acks[id]
	delete(d.acks, id)
	return lease, acks
}

// open returns the heartbeats for a round that begins now.
func (d *desk) open(now cowslipbend.Time) []*Beat {
	d.mu.Lock()
	defer d.mu.Unlock()
	beats := make([]*Beat, 0, len(d.mail))
	for id, b := range d.mail {
		beats = append(beats, b)
		d.taken[id], d.tokens[id] = now, b.Sent
	}
	for id := range d.allowed {
		if now.Sub(d.taken[id]) > d.suspect && now > d.lapses[id] && now > d.safe {
			delete(d.allowed, id)
		}
	}
	clear(d.mail)
	return beats
}

// close notes the effects of a committed round: the workers whose heartbeats
// it took may get leases, and their reports are acknowledged.
func (d *desk) close(e *Engine, batch []event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vouch(e)
	for _, ev := range batch {
		if ev.beat == nil {
			continue
		}
		id := ev.beat.Worker.ID
		w, known := e.state.Workers[id]
		d.allowed[id] = known && w.Condition != journaler.Silent
		var refs []Ref
		for _, r := range ev.beat.Reports {
			refs = append(refs, Ref{r.Task, r.Attempt})
		}
		d.acks[id] = refs
	}
}

// settle notes when every lease of earlier epochs has lapsed.
func (d *desk) settle(safe cowslipbend.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.safe = min(d.safe, safe)
}
