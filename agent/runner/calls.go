package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/forwarder"
	"cowslipbend.dev/internal/control"
)

// service implements control.Agent.
type service struct{ agent *Agent }

// Void returns the state of a request. A request without a record is voided.
func (s *service) Void(ctx context.Context, r *control.VoidRequest) (*control.VoidReply, error) {
	reply, err := forwarder.Void(ctx, s.agent.gate, s.agent.clock, r)
	return reply, control.ToTwirp(err)
}

// Order starts, evicts and stops tasks.
func (s *service) Order(ctx context.Context, r *control.OrderRequest) (*control.OrderReply, error) {
	a := s.agent
	if cowslipbend.Incarnation(r.GetLife()) != a.incarnation {
		return nil, control.ToTwirp(cowslipbend.Fail(cowslipbend.KindStale, "order is for an earlier incarnation of this agent", "wait for its heartbeat"))
	}
	epoch := cowslipbend.Epoch(r.GetEpoch())
	if err := a.tasks.AcceptOrder(epoch, cowslipbend.Time(r.GetToken())); err != nil {
		return nil, control.ToTwirp(err)
	}
	reply := &control.OrderReply{}
	for _, t := range r.GetStarts() {
		err := s.start(ctx, t, epoch, cowslipbend.Time(r.GetToken()))
		if cowslipbend.KindOf(err) == cowslipbend.KindLate {
			a.log.Debug("start of task deferred until the batch lease is renewed", "task", t.GetTask(), "attempt", t.GetAttempt())
			continue // Not refused: the owner repeats the order.
		}
		if err != nil {
			reply.Refused = append(reply.Refused, &control.Refusal{Task: t.GetTask(), Attempt: t.GetAttempt(), Reason: err.Error()})
		}
	}
	for _, e := range r.GetEvicts() {
		if err := a.tasks.Evict(ctx, cowslipbend.TaskID(e.GetTask()), cowslipbend.Attempt(e.GetAttempt())); err != nil {
			a.log.Info("eviction of task failed", "task", e.GetTask(), "error", err)
		}
	}
	for _, e := range r.GetStops() {
		if err := a.tasks.Stop(ctx, cowslipbend.TaskID(e.GetTask()), cowslipbend.Attempt(e.GetAttempt())); err != nil {
			a.log.Info("stop of task failed", "task", e.GetTask(), "error", err)
		}
	}
	return reply, nil
}

func (s *service) start(ctx context.Context, t *control.Task, epoch cowslipbend.Epoch, token cowslipbend.Time) error {
	if err := t.Check(); err != nil {
		return err
	}
	return s.agent.tasks.Start(ctx, t.Start(epoch), token)
}
