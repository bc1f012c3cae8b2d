package conductor

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/cordoner"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/timer"
)

const requestPrefix = "op/out/"

// scanlessTable refuses direct reads while broken is set.
type scanlessTable struct {
	*keeper.Table
	broken bool
}

func (s *scanlessTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	if s.broken {
		return nil, cowslipbend.Fail(cowslipbend.KindDown, "no reply", "wait")
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

// agents records the orders that are sent, and confirms all.
type agents struct {
	mu     sync.Mutex
	orders []cowslipbend.HostOrders
}

func (a *agents) Call(_ context.Context, _ string, in, _ any, _ cowslipbend.Span) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orders = append(a.orders, *in.(*cowslipbend.HostOrders))
	return nil
}

// starts returns the number of starts that were sent.
func (a *agents) starts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for i := range a.orders {
		n += len(a.orders[i].Starts)
	}
	return n
}

// owner is a conductor whose steps the test takes, with a host in domain a.
type owner struct {
	*Conductor
	t        *testing.T
	clock    *timer.Manual
	table    *scanlessTable
	agents   *agents
	cordoner *cordoner.Cordoner
	number   int64
}

func newOwner(t *testing.T, table *scanlessTable) *owner {
	t.Helper()
	o := &owner{t: t, clock: &timer.Manual{}, table: table, agents: &agents{}}
	o.clock.Advance(cowslipbend.Minute)
	source := cordoner.Source{Prefix: requestPrefix, Check: func([]byte) error { return nil }}
	o.cordoner = cordoner.New(source, o.clock.Now(), hclog.NewNullLogger())
	fence, err := TakeOver(t.Context(), table, o.clock, "http://owner", "life")
	assert.NilError(t, err)
	settings := Settings{
		URL: "http://owner", MaxUnconfirmed: cowslipbend.Minute, Domains: DomainSettings{Cordoner: o.cordoner, MaxAge: 4500 * cowslipbend.Millisecond},
		Planner: planner.Options{MaxLease: 5 * cowslipbend.Second, MaxPriorLease: 15 * cowslipbend.Second, FlowRetention: cowslipbend.Minute},
	}
	rules := func() *cowslipbend.Rules { return &cowslipbend.Rules{} }
	o.Conductor = New(settings, fence, table, table, o.agents, rules, o.clock, hclog.NewNullLogger())
	_, err = o.load(t.Context())
	assert.NilError(t, err)
	return o
}

// report sends the report of the host and returns the reply.
func (o *owner) report() cowslipbend.ReportReply {
	o.t.Helper()
	reply, err := o.Report(o.t.Context(), o.newReport("agent"))
	assert.NilError(o.t, err)
	return reply
}

// newReport returns the next report of an incarnation of the agent.
func (o *owner) newReport(agent cowslipbend.Incarnation) *cowslipbend.HostReport {
	o.number++
	return &cowslipbend.HostReport{
		Agent: agent, URL: "http://agent", Number: o.number, Fence: o.Epoch(), Host: &cowslipbend.HostSpec{
			Life: "h@1", Runner: "h", Service: "ledger", Domain: "a", Size: cowslipbend.Resources{CPU: 8 * cowslipbend.Core, Mem: cowslipbend.GB},
		},
	}
}

// round runs one round, and waits until the orders are sent.
func (o *owner) round() {
	o.t.Helper()
	assert.NilError(o.t, o.runRound(o.t.Context()))
	o.goroutines.End()
}

func put(t *testing.T, table cowslipbend.Table, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: key, Value: data}}})
	assert.NilError(t, err)
}

func newFlow() *cowslipbend.Flow {
	return &cowslipbend.Flow{
		ID: "f", Queue: "q", AcceptedAt: 1, Policy: cowslipbend.FlowPolicy{Service: "ledger", MaxAttempts: 3},
		Steps: []cowslipbend.Step{{Count: 1, Size: cowslipbend.Resources{CPU: cowslipbend.Core, Mem: cowslipbend.MB}, Length: cowslipbend.Second}},
	}
}

// request has the cordoner read that a domain is out of service.
func (o *owner) request(domain string) {
	changes := cowslipbend.Changes{Rows: []cowslipbend.Row{{Key: requestPrefix + domain, Version: 9}}, Version: 9}
	o.cordoner.ApplyChanges(&changes, false, o.clock.Now(), o.clock.Now())
}

