package scheduler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// Orders are the orders for one agent. They are sent after the records behind
// them are committed.
type Orders struct {
	// HeartbeatSentAt is when the worker's last processed heartbeat was sent, on
	// the worker's clock.
	HeartbeatSentAt cowslipbend.Time
	Starts          []cowslipbend.Start
	Evicts          []Ref
	Stops           []Ref
}

// Ref identifies an attempt.
type Ref struct {
	Task    cowslipbend.TaskID
	Attempt cowslipbend.Attempt
}

// Empty reports whether there are no orders.
func (o *Orders) Empty() bool { return len(o.Starts)+len(o.Evicts)+len(o.Stops) == 0 }

// Orders returns the orders that are due for each worker. An order is repeated
// until a heartbeat shows its effect.
func (e *Engine) Orders(now cowslipbend.Time, epoch cowslipbend.Epoch) map[cowslipbend.WorkerID]*Orders {
	byWorker := map[cowslipbend.WorkerID]*Orders{}
	ordersFor := func(id cowslipbend.WorkerID) *Orders {
		if byWorker[id] == nil {
			byWorker[id] = &Orders{}
		}
		return byWorker[id]
	}
	for _, t := range e.index.pending {
		s := e.contacts[t.Worker]
		if s == nil || !s.claimSend(Ref{t.ID, t.Attempt}, now, e.opts.ResendInterval) {
			continue
		}
		o := ordersFor(t.Worker)
		if t.Cancelling() {
			o.Stops = append(o.Stops, Ref{t.ID, t.Attempt})
			continue
		}
		o.Starts = append(o.Starts, e.startOrder(t, epoch))
	}
	for _, order := range e.evictor.orders {
		if s := e.contacts[order.worker]; s != nil && s.claimSend(Ref{order.task, order.attempt}, now, e.opts.ResendInterval) {
			ordersFor(order.worker).Evicts = append(ordersFor(order.worker).Evicts, Ref{order.task, order.attempt})
		}
	}
	e.stopOrphans(now, ordersFor)
	for _, o := range byWorker {
		o.sort()
	}
	return byWorker
}

// sort orders the lists by task, as they are gathered from maps.
func (o *Orders) sort() {
	sort.Slice(o.Starts, func(i, j int) bool { return o.Starts[i].Task < o.Starts[j].Task })
	for _, list := range [][]Ref{o.Evicts, o.Stops} {
		sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	}
}

// claimSend reports whether an order about the attempt is due, and if so
// records it as sent now.
func (s *workerContact) claimSend(r Ref, now cowslipbend.Time, resendInterval cowslipbend.Span) bool {
	if last, ok := s.orderedAt[r]; ok && now.Sub(last) < resendInterval {
		return false
	}
	s.orderedAt[r] = now
	return true
}

// stopOrphans orders the stop of attempts that run on a worker but are not in
// the journal.
func (e *Engine) stopOrphans(now cowslipbend.Time, ordersFor func(cowslipbend.WorkerID) *Orders) {
	for worker, s := range e.contacts {
		if len(s.orphans) == 0 {
			continue
		}
		for _, r := range s.orphans {
			if t, known := e.state.Tasks[r.Task]; known && t.Worker == worker && t.Attempt == r.Attempt {
				continue
			}
			if s.claimSend(r, now, e.opts.ResendInterval) {
				ordersFor(worker).Stops = append(ordersFor(worker).Stops, r)
			}
		}
	}
}

func (e *Engine) startOrder(t *journaler.Task, epoch cowslipbend.Epoch) cowslipbend.Start {
	job := e.state.Jobs[t.Job]
	return cowslipbend.Start{
		Task: t.ID, Attempt: t.Attempt, Epoch: epoch, Class: job.Class, Team: job.Team, Size: t.Size,
		Service: job.Service, Work: job.Work, From: t.Checkpoint,
	}
}
