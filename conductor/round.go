package conductor

import (
	"context"
	"math"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// runRounds runs a round after each event, and at the latest after
// maxRoundInterval, until the context ends or a commit fails.
func (c *Conductor) runRounds(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeups:
		case <-c.clock.After(maxRoundInterval):
		}
		if err := c.runRound(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.clock.After(batchDelay):
		}
	}
}

// decision is the outcome of one round.
type decision struct {
	puts           []cowslipbend.Put
	dels           []string
	expiredFlows   []cowslipbend.JobID
	orders         []planner.AgentOrders
	adviceRequests []planner.AdviceRequest
	states         map[cowslipbend.JobID]cowslipbend.FlowState
	waitingCounts  map[cowslipbend.QueueID]int
	roundCommitted chan struct{}
	outliers       outlierEvents
}

// runRound decides, commits the decision, and only then sends orders and
// publishes states.
func (c *Conductor) runRound(ctx context.Context) error {
	d, err := c.tryDecide()
	if err != nil {
		return err
	}
	if err := c.commit(ctx, d); err != nil {
		return err
	}
	c.mu.Lock()
	for id, s := range d.states {
		c.committedStates[id] = s
	}
	c.waitingCounts = d.waitingCounts
	c.use("round", func() { c.planner.MarkCommitted(c.clock.Now()) })
	c.mu.Unlock()
	close(d.roundCommitted)
	committedAt := c.lastConfirmedAt()
	c.recordOutliers(&d.outliers)
	for _, p := range d.orders {
		p.CommittedAt = committedAt
		c.goroutines.Go(func() { c.sendOrders(ctx, p) })
	}
	for _, q := range d.adviceRequests {
		c.goroutines.Go(func() { c.askAdvisor(ctx, q) })
	}
	c.removeFlows(ctx, d.expiredFlows)
	return nil
}

func (c *Conductor) decide() (*decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsound {
		return nil, errUnsound
	}
	if c.planner.ProcessesUsedUp() {
		return nil, cowslipbend.Fail(cowslipbend.KindStale, "no number is left for further processes of agents in this epoch", "none: the next owner begins another one")
	}
	now := c.clock.Now()
	c.planner.SetRules(c.rules())
	c.applyDomains(now)
	d := &decision{states: map[cowslipbend.JobID]cowslipbend.FlowState{}}
	d.orders = c.planner.Decide(now, c.feed.Now(), c.clock.Wall())
	c.reportReservations(c.planner.ReservationEvents(), len(c.planner.ReservedHosts()))
	puts, forgotten, err := c.takeAgents()
	if err != nil {
		return nil, err
	}
	if d.puts = puts; len(forgotten) > 0 {
		c.log.Info("conductor forgot silent agents whose hosts were given up", "agents", forgotten)
	}
	for _, id := range c.planner.DirtyFlows() {
		value, err := c.planner.TakeProgress(id)
		if err != nil {
			return nil, err
		}
		d.states[id], _ = c.planner.State(id)
		d.puts = append(d.puts, cowslipbend.Put{Key: RunKey(id), Value: value})
	}
	d.dels, c.rowsToDelete = withoutPuts(c.rowsToDelete, d.puts), nil
	d.puts = c.appendEstimates(d.puts, now)
	if now.Sub(c.lastExpiryCheck) > expiryInterval {
		c.lastExpiryCheck = now
		if c.log.IsDebug() {
			c.log.Debug("interference estimates of image pairs", "pairs", c.planner.Pairs())
		}
		d.expiredFlows = c.expiredFlows()
	}
	if now.Sub(c.lastDelayCheck) >= delayCheckInterval {
		c.lastDelayCheck = now
		c.logDelays(now)
	}
	c.reportEvacuation(now)
	d.waitingCounts = c.planner.CountQueued()
	c.updateBacklog(now)
	c.recordLearned(now)
	d.outliers = c.takeOutliers()
	if c.settings.Advisor != nil {
		d.adviceRequests = c.planner.AdviceRequests(now)
	}
	d.roundCommitted, c.roundCommitted = c.roundCommitted, make(chan struct{})
	return d, nil
}

// logDelays logs why flows that could run have had no task placed for some time.
func (c *Conductor) logDelays(now cowslipbend.Time) {
	for _, d := range c.planner.Delays(now) {
		c.log.Info("flow waits", "flow", d.Flow, "round", d.Round, "step", d.Step, "waiting", d.Waiting, "for", d.For, "position", d.Position, "ready", d.Ready,
			"reason", d.Reason, "hosts", d.Hosts, "rate", math.Round(d.BestRate*100)/100, "reserved", math.Round(d.ReservedShare*100)/100)
	}
}

