package conductor

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/internal/spawner"
	"cowslipbend.dev/planner"
)

// Paths of the calls between owner and agents.
const (
	PathReport = "/agent/report"
	PathOrders = "/agent/orders"
)

// Intervals and bounds of an owner.
const (
	// maxRoundInterval is the longest time between two rounds without an event.
	maxRoundInterval = 200 * cowslipbend.Millisecond
	// batchDelay is the pause after a round, so that the events of that time
	// share one commit. It is about the duration of a commit.
	batchDelay = 15 * cowslipbend.Millisecond
	// confirmInterval is the time after which an owner without changes commits
	// its head only, to confirm that the epoch is still its own.
	confirmInterval = 2 * cowslipbend.Second
	// orderTimeout bounds the wait for an agent's answer to orders, for which the
	// agent makes one call to its runner.
	orderTimeout = 1500 * cowslipbend.Millisecond
	// feedWait is how long one call of the feed waits for changes.
	feedWait = cowslipbend.Second
	// feedBackoff is the pause after a failed call of the feed.
	feedBackoff = 200 * cowslipbend.Millisecond
	// expiryInterval is the time between two checks for flows whose retention
	// has expired.
	expiryInterval = 5 * cowslipbend.Second
	// delayCheckInterval is the time between two checks for flows whose tasks
	// wait.
	delayCheckInterval = cowslipbend.Second
	// maxPuts is the largest number of rows of one commit; a transaction holds
	// 100 entries, of which the head takes two.
	maxPuts = 98
	// maxPutBytes bounds the values of these rows; a transaction holds 1 MB as text, which is
	// by a third longer.
	maxPutBytes = 640 * cowslipbend.KB
)

// Sender sends orders to an agent and returns its report.
type Sender interface {
	Call(ctx context.Context, url string, in, out any, timeout cowslipbend.Span) error
}

// Settings are the settings of a conductor.
type Settings struct {
	// URL is the one at which agents and other entries reach this entry.
	URL     string
	Planner planner.Options
	// MaxUnconfirmed is how long after its last commit an owner still grants
	// leases.
	MaxUnconfirmed cowslipbend.Span
	// Metrics may be nil.
	Metrics *instrumenter.Instrumenter
	// Advisor is asked about steps of flows whose queue needs advice; it may be nil.
	Advisor cowslipbend.Advisor
	// Domains settles how failure domains are taken out of service.
	Domains DomainSettings
}

// Conductor owns the flows for one epoch.
type Conductor struct {
	settings Settings
	fence    *Fence
	table    cowslipbend.Table
	feed     cowslipbend.Feed
	sender   Sender
	clock    cowslipbend.Clock
	log      hclog.Logger
	rules    func() *cowslipbend.Rules

	mu      sync.Mutex
	planner *planner.Planner
	// loaded is set once the flows have been read from the store.
	loaded bool
	// confirmedAt is when the last successful commit began, or when the flows
	// were loaded.
	confirmedAt cowslipbend.Time
	// waitingCounts holds the number of flows per queue that have not begun, as
	// of the last committed round; nil before it.
	waitingCounts   map[cowslipbend.QueueID]int
	committedStates map[cowslipbend.JobID]cowslipbend.FlowState
	// roundCommitted is closed once the next round to begin has been committed.
	// Each round replaces it as it begins.
	roundCommitted  chan struct{}
	lastExpiryCheck cowslipbend.Time
	lastDelayCheck  cowslipbend.Time
	// backlog is the last summary of what waits; nil before the first decision.
	backlog atomic.Pointer[backlog]
	// backlogLoggedAt is when it was last logged.
	backlogLoggedAt cowslipbend.Time
	// estimatesWrittenAt is when the rows of estimatesRows were last written, by key.
	estimatesWrittenAt map[string]cowslipbend.Time
	// removed holds the flows whose rows were deleted, with the version of that, until the
	// feed has passed it.
	removed map[cowslipbend.JobID]int64
	// rowsToDelete holds the keys of rows that the next commit deletes: the progress of
	// removed flows, and agents that were forgotten.
	rowsToDelete []string
	// domainsReadAt is when this owner first began a read of the domains out of
	// service that was answered; zero before.
	domainsReadAt cowslipbend.Time
	// domainsUnconfirmed is set while nothing is placed as the knowledge of them
	// is too old. unknownDomains counts the requests for domains without hosts.
	domainsUnconfirmed bool
	unknownDomains     int
	// runsInDomains holds the number of runs by domain out of service, as of the
	// last log line.
	runsInDomains    map[cowslipbend.Domain]int
	lastDomainsLogAt cowslipbend.Time

	// wakeups holds a value when a round is due before maxRoundInterval has
	// passed.
	wakeups chan struct{}
	// unsound is set once a use of the planner has panicked; failures then receives
	// the error, which ends Run.
	unsound    bool
	failures   chan error
	goroutines spawner.Group
	done       chan struct{}
}

