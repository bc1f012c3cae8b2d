package conductor

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/cordoner"
	"cowslipbend.dev/planner"
)

// DomainSettings settle how failure domains are taken out of service.
type DomainSettings struct {
	// Cordoner holds the requests. It may be nil, for none.
	Cordoner *cordoner.Cordoner
	// MaxAge is the age of its knowledge from which nothing is placed. Zero
	// means no limit.
	MaxAge cowslipbend.Span
}

// Limits of orders and of the knowledge of the domains out of service.
const (
	// confirmAge is the age of the knowledge from which the rows are read
	// directly, beside the reads of the whole table. Those answer at least once
	// a second, but transfer large rules of the operator too.
	confirmAge = 3 * cowslipbend.Second
	// confirmCheckInterval is the time between two checks of the age.
	confirmCheckInterval = 300 * cowslipbend.Millisecond
	// maxDomainRows limits the rows of one direct read. The users' platform has
	// six domains at most.
	maxDomainRows = 1000
	// maxOrderAge is the time since the beginning of their commit after which
	// starts are not sent: the process was suspended meanwhile, and domains may
	// have been taken out of service. A commit whose answer was lost, and which
	// is then read, takes up to 1.8 s.
	maxOrderAge = 2 * cowslipbend.Second
)

// readDomains reads the rows of the domains out of service directly.
func (c *Conductor) readDomains(ctx context.Context) {
	domains := c.settings.Domains.Cordoner
	if domains == nil {
		return
	}
	askedAt := c.clock.Now()
	ticket := domains.BeginRead(askedAt)
	rows, err := c.table.Scan(ctx, domains.Prefix(), "", maxDomainRows)
	if err == nil && len(rows) == maxDomainRows {
		err = cowslipbend.Fail(cowslipbend.KindBroken, "there are too many rows", "remove those that name no domain")
	}
	if err != nil {
		c.log.Warn("conductor cannot read the failure domains out of service", "age", c.domainsAge(c.clock.Now()), "error", err)
		return
	}
	domains.ApplyRows(ticket, rows, c.clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.domainsReadAt == 0 {
		c.domainsReadAt = askedAt
	}
}

// domainsAge returns the age of the knowledge.
func (c *Conductor) domainsAge(now cowslipbend.Time) cowslipbend.Span {
	return now.Sub(c.settings.Domains.Cordoner.AskedAt())
}

// confirmDomains reads the rows directly while the knowledge is older than
// confirmAge, and until this owner has read them once.
func (c *Conductor) confirmDomains(ctx context.Context) error {
	if c.settings.Domains.Cordoner == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.clock.After(confirmCheckInterval):
		}
		c.mu.Lock()
		unread := c.domainsReadAt == 0
		c.mu.Unlock()
		if unread || c.domainsAge(c.clock.Now()) > confirmAge {
			c.readDomains(ctx)
			c.wake()
		}
	}
}

// domainsConfirmed reports whether the knowledge suffices to place and start
// runs: this owner has read the rows, and they are not too old. The caller holds
// the lock.
func (c *Conductor) domainsConfirmed(now cowslipbend.Time) bool {
	d := &c.settings.Domains
	return d.Cordoner == nil || d.MaxAge == 0 || (c.domainsReadAt > 0 && c.domainsAge(now) <= d.MaxAge)
}

// applyDomains passes the domains out of service to the planner. The caller holds
// the lock.
func (c *Conductor) applyDomains(now cowslipbend.Time) {
	var requested []cowslipbend.Domain
	for _, r := range c.settings.Domains.Cordoner.Requests() {
		requested = append(requested, r.Domain)
	}
	confirmed, version := c.domainsConfirmed(now), c.planner.DomainsOut().Version
	unknown := c.planner.SetDomains(requested, confirmed)
	switch {
	case !confirmed && !c.domainsUnconfirmed:
		c.log.Warn("placement pauses, as the failure domains out of service are not known", "age", c.domainsAge(now).String())
	case confirmed && c.domainsUnconfirmed:
		c.log.Info("placement goes on, as the failure domains out of service are known again", "age", c.domainsAge(now).String())
	}
	c.domainsUnconfirmed = !confirmed
	if out := c.planner.DomainsOut(); out.Version != version {
		c.log.Info("planner applies failure domains out of service", "domains", out.Domains, "version", out.Version, "age", c.domainsAge(now).String())
	}
	if len(unknown) != c.unknownDomains {
		c.unknownDomains = len(unknown)
		c.log.Warn("requests for failure domains without hosts have no effect", "domains", unknown)
	}
}

// domainsLogInterval is the time between two log lines about the runs in domains
// that are out of service.
const domainsLogInterval = 5 * cowslipbend.Second

// reportEvacuation logs and counts what becomes of the runs in domains that are
// out of service. The caller holds the lock.
func (c *Conductor) reportEvacuation(now cowslipbend.Time) {
	r := c.planner.TakeEvacuationReport()
	c.settings.Metrics.RecordDomains(r.Out, r.Stays)
	for _, m := range r.Moves {
		c.settings.Metrics.RecordDomainMove(m.Reason)
		c.log.Info("run leaves a failure domain that is out of service", "flow", m.Ref.Task.Job, "task", m.Ref.Task.String(), "run", m.Ref.Run, "reason", m.Reason)
	}
	emptied := false
	for domain, n := range r.Runs {
		emptied = emptied || (n == 0 && c.runsInDomains[domain] > 0)
	}
	if len(r.Runs) > 0 && (emptied || now.Sub(c.lastDomainsLogAt) >= domainsLogInterval) {
		c.runsInDomains, c.lastDomainsLogAt = r.Runs, now
		c.log.Info("runs in failure domains that are out of service", "runs", r.Runs, "stay", r.Stays)
	}
}

// withdrawStarts removes the starts from orders that must not be sent any more,
// as the domain has gone out of service since the decision or the decision is
// too old, and reverts them. It reports whether nothing is to be sent, which is also
// the case once a use of the planner has panicked.
func (c *Conductor) withdrawStarts(p *planner.AgentOrders) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := c.use("orders", func() { done = c.tryWithdrawStarts(p) })
	return done || !ok
}

// tryWithdrawStarts implements withdrawStarts. The caller holds the lock.
func (c *Conductor) tryWithdrawStarts(p *planner.AgentOrders) bool {
	now := c.clock.Now()
	p.Orders.Out = c.planner.DomainsOut()
	if len(p.Orders.Starts) == 0 {
		return false
	}
	var reason string
	switch {
	case c.settings.Domains.Cordoner.Has(p.Domain):
		reason = "domain is out of service"
	case now.Sub(p.CommittedAt) > maxOrderAge:
		reason = "orders are too old"
	case !c.domainsConfirmed(now):
		reason = "knowledge of domains out of service is too old"
	case !c.planner.SealStarts(&p.Orders, now):
		reason = "host was given up or has no lease"
	default:
		return false
	}
	c.log.Info("starts withdrawn before they were sent", "agent", p.URL, "host", p.Orders.Life, "domain", p.Domain, "starts", len(p.Orders.Starts), "reason", reason, "age", now.Sub(p.CommittedAt).String())
	c.settings.Metrics.RecordWithdrawnStarts(len(p.Orders.Starts))
	c.planner.RevertUnsent(&cowslipbend.HostOrders{Life: p.Orders.Life, Starts: p.Orders.Starts}, now)
	p.Orders.Starts = nil
	c.wake()
	return len(p.Orders.Stops) == 0 && len(p.Orders.KnownRuns) == 0
}
