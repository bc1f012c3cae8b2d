package conductor

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/spawner"
	"cowslipbend.dev/planner"
)

// Paths of the calls between owner and agents.
const (
	PathReport = "/agent/report"
	PathOrders = "/agent/orders"
)

// Times of an owner.
const (
	// tick is the longest pause between two rounds.
	tick = 200 * cowslipbend.Millisecond
	// pause gathers events into one commit; it is about the time of a commit.
	pause = 15 * cowslipbend.Millisecond
	// confirmEvery is the longest time between two commits.
	confirmEvery = 2 * cowslipbend.Second
	// orderTime bounds a call with orders: an agent answers within the time of
	// a call to its runner.
	orderTime = 1500 * cowslipbend.Millisecond
	// feedWait is how long a feed waits for changes.
	feedWait = cowslipbend.Second
	// feedPause is the pause after a feed that failed.
	feedPause = 200 * cowslipbend.Millisecond
	// expireEvery is the time between two looks for flows to forget.
	expireEvery = 5 * cowslipbend.Second
	// maxPuts is the most rows of one commit; a transaction holds 100 entries,
	// of which the head takes two.
	maxPuts = 98
)

// Sender sends orders to an agent and returns its report.
type Sender interface {
	Call(ctx context.Context, url string, in, out any, timeout cowslipbend.Span) error
}

// Settings are what a conductor needs to know of its process.
type Settings struct {
	URL     string
	Planner planner.Options
	// Unconfirmed is how long after its last commit an owner grants leases.
	Unconfirmed cowslipbend.Span
	// Gauge counts; it may be nil.
	Gauge *instrumenter.Instrumenter
	// Advisor is asked about advised queues; it may be nil.
	Advisor cowslipbend.Advisor
}

// Conductor conducts for one epoch.
type Conductor struct {
	settings Settings
	fence    *Fence
	table    cowslipbend.Table
	feed     cowslipbend.Feed
	sender   Sender
	clock    cowslipbend.Clock
	log      hclog.Logger
	rules    func() *cowslipbend.Rules

	mu        sync.Mutex
	plan      *planner.Planner
	loaded    bool
	confirmed cowslipbend.Time
	waiting   map[cowslipbend.QueueID]int
	shown     map[cowslipbend.JobID]cowslipbend.FlowState
	// settled is closed and replaced whenever a round has been committed.
	settled chan struct{}
	expired cowslipbend.Time
	// forgotten lists the progress rows of flows that were removed.
	forgotten []string

	kicked     chan struct{}
	goroutines spawner.Group
	done       chan struct{}
}

// New returns the conductor of a fence that was taken.
func New(s Settings, f *Fence, table cowslipbend.Table, feed cowslipbend.Feed, sender Sender, rules func() *cowslipbend.Rules, clock cowslipbend.Clock, log hclog.Logger) *Conductor {
	return &Conductor{
		settings: s, fence: f, table: table, feed: feed, sender: sender, clock: clock, log: log.With("epoch", f.Epoch()), rules: rules,
		plan: planner.New(f.Epoch(), s.Planner), shown: map[cowslipbend.JobID]cowslipbend.FlowState{},
		settled: make(chan struct{}), kicked: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (c *Conductor) Done() <-chan struct{} { return c.done }

// Epoch returns the conductor's epoch.
func (c *Conductor) Epoch() cowslipbend.Epoch { return c.fence.Epoch() }

// Run conducts until the context ends or another owner takes over; the latter
// returns KindConflict.
func (c *Conductor) Run(ctx context.Context) error {
	defer close(c.done)
	c.log.Info("conducts", "url", c.settings.URL)
	c.settings.Gauge.RecordTakeover()
	version, err := c.load(ctx)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.follow(ctx, version) })
	g.Go(func() error {
		c.greet(ctx)
		return c.rounds(ctx)
	})
	err = g.Wait()
	c.goroutines.End()
	c.log.Info("conducts no more", "error", err)
	return err
}

// load reads all flows and their progress. It waits for the store.
func (c *Conductor) load(ctx context.Context) (version int64, err error) {
	for {
		version, err = c.tryLoad(ctx)
		if err == nil || cowslipbend.KindOf(err) != cowslipbend.KindDown {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-c.clock.After(storePause):
		}
	}
}