// New returns a conductor for the epoch of the fence.
func New(settings Settings, fence *Fence, table cowslipbend.Table, feed cowslipbend.Feed, sender Sender, rules func() *cowslipbend.Rules, clock cowslipbend.Clock, log hclog.Logger) *Conductor {
	c := &Conductor{
		settings: settings, fence: fence, table: table, feed: feed, sender: sender, clock: clock, log: log.With("epoch", fence.Epoch()), rules: rules,
		planner: planner.New(fence.Epoch(), settings.Planner), committedStates: map[cowslipbend.JobID]cowslipbend.FlowState{},
		estimatesWrittenAt: map[string]cowslipbend.Time{}, removed: map[cowslipbend.JobID]int64{},
		roundCommitted: make(chan struct{}), wakeups: make(chan struct{}, 1), done: make(chan struct{}), failures: make(chan error, 1),
	}
	c.goroutines.Guard = recoverer.Guard("orders", c.log, settings.Metrics)
	return c
}

// Done is closed when Run has returned.
func (c *Conductor) Done() <-chan struct{} { return c.done }

// Epoch returns the conductor's epoch.
func (c *Conductor) Epoch() cowslipbend.Epoch { return c.fence.Epoch() }

// Run owns the flows until the context ends or another entry takes over. In the
// latter case it returns KindConflict.
func (c *Conductor) Run(ctx context.Context) error {
	defer close(c.done)
	c.log.Info("conductor started", "url", c.settings.URL)
	c.settings.Metrics.RecordTakeover()
	var version int64
	err := c.guarded("load", func() (err error) {
		version, err = c.load(ctx)
		return err
	})()
	defer c.settings.Metrics.RecordReservations(nil, 0)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.awaitFailure(ctx) })
	g.Go(c.guarded("feed", func() error { return c.followWork(ctx, version) }))
	g.Go(c.guarded("domains", func() error { return c.confirmDomains(ctx) }))
	g.Go(c.guarded("round", func() error {
		c.announceOwner(ctx)
		return c.runRounds(ctx)
	}))
	err = g.Wait()
	c.goroutines.End()
	c.settings.Metrics.RecordBacklog(nil)
	c.settings.Metrics.RecordDomains(0, nil)
	c.log.Info("conductor stopped", "error", err)
	return err
}

// load reads all flows and their progress, retrying while the store is down.
func (c *Conductor) load(ctx context.Context) (version int64, err error) {
	for {
		version, err = c.tryLoad(ctx)
		if err == nil || cowslipbend.KindOf(err) != cowslipbend.KindDown {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-c.clock.After(storeBackoff):
		}
	}
}

func (c *Conductor) tryLoad(ctx context.Context) (int64, error) {
	c.readDomains(ctx)
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
	c.planner = planner.New(c.fence.Epoch(), c.settings.Planner)
	c.planner.SetRules(c.rules())
	c.planner.SetStoreTime(c.feed.Now())
	now := c.clock.Now()
	c.applyDomains(now)
	c.restoreEstimates(progress)
	for _, row := range work.Rows {
		flow := c.decodeFlow(row)
		if flow == nil {
			continue
		}
		data, ok := progress[RunKey(flow.ID)]
		if !ok {
			c.submit(flow)
			continue
		}
		if err := c.restore(flow, data, now); err != nil {
			c.log.Error("conductor ignored a flow whose progress cannot be restored", "flow", flow.ID, "error", err)
			c.planner.Withhold(flow)
		}
	}
	c.findOrphans(runs.Rows, work.Rows)
	c.restoreAgents(runs.Rows, now)
	c.applyCancellations(work.Rows)
	c.loaded, c.confirmedAt = true, now
	c.log.Info("conductor loaded the flows", "flows", len(work.Rows), "progress", len(runs.Rows))
	return work.Version, nil
}

// decodeFlow decodes the row of an accepted flow, and returns nil for other rows.
func (c *Conductor) decodeFlow(row cowslipbend.Row) *cowslipbend.Flow {
	if _, ok := cancelledFlow(row.Key); ok {
		return nil
	}
	var flow cowslipbend.Flow
	if err := json.Unmarshal(row.Value, &flow); err != nil || WorkKey(flow.ID) != row.Key || flow.Check() != nil {
		c.log.Warn("conductor ignored a row that is not a valid flow", "row", row.Key, "error", err)
		return nil
	}
	return &flow
}

