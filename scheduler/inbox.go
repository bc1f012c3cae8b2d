package scheduler

import (
	"maps"
	"slices"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
)

// heartbeatInbox receives heartbeats for the owner's loop. It replies at once,
// even while a round waits for the store, and keeps the newest heartbeat of
// each worker for the next round.
//
// No worker gets a lease while a round may mark it silent: beginRound bars
// every worker whose heartbeats have stopped and whose lease has ended, by the
// rule by which the engine marks workers silent, and only a round that
// processes the worker's next heartbeat lifts the bar. A heartbeat that names
// an attempt which is not in the journal gets no lease either, so that a
// suspended attempt which has been replaced never resumes; the engine orders it
// stopped.
type heartbeatInbox struct {
	// arrived signals that a heartbeat has come in.
	arrived chan struct{}

	mu               sync.Mutex
	pending          map[cowslipbend.WorkerID]*Heartbeat
	acks             map[cowslipbend.WorkerID][]Ref
	leaseEnds        map[cowslipbend.WorkerID]cowslipbend.Time
	processedAt      map[cowslipbend.WorkerID]cowslipbend.Time // when a round processed the last heartbeat
	heartbeatTimeout cowslipbend.Span
	// sentAt holds the send times, on the workers' clocks, of the last heartbeats
	// that rounds have processed.
	sentAt map[cowslipbend.WorkerID]cowslipbend.Time
	// journaled lists the attempts that the journal has on each worker.
	journaled map[cowslipbend.WorkerID]map[cowslipbend.TaskID]cowslipbend.Attempt
	mayLease  map[cowslipbend.WorkerID]bool
	// priorLeasesEnd is when every lease of earlier epochs has ended; no worker
	// is barred or marked silent before.
	priorLeasesEnd cowslipbend.Time
}

// newHeartbeatInbox returns an inbox that may grant leases to the workers that
// the journal does not have as silent.
func newHeartbeatInbox(e *Engine) *heartbeatInbox {
	d := &heartbeatInbox{
		arrived: make(chan struct{}, 1), pending: map[cowslipbend.WorkerID]*Heartbeat{}, acks: map[cowslipbend.WorkerID][]Ref{},
		leaseEnds: map[cowslipbend.WorkerID]cowslipbend.Time{}, processedAt: map[cowslipbend.WorkerID]cowslipbend.Time{},
		heartbeatTimeout: e.opts.HeartbeatTimeout, sentAt: map[cowslipbend.WorkerID]cowslipbend.Time{}, mayLease: map[cowslipbend.WorkerID]bool{}, priorLeasesEnd: e.priorLeasesEnd,
	}
	for id, w := range e.state.Workers {
		d.mayLease[id] = w.Condition != journaler.Silent
	}
	d.loadAttempts(e)
	return d
}

// loadAttempts copies the attempts of each worker from the engine's index.
func (d *heartbeatInbox) loadAttempts(e *Engine) {
	d.journaled = make(map[cowslipbend.WorkerID]map[cowslipbend.TaskID]cowslipbend.Attempt, len(e.index.tasksByWorker))
	for id, tasks := range e.index.tasksByWorker {
		attempts := make(map[cowslipbend.TaskID]cowslipbend.Attempt, len(tasks))
		for _, t := range tasks {
			attempts[t.ID] = t.Attempt
		}
		d.journaled[id] = attempts
	}
}

// grantable reports whether the heartbeat may be answered with a lease.
func (d *heartbeatInbox) grantable(b *Heartbeat) bool {
	if !d.mayLease[b.Worker.ID] {
		return false
	}
	attempts := d.journaled[b.Worker.ID]
	for _, r := range b.Running {
		if attempts[r.Task] != r.Attempt {
			return false
		}
	}
	return true
}

// heartbeatSentAt returns when the last processed heartbeat of a worker was
// sent, for orders to it.
func (d *heartbeatInbox) heartbeatSentAt(id cowslipbend.WorkerID) cowslipbend.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sentAt[id]
}

// receive stores a heartbeat and returns the lease and the acknowledgements
// for its reply.
func (d *heartbeatInbox) receive(b Heartbeat, l *leaser.Leaser, clock cowslipbend.Clock) (cowslipbend.Span, []Ref) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := b.Worker.ID
	var lease cowslipbend.Span
	if d.grantable(&b) {
		lease = l.Grant()
		d.leaseEnds[id] = max(d.leaseEnds[id], clock.Now().Add(l.Terms().Margin(lease)))
	}
	b.LeaseEnd = d.leaseEnds[id]
	d.pending[id] = &b
	select {
	case d.arrived <- struct{}{}:
	default:
	}
	acks := d.acks[id]
	delete(d.acks, id)
	return lease, acks
}

// beginRound returns the heartbeats for a round that begins now, in the order of
// their workers, and bars the workers that the round may mark silent from leases.
func (d *heartbeatInbox) beginRound(now cowslipbend.Time) []*Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	heartbeats := make([]*Heartbeat, 0, len(d.pending))
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		b := d.pending[id]
		heartbeats = append(heartbeats, b)
		d.processedAt[id], d.sentAt[id] = now, b.SentAt
	}
	for id := range d.mayLease {
		if now.Sub(d.processedAt[id]) > d.heartbeatTimeout && now > d.leaseEnds[id] && now > d.priorLeasesEnd {
			delete(d.mayLease, id)
		}
	}
	clear(d.pending)
	return heartbeats
}

// close publishes the effects of a committed round: the workers whose
// heartbeats it processed may get leases, and their reports are acknowledged.
func (d *heartbeatInbox) close(e *Engine, batch []event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadAttempts(e)
	for _, ev := range batch {
		if ev.heartbeat == nil {
			continue
		}
		id := ev.heartbeat.Worker.ID
		w, known := e.state.Workers[id]
		d.mayLease[id] = known && w.Condition != journaler.Silent
		var refs []Ref
		for _, r := range ev.heartbeat.Reports {
			refs = append(refs, Ref{r.Task, r.Attempt})
		}
		d.acks[id] = refs
	}
}

// limitPriorLeases records that all leases of earlier epochs have ended by the
// given time.
func (d *heartbeatInbox) limitPriorLeases(end cowslipbend.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.priorLeasesEnd = min(d.priorLeasesEnd, end)
}