func (c *Conductor) tryLoad(ctx context.Context) (int64, error) {
	runs, err := c.feed.Snapshot(ctx, TableRun)
	if err != nil {
		return 0, err
	}
	work, err := c.feed.Snapshot(ctx, TableWork)
	if err != nil {
		return 0, err
	}
	progress := make(map[string][]byte, len(runs.Rows))
	for _, row := range runs.Rows {
		progress[row.Key] = row.Value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan = planner.New(c.fence.Epoch(), c.settings.Planner)
	c.plan.SetRules(c.rules())
	c.plan.SetStoreTime(c.feed.Now())
	now := c.clock.Now()
	for _, row := range work.Rows {
		def := c.decode(row)
		if def == nil {
			continue
		}
		data, ok := progress[RunKey(def.ID)]
		if !ok {
			c.plan.Submit(def)
			continue
		}
		if err := c.plan.Restore(def, data, now); err != nil {
			c.log.Error("flow passed over, as its progress is damaged", "flow", def.ID, "error", err)
		}
	}
	c.plan.ExpectAgents(c.agents(progress[agentsKey]), now)
	c.cancels(work.Rows)
	c.loaded, c.confirmed = true, now
	c.log.Info("loaded", "flows", len(work.Rows), "progress", len(runs.Rows))
	return work.Version, nil
}

// agents decodes the agents of the last owner. Without them the runs that it
// placed are waited out.
func (c *Conductor) agents(value []byte) []planner.AgentRow {
	if value == nil {
		return nil
	}
	var rows []planner.AgentRow
	if err := json.Unmarshal(value, &rows); err != nil {
		c.log.Warn("list of agents passed over", "row", agentsKey, "error", err)
		return nil
	}
	return rows
}

// decode reads an accepted flow, or returns nil for other rows.
func (c *Conductor) decode(row cowslipbend.Row) *cowslipbend.Flow {
	if _, ok := cancelled(row.Key); ok {
		return nil
	}
	var def cowslipbend.Flow
	if err := json.Unmarshal(row.Value, &def); err != nil || WorkKey(def.ID) != row.Key || def.Check() != nil {
		c.log.Warn("foreign row passed over", "row", row.Key, "error", err)
		return nil
	}
	return &def
}

// cancelled returns the flow that a row cancels.
func cancelled(key string) (cowslipbend.JobID, bool) {
	id := key[min(len(TableWork)+1, len(key)):]
	n := len(id) - len(cancelSuffix)
	if n <= 0 || id[n:] != cancelSuffix {
		return "", false
	}
	return cowslipbend.JobID(id[:n]), true
}

func (c *Conductor) cancels(rows []cowslipbend.Row) {
	for _, row := range rows {
		if id, ok := cancelled(row.Key); ok {
			c.plan.Cancel(id)
		}
	}
}

// follow takes flows and cancels as they are written.
func (c *Conductor) follow(ctx context.Context, version int64) error {
	for ctx.Err() == nil {
		changes, err := c.feed.Changes(ctx, TableWork, version, feedWait)
		if cowslipbend.KindOf(err) == cowslipbend.KindStale {
			changes, err = c.feed.Snapshot(ctx, TableWork)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-c.clock.After(feedPause):
			}
			continue
		}
		version = changes.Version
		c.take(changes.Rows)
	}
	return nil
}

func (c *Conductor) take(rows []cowslipbend.Row) {
	if len(rows) == 0 {
		return
	}
	c.mu.Lock()
	for _, row := range rows {
		if def := c.decode(row); def != nil {
			c.plan.Submit(def)
		}
	}
	c.cancels(rows)
	c.mu.Unlock()
	c.kick()
}

// Accepted tells of a flow that has been stored.
func (c *Conductor) Accepted(def *cowslipbend.Flow) {
	c.mu.Lock()
	if c.loaded {
		c.plan.Submit(def)
	}
	c.mu.Unlock()
	c.kick()
}

// Cancelled tells of a flow whose cancelling has been stored.
func (c *Conductor) Cancelled(id cowslipbend.JobID) {
	c.mu.Lock()
	if c.loaded {
		c.plan.Cancel(id)
	}
	c.mu.Unlock()
	c.kick()
}

func (c *Conductor) kick() {
	select {
	case c.kicked <- struct{}{}:
	default:
	}
}

// State returns a flow's state as it is committed.
func (c *Conductor) State(id cowslipbend.JobID) (cowslipbend.FlowState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shown[id]
	return s, ok
}

// Waiting counts the flows of a queue that have not begun; false before the
// flows are loaded.
func (c *Conductor) Waiting(q cowslipbend.QueueID) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting[q], c.waiting != nil
}

// Report takes the report of an agent. If it lists ends, the answer waits
// until they are committed, so that it can acknowledge them.
func (c *Conductor) Report(ctx context.Context, r *cowslipbend.HostReport) (cowslipbend.ReportReply, error) {
	c.mu.Lock()
	if !c.loaded {
		c.mu.Unlock()
		return cowslipbend.ReportReply{}, cowslipbend.Fail(cowslipbend.KindBusy, "owner is loading the flows", "report again")
	}
	c.plan.ApplyReport(r, c.clock.Now())
	settled := c.settled
	c.mu.Unlock()
	c.kick()
	if len(r.Ends) > 0 {
		select {
		case <-settled:
		case <-ctx.Done():
		case <-c.done:
			return cowslipbend.ReportReply{}, cowslipbend.Fail(cowslipbend.KindStale, "another entry owns the flows", "report to that one")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	reply := c.plan.Reply(r, now)
	reply.Owner = c.settings.URL
	if now.Sub(c.confirmed) > c.settings.Unconfirmed {
		reply.LeaseGrant = 0
	}
	return reply, nil
}