// TestTakeoverBetweenRequestAndDecision guards against a new owner that places
// runs in a failure domain before it has read that the domain is out of service.
func TestTakeoverBetweenRequestAndDecision(t *testing.T) {
	t.Run("the rows are read before the first decision", func(t *testing.T) {
		table := &scanlessTable{Table: &keeper.Table{}}
		put(t, table, requestPrefix+"a", struct{}{})
		put(t, table, WorkKey("f"), newFlow())
		o := newOwner(t, table)
		o.report()
		o.round()
		assert.Equal(t, o.agents.starts(), 0)
		assert.DeepEqual(t, o.report().Out, cowslipbend.DomainsOut{Version: 1, Domains: []cowslipbend.Domain{"a"}})
	})
	t.Run("nothing is placed until they could be read", func(t *testing.T) {
		table := &scanlessTable{Table: &keeper.Table{}, broken: true}
		put(t, table, WorkKey("f"), newFlow())
		o := newOwner(t, table)
		o.report()
		o.round()
		assert.Equal(t, o.agents.starts(), 0)
		table.broken = false
		o.readDomains(t.Context())
		d, err := o.decide()
		assert.NilError(t, err)
		assert.Equal(t, len(d.orders), 1)
	})
}

// TestOldKnowledge guards against an owner that places runs for ever although it
// cannot read which failure domains are out of service.
func TestOldKnowledge(t *testing.T) {
	table := &scanlessTable{Table: &keeper.Table{}}
	o := newOwner(t, table)
	table.broken = true
	o.clock.Advance(4500)
	assert.Assert(t, o.domainsConfirmed(o.clock.Now()))
	o.clock.Advance(1)
	assert.Assert(t, !o.domainsConfirmed(o.clock.Now()))
	put(t, table, WorkKey("f"), newFlow())
	o.NotifyAccepted(newFlow())
	o.report()
	o.round()
	assert.Equal(t, o.agents.starts(), 0)
	table.broken = false
	o.readDomains(t.Context())
	assert.Assert(t, o.domainsConfirmed(o.clock.Now()))
}

// TestWithdrawnStarts guards against starts that were decided before their
// failure domain went out of service, and are sent afterwards.
func TestWithdrawnStarts(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(o *owner)
		want   int
	}{
		{"starts are sent", func(*owner) {}, 1},
		{"the domain goes out between commit and sending", func(o *owner) { o.request("a") }, 0},
		{"another domain goes out", func(o *owner) { o.request("b") }, 1},
		{"the owner is suspended between commit and sending", func(o *owner) { o.clock.Advance(maxOrderAge + 1) }, 0},
		{"the agent restarts between commit and sending", func(o *owner) {
			now := o.clock.Now()
			o.planner.ApplyAnswer(o.newReport("restarted"), now.Add(1), now.Add(1))
		}, 0},
		{"the host is lost and comes back between commit and sending", func(o *owner) {
			lost := o.newReport("agent")
			lost.Host, lost.LostLife = nil, "h@1"
			o.planner.ApplyReport(lost, o.clock.Now())
			o.report()
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOwner(t, &scanlessTable{Table: &keeper.Table{}})
			o.NotifyAccepted(newFlow())
			o.report()
			d, err := o.decide()
			assert.NilError(t, err)
			assert.NilError(t, o.commit(t.Context(), d))
			assert.Equal(t, len(d.orders), 1)
			d.orders[0].CommittedAt = o.lastConfirmedAt()
			c.change(o)
			o.sendOrders(t.Context(), d.orders[0])
			assert.Equal(t, o.agents.starts(), c.want)
			if c.want == 0 {
				// The task waits again, and runs later under a higher number.
				assert.Assert(t, strings.Contains(o.flowRow(), `"n":1`), o.flowRow())
			}
		})
	}
	t.Run("stops are sent all the same", func(t *testing.T) {
		o := newOwner(t, &scanlessTable{Table: &keeper.Table{}})
		o.request("a")
		orders := planner.AgentOrders{Domain: "a", Orders: cowslipbend.HostOrders{Life: "h@1", Starts: make([]cowslipbend.RunStart, 2), Stops: make([]cowslipbend.RunRef, 3)}}
		o.sendOrders(t.Context(), orders)
		assert.Equal(t, o.agents.starts(), 0)
		assert.Equal(t, len(o.agents.orders[0].Stops), 3)
	})
}

// flowRow returns the progress of the flow as the next commit would write it.
func (o *owner) flowRow() string {
	data, err := o.planner.TakeProgress("f")
	assert.NilError(o.t, err)
	return string(data)
}