// askAdvisor asks the advisor which runners suit a step.
func (c *Conductor) askAdvisor(ctx context.Context, q planner.AdviceRequest) {
	advice, err := c.settings.Advisor.Advise(ctx, q.Job, q.Round, q.Step, q.Runners)
	c.log.Info("advisor was asked about a step", "flow", q.Job, "round", q.Round, "step", q.Step, "asked", len(q.Runners), "further", q.Further, "good", len(advice.Tickets), "error", err)
	c.mu.Lock()
	c.use("advice", func() { c.planner.ApplyAdvice(q, advice, err, c.clock.Now()) })
	c.mu.Unlock()
	c.wake()
}

// commit writes what a round has changed. Without changes it confirms the epoch
// every confirmInterval.
func (c *Conductor) commit(ctx context.Context, d *decision) error {
	puts, dels := d.puts, d.dels
	if len(puts)+len(dels) == 0 && c.clock.Now().Sub(c.lastConfirmedAt()) < confirmInterval {
		return nil
	}
	for {
		n := countFitting(puts)
		m := min(len(dels), maxPuts-n)
		refused, err := c.commitRows(ctx, puts[:n], dels[:m])
		if err != nil {
			return err
		}
		replaced, err := c.replaceRefused(refused, d)
		if err != nil {
			return err
		}
		puts, dels = append(puts[n:], replaced...), dels[m:]
		if len(puts)+len(dels) == 0 {
			return nil
		}
	}
}

func (c *Conductor) lastConfirmedAt() cowslipbend.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// announceOwner sends the new owner's URL to the agents of the last owner. An
// agent that the call does not reach looks up the owner itself.
func (c *Conductor) announceOwner(ctx context.Context) {
	c.mu.Lock()
	rows := c.planner.Agents()
	c.mu.Unlock()
	for _, row := range rows {
		c.goroutines.Go(func() {
			c.sendOrders(ctx, planner.AgentOrders{URL: row.URL, Orders: cowslipbend.HostOrders{Epoch: c.fence.Epoch()}})
		})
	}
}

// sendOrders sends orders to an agent and applies the report in its answer.
func (c *Conductor) sendOrders(ctx context.Context, p planner.AgentOrders) {
	p.Orders.Owner = c.settings.URL
	if c.withdrawStarts(&p) {
		return
	}
	c.logOrders(&p)
	var r cowslipbend.HostReport
	sentAt := c.clock.Now()
	err := c.sender.Call(ctx, p.URL+PathOrders, &p.Orders, &r, orderTimeout)
	undelivered := cowslipbend.KindOf(err) == cowslipbend.KindDown
	if cowslipbend.KindOf(err) == cowslipbend.KindUnknown && ctx.Err() == nil {
		// The resent orders ask the agent whether the starts of the first call
		// took effect. That the second call cannot connect does not show that
		// the first had no effect, so undelivered stays as it is.
		p.Orders.Resent, sentAt = true, c.clock.Now()
		err = c.sender.Call(ctx, p.URL+PathOrders, &p.Orders, &r, orderTimeout)
	}
	c.settings.Metrics.RecordOrders(&p.Orders, err)
	now := c.clock.Now()
	c.mu.Lock()
	switch {
	case err == nil:
		c.use("report", func() { c.planner.ApplyAnswer(&r, sentAt, now) })
	case undelivered:
		c.use("orders", func() { c.planner.RevertUnsent(&p.Orders, now) })
	}
	c.mu.Unlock()
	if err != nil {
		c.log.Warn("agent did not confirm orders", "agent", p.URL, "starts", len(p.Orders.Starts), "stops", len(p.Orders.Stops), "error", err)
	}
	c.wake()
}

func (c *Conductor) logOrders(p *planner.AgentOrders) {
	for i := range p.Orders.Starts {
		s := &p.Orders.Starts[i]
		c.log.Info("start ordered", "flow", s.Task.Job, "task", s.Task.String(), "run", s.Run, "host", p.Orders.Life, "agent", p.URL)
	}
	for _, s := range p.Orders.Stops {
		c.log.Info("stop ordered", "flow", s.Task.Job, "task", s.Task.String(), "run", s.Run, "host", p.Orders.Life, "agent", p.URL)
	}
}
