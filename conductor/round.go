package conductor

import (
	"context"
	"encoding/json"
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// rounds decides, commits and lets the effects out, again and again.
func (c *Conductor) rounds(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.kicked:
		case <-c.clock.After(tick):
		}
		if err := c.round(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.clock.After(pause):
		}
	}
}

// work is what one round has decided.
type work struct {
	puts    []cowslipbend.Put
	dels    []string
	expired []cowslipbend.JobID
	parcels []planner.AgentOrders
	asks    []planner.Question
	states  map[cowslipbend.JobID]cowslipbend.FlowState
	waiting map[cowslipbend.QueueID]int
	settled chan struct{}
}

func (c *Conductor) round(ctx context.Context) error {
	w, err := c.decide()
	if err != nil {
		return err
	}
	if err := c.commit(ctx, w); err != nil {
		return err
	}
	c.mu.Lock()
	for id, s := range w.states {
		c.shown[id] = s
	}
	for _, id := range w.expired {
		delete(c.shown, id)
	}
	c.waiting = w.waiting
	c.plan.MarkCommitted(c.clock.Now())
	c.mu.Unlock()
	close(w.settled)
	for _, p := range w.parcels {
		c.goroutines.Go(func() { c.send(ctx, p) })
	}
	for _, q := range w.asks {
		c.goroutines.Go(func() { c.consult(ctx, q) })
	}
	c.forget(ctx, w.expired)
	return nil
}

func (c *Conductor) decide() (*work, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.plan.SetRules(c.rules())
	w := &work{states: map[cowslipbend.JobID]cowslipbend.FlowState{}}
	w.parcels = c.plan.Decide(now, c.feed.Now(), c.clock.Wall())
	for _, id := range c.plan.DirtyFlows() {
		w.states[id], _ = c.plan.State(id)
		value, err := c.plan.TakeProgress(id)
		if err != nil {
			return nil, err
		}
		w.puts = append(w.puts, cowslipbend.Put{Key: RunKey(id), Value: value})
	}
	w.dels, c.forgotten = c.forgotten, nil
	if c.plan.AgentsChanged() {
		value, err := json.Marshal(c.plan.Agents())
		if err != nil {
			return nil, cowslipbend.AsError(err)
		}
		w.puts = append(w.puts, cowslipbend.Put{Key: agentsKey, Value: value})
	}
	if now.Sub(c.expired) > expireEvery {
		c.expired = now
		if c.log.IsDebug() {
			c.log.Debug("estimates about images", "pairs", c.plan.Pairs())
		}
		w.expired = c.plan.RemoveExpired(c.feed.Now())
	}
	w.waiting = c.plan.CountQueued()
	if c.settings.Advisor != nil {
		w.asks = c.plan.Questions(now)
	}
	w.settled, c.settled = c.settled, make(chan struct{})
	return w, nil
}

// consult asks the advisor about a step.
func (c *Conductor) consult(ctx context.Context, q planner.Question) {
	advice, err := c.settings.Advisor.Advise(ctx, q.Job, q.Round, q.Step, q.Runners)
	c.log.Info("advice", "flow", q.Job, "round", q.Round, "step", q.Step, "asked", len(q.Runners), "good", len(advice.Tickets), "error", err)
	c.mu.Lock()
	c.plan.ApplyAdvice(q, advice, err, c.clock.Now())
	c.mu.Unlock()
	c.kick()
}

// commit writes what a round has changed, or confirms the epoch now and then.
func (c *Conductor) commit(ctx context.Context, w *work) error {
	puts, dels := w.puts, w.dels
	if len(puts)+len(dels) == 0 && c.clock.Now().Sub(c.lastConfirmed()) < confirmEvery {
		return nil
	}
	for {
		n := min(len(puts), maxPuts)
		m := min(len(dels), maxPuts-n)
		start := c.clock.Now()
		began, err := c.fence.Commit(ctx, puts[:n], dels[:m])
		if err != nil {
			return err
		}
		c.settings.Gauge.RecordCommit(c.clock.Now().Sub(start))
		puts, dels = puts[n:], dels[m:]
		c.mu.Lock()
		c.confirmed = began
		c.mu.Unlock()
		if len(puts)+len(dels) == 0 {
			return nil
		}
	}
}

func (c *Conductor) lastConfirmed() cowslipbend.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// forget removes accepted flows that ended long ago. Their progress goes with
// a later commit, as a flow without progress would be run again.
func (c *Conductor) forget(ctx context.Context, ids []cowslipbend.JobID) {
	for chunk := range slices.Chunk(ids, maxPuts/2) {
		var keys, runs []string
		for _, id := range chunk {
			keys = append(keys, WorkKey(id), CancelKey(id))
			runs = append(runs, RunKey(id))
		}
		if _, err := c.table.Commit(ctx, cowslipbend.Txn{Dels: keys}); err != nil {
			c.log.Warn("ended flows were not removed", "count", len(chunk), "error", err)
			continue
		}
		c.mu.Lock()
		c.forgotten = append(c.forgotten, runs...)
		c.mu.Unlock()
	}
}

// greet tells the agents of the last owner who owns the flows now. Agents that
// are not told ask by themselves.
func (c *Conductor) greet(ctx context.Context) {
	c.mu.Lock()
	rows := c.plan.Agents()
	c.mu.Unlock()
	for _, row := range rows {
		c.goroutines.Go(func() {
			c.send(ctx, planner.AgentOrders{URL: row.URL, Orders: cowslipbend.HostOrders{Epoch: c.fence.Epoch()}})
		})
	}
}

// send sends orders and takes the report that answers them.
func (c *Conductor) send(ctx context.Context, p planner.AgentOrders) {
	p.Orders.Owner = c.settings.URL
	c.note(&p)
	var r cowslipbend.HostReport
	err := c.sender.Call(ctx, p.URL+PathOrders, &p.Orders, &r, orderTime)
	unsent := cowslipbend.KindOf(err) == cowslipbend.KindDown
	if cowslipbend.KindOf(err) == cowslipbend.KindUnknown && ctx.Err() == nil {
		// The agent settles what became of the first call. That the second is
		// not taken says nothing of it.
		p.Orders.Resent = true
		err = c.sender.Call(ctx, p.URL+PathOrders, &p.Orders, &r, orderTime)
	}
	c.settings.Gauge.RecordOrders(&p.Orders, err)
	now := c.clock.Now()
	c.mu.Lock()
	switch {
	case err == nil:
		c.plan.ApplyReport(&r, now)
	case unsent:
		c.plan.RevertUnsent(&p.Orders, now)
	}
	c.mu.Unlock()
	if err != nil {
		c.log.Warn("agent did not confirm orders", "agent", p.URL, "starts", len(p.Orders.Starts), "stops", len(p.Orders.Stops), "error", err)
	}
	c.kick()
}

// note logs the orders.
func (c *Conductor) note(p *planner.AgentOrders) {
	for i := range p.Orders.Starts {
		s := &p.Orders.Starts[i]
		c.log.Info("start ordered", "flow", s.Task.Job, "task", s.Task.String(), "run", s.Run, "host", p.Orders.Life, "agent", p.URL)
	}
	for _, s := range p.Orders.Stops {
		c.log.Info("stop ordered", "flow", s.Task.Job, "task", s.Task.String(), "run", s.Run, "host", p.Orders.Life, "agent", p.URL)
	}
}
