package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/forwarder"
	"cowslipbend.dev/internal/control"
)

// calls serves control.Agent.
type calls struct{ agent *Agent }

// Void settles what became of a request.
func (c *calls) Void(ctx context.Context, r *control.VoidRequest) (*control.VoidReply, error) {
	reply, err := forwarder.Void(ctx, c.agent.gate, c.agent.clock, r)
	return reply, control.ToTwirp(err)
}

// Order starts, evicts and stops tasks.
func (c *calls) Order(ctx context.Context, r *control.OrderRequest) (*control.OrderReply, error) {
	a := c.agent
	if cowslipbend.Incarnation(r.GetLife()) != a.life {
		return nil, control.ToTwirp(cowslipbend.Fail(cowslipbend.KindStale, "order is for an earlier life of this agent", "wait for its heartbeat"))
	}
	epoch := cowslipbend.Epoch(r.GetEpoch())
	if err := a.tasks.AcceptOrder(epoch, cowslipbend.Time(r.GetToken())); err != nil {
		return nil, control.ToTwirp(err)
	}
	reply := &control.OrderReply{}
	for _, t := range r.GetStarts() {
		err := c.start(ctx, t, epoch, cowslipbend.Time(r.GetToken()))
		if cowslipbend.KindOf(err) == cowslipbend.KindLate {
			a.log.Debug("start waits for a lease", "task", t.GetTask(), "attempt", t.GetAttempt())
			continue // This is no final refusal, and the owner sends it again.
		}
		if err != nil {
			reply.Refused = append(reply.Refused, &control.Refusal{Task: t.GetTask(), Attempt: t.GetAttempt(), Reason: err.Error()})
		}
	}
	for _, e := range r.GetEvicts() {
		if err := a.tasks.Evict(ctx, cowslipbend.TaskID(e.GetTask()), cowslipbend.Attempt(e.GetAttempt())); err != nil {
			a.log.Info("eviction failed", "task", e.GetTask(), "error", err)
		}
	}
	for _, e := range r.GetStops() {
		if err := a.tasks.Stop(ctx, cowslipbend.TaskID(e.GetTask()), cowslipbend.Attempt(e.GetAttempt())); err != nil {
			a.log.Info("stop failed", "task", e.GetTask(), "error", err)
		}
	}
	return reply, nil
}

func (c *calls) start(ctx context.Context, t *control.Task, epoch cowslipbend.Epoch, token cowslipbend.Time) error {
	if err := t.Check(); err != nil {
		return err
	}
	return c.agent.tasks.Start(ctx, t.Start(epoch), token)
}
