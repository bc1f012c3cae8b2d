package supervisor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// connectInDomain connects the runner, which is in failure domain a.
func (f *fixture) connectInDomain() {
	f.t.Helper()
	f.connectRunner()
	f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "ledger", Domain: "a"}, Sequence: 2, Clock: f.clock.Now()})
}

func outOfService(version int64, domains ...cowslipbend.Domain) cowslipbend.DomainsOut {
	return cowslipbend.DomainsOut{Version: version, Domains: domains}
}

// sendStart sends orders with one start and returns its result.
func (f *fixture) sendStart(index int, e cowslipbend.Epoch, out cowslipbend.DomainsOut) cowslipbend.RunResult {
	f.t.Helper()
	r := f.sendOrders(&cowslipbend.HostOrders{Epoch: e, Life: life, Out: out, Starts: []cowslipbend.RunStart{newStart(index)}})
	assert.Equal(f.t, len(r.Results), 1)
	return r.Results[0]
}

// TestDomainOut guards against a start in a failure domain that is out of service,
// by an order that is late or was sent by an owner that does not know it.
func TestDomainOut(t *testing.T) {
	t.Run("starts are refused while the domain is out", func(t *testing.T) {
		f := newFixture(t)
		f.connectInDomain()
		assert.Equal(t, f.sendStart(0, epoch, outOfService(1, "b")).Kind, cowslipbend.Started)
		result := f.sendStart(1, epoch, outOfService(2, "a", "b"))
		assert.Equal(t, result.Kind, cowslipbend.Refused)
		assert.Equal(t, result.Reason, "failure domain is out of service")
		assert.Equal(t, f.sendStart(2, epoch, outOfService(3, "b")).Kind, cowslipbend.Started)
	})
	t.Run("an order that is older than what the agent knows starts nothing", func(t *testing.T) {
		f := newFixture(t)
		f.connectInDomain()
		f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Out: outOfService(2, "a")})
		assert.Equal(t, f.sendStart(0, epoch, outOfService(1)).Kind, cowslipbend.Refused)
		assert.Equal(t, f.sendStart(1, epoch, cowslipbend.DomainsOut{}).Kind, cowslipbend.Refused)
	})
	t.Run("a new owner's knowledge replaces that of the last one", func(t *testing.T) {
		f := newFixture(t)
		f.connectInDomain()
		f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch, Out: outOfService(7, "a")})
		assert.Equal(t, f.sendStart(0, epoch, cowslipbend.DomainsOut{}).Kind, cowslipbend.Refused)
		f.changeOwner()
		assert.Equal(t, f.sendStart(1, epoch+1, cowslipbend.DomainsOut{}).Kind, cowslipbend.Started)
	})
	t.Run("the reply to a report takes the domain out", func(t *testing.T) {
		f := newFixture(t)
		f.owner.mu.Lock()
		f.owner.out = outOfService(1, "a")
		f.owner.mu.Unlock()
		f.connectInDomain()
		assert.Equal(t, f.sendStart(0, epoch, cowslipbend.DomainsOut{}).Kind, cowslipbend.Refused)
	})
}

// TestSuspendedAgent guards against an agent that wakes up after a suspension and
// carries out orders that it received before, or that waited in a connection.
func TestSuspendedAgent(t *testing.T) {
	f := newLimitedFixture(t, 3*cowslipbend.Second)
	f.connectInDomain()
	assert.Equal(t, f.sendStart(0, epoch, cowslipbend.DomainsOut{}).Kind, cowslipbend.Started)
	f.owner.mu.Lock()
	f.owner.silent = true
	f.owner.mu.Unlock()
	f.clock.Advance(3001)
	result := f.sendStart(1, epoch, cowslipbend.DomainsOut{})
	assert.Equal(t, result.Kind, cowslipbend.Refused)
	assert.Equal(t, result.Reason, "domains out of service are not known")
}

// TestColdRemaining guards against a host that counts as cold for longer than its
// runner said, as heartbeats come less often than reports.
func TestColdRemaining(t *testing.T) {
	f := newFixture(t)
	f.connectRunner()
	f.supervisor.Heartbeat(cowslipbend.RunnerHeartbeat{Host: cowslipbend.HostSpec{Life: life, Runner: "r", Service: "ledger", ColdRemaining: 3 * cowslipbend.Second}, Sequence: 2})
	cold := func() cowslipbend.Span { return f.sendOrders(&cowslipbend.HostOrders{Epoch: epoch}).Host.ColdRemaining }
	assert.Equal(t, cold(), 3*cowslipbend.Second)
	f.clock.Advance(2 * cowslipbend.Second)
	assert.Equal(t, cold(), cowslipbend.Second)
	f.clock.Advance(2 * cowslipbend.Second)
	assert.Equal(t, cold(), cowslipbend.Span(0))
}