// cancelledFlow returns the flow that the row with the key cancels, or false if
// it cancels none.
func cancelledFlow(key string) (cowslipbend.JobID, bool) {
	id := key[min(len(TableWork)+1, len(key)):]
	n := len(id) - len(cancelSuffix)
	if n <= 0 || id[n:] != cancelSuffix {
		return "", false
	}
	return cowslipbend.JobID(id[:n]), true
}

func (c *Conductor) applyCancellations(rows []cowslipbend.Row) {
	for _, row := range rows {
		if id, ok := cancelledFlow(row.Key); ok {
			c.planner.Cancel(id)
		}
	}
}

// followWork reads newly accepted flows and cancellations from the feed.
func (c *Conductor) followWork(ctx context.Context, version int64) error {
	for ctx.Err() == nil {
		changes, err := c.feed.Changes(ctx, TableWork, version, feedWait)
		if cowslipbend.KindOf(err) == cowslipbend.KindStale {
			changes, err = c.feed.Snapshot(ctx, TableWork)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-c.clock.After(feedBackoff):
			}
			continue
		}
		version = changes.Version
		c.forgetRemoved(version)
		c.applyRows(changes.Rows)
	}
	return nil
}

func (c *Conductor) applyRows(rows []cowslipbend.Row) {
	if len(rows) == 0 {
		return
	}
	c.mu.Lock()
	for _, row := range rows {
		if flow := c.decodeFlow(row); flow != nil {
			c.submit(flow)
		}
	}
	c.use("cancel", func() { c.applyCancellations(rows) })
	c.mu.Unlock()
	c.wake()
}

// NotifyAccepted adds a flow that has been stored, before the feed lists it.
func (c *Conductor) NotifyAccepted(flow *cowslipbend.Flow) {
	c.mu.Lock()
	if c.loaded {
		c.submit(flow)
	}
	c.mu.Unlock()
	c.wake()
}

// NotifyCancelled cancels a flow whose cancellation has been stored, before the
// feed lists it.
func (c *Conductor) NotifyCancelled(id cowslipbend.JobID) {
	c.mu.Lock()
	if c.loaded {
		c.use("cancel", func() { c.planner.Cancel(id) })
	}
	c.mu.Unlock()
	c.wake()
}

func (c *Conductor) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

// State returns a flow's state as of the last committed round.
func (c *Conductor) State(id cowslipbend.JobID) (cowslipbend.FlowState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.committedStates[id]
	return s, ok
}

// WaitingCount returns the number of flows of a queue that have not begun. It
// returns false before the first round has been committed.
func (c *Conductor) WaitingCount(q cowslipbend.QueueID) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingCounts[q], c.waitingCounts != nil
}

// Report applies the report of an agent. If it lists ended runs, the reply waits
// until their ends are committed, so that it can acknowledge them.
func (c *Conductor) Report(ctx context.Context, r *cowslipbend.HostReport) (cowslipbend.ReportReply, error) {
	if err := r.Check(); err != nil {
		c.log.Warn("conductor refused a report", "agent", r.URL, "error", err)
		return cowslipbend.ReportReply{}, err
	}
	c.mu.Lock()
	if !c.loaded {
		c.mu.Unlock()
		return cowslipbend.ReportReply{}, cowslipbend.Fail(cowslipbend.KindBusy, "owner is loading the flows", "report again")
	}
	ok := c.use("report", func() { c.planner.ApplyReport(r, c.clock.Now()) })
	roundCommitted := c.roundCommitted
	c.mu.Unlock()
	if !ok {
		return cowslipbend.ReportReply{}, errUnsound
	}
	c.wake()
	if len(r.Ends) > 0 {
		select {
		case <-roundCommitted:
		case <-ctx.Done():
		case <-c.done:
			return cowslipbend.ReportReply{}, cowslipbend.Fail(cowslipbend.KindStale, "another entry owns the flows", "report to that one")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var reply cowslipbend.ReportReply
	if !c.use("report", func() { reply = c.planner.Reply(r, now) }) {
		return reply, errUnsound
	}
	reply.Owner, reply.Out = c.settings.URL, c.planner.DomainsOut()
	if now.Sub(c.confirmedAt) > c.settings.MaxUnconfirmed {
		reply.LeaseGrant = 0
	}
	return reply, nil
}
