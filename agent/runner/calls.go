package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/gater"
	"cowslipbend.dev/internal/control"
)

// calls serves control.Agent.
type calls struct{ agent *Agent }

// maxWait bounds how long a question waits for the end of a request.
const maxWait = 10 * cowslipbend.Second

// Void settles what became of a request. While it runs, the question waits
// for its end as long as the asker wants.
func (c *calls) Void(ctx context.Context, r *control.VoidRequest) (*control.VoidReply, error) {
	if err := cowslipbend.CheckName("request", r.GetRequest()); err != nil {
		return nil, control.ToTwirp(err)
	}
	gate := c.agent.gate
	q := gater.Question{
		ID: cowslipbend.RequestID(r.GetRequest()), Life: cowslipbend.Incarnation(r.GetLife()),
		Token: cowslipbend.Time(r.GetToken()), Once: r.GetOnce(), Cancel: r.GetCancel(),
	}
	state, answer := gate.Void(q)
	if wait := min(cowslipbend.Span(r.GetWait()), maxWait); state == gater.Pending && wait > 0 {
		select {
		case <-gate.Wait(q.ID):
		case <-c.agent.clock.After(wait):
		case <-ctx.Done():
		}
		state, answer = gate.Void(q)
	}
	reply := &control.VoidReply{State: string(state)}
	if state == gater.Done {
		reply.Status = int32(answer.Status)
		reply.Body = answer.Body
		for name, values := range answer.Header {
			for _, v := range values {
				reply.Header = append(reply.Header, &control.Header{Name: name, Value: v})
			}
		}
	}
	return reply, nil
}

// Order starts, evicts and stops tasks.
func (c *calls) Order(ctx context.Context, r *control.OrderRequest) (*control.OrderReply, error) {
	a := c.agent
	if cowslipbend.Incarnation(r.GetLife()) != a.life {
		return nil, control.ToTwirp(cowslipbend.Fail(cowslipbend.KindStale, "order is for an earlier life of this agent", "wait for its heartbeat"))
	}
	epoch := cowslipbend.Epoch(r.GetEpoch())
	if err := a.tasks.Order(epoch); err != nil {
		return nil, control.ToTwirp(err)
	}
	reply := &control.OrderReply{}
	for _, t := range r.GetStarts() {
		if err := c.start(ctx, t, epoch); err != nil {
			reply.Refused = append(reply.Refused, &control.Refusal{Task: t.GetTask(), Attempt: t.GetAttempt(), Reason: err.Error()})
		}
	}
	for _, e := range r.GetEvicts() {
		if err := a.tasks.Evict(ctx, epoch, cowslipbend.TaskID(e.GetTask()), cowslipbend.Attempt(e.GetAttempt())); err != nil {
			a.log.Info("eviction failed", "task", e.GetTask(), "error", err)
		}
	}
	for _, e := range r.GetStops() {
		if err := a.tasks.Stop(ctx, epoch, cowslipbend.TaskID(e.GetTask()), cowslipbend.Attempt(e.GetAttempt())); err != nil {
			a.log.Info("stop failed", "task", e.GetTask(), "error", err)
		}
	}
	return reply, nil
}

func (c *calls) start(ctx context.Context, t *control.Task, epoch cowslipbend.Epoch) error {
	if err := t.Check(); err != nil {
		return err
	}
	return c.agent.tasks.Start(ctx, t.Start(epoch))
}
