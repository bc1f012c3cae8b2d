package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/leaser"
)

// assertLeases asserts whether a heartbeat is answered with a lease.
func assertLeases(t *testing.T, r *simulation, o *Owner, want bool) {
	t.Helper()
	lease, _ := o.HandleHeartbeat(Heartbeat{Worker: r.hosts[0].spec, SentAt: r.clock.Now()})
	assert.Equal(t, lease > 0, want, "lease of %s", lease)
}

// storeOutage advances time without a read that confirms the epoch.
func (r *simulation) storeOutage(o *Owner, seconds int) {
	for range seconds {
		r.clock.Advance(cowslipbend.Second)
		o.extendLeases(r.t.Context())
		o.HandleHeartbeat(Heartbeat{Worker: r.hosts[0].spec, SentAt: r.clock.Now()})
	}
}

// newOwnedSimulation returns a simulation whose first entry owns the pool and
// has committed its list of witnesses and a worker.
func newOwnedSimulation(t *testing.T) (*simulation, *Owner) {
	r := newSimulation(t, 1)
	r.takeOver(0)
	o := r.owners[0]
	r.noError(r.hosts[0].Poll(t.Context()))
	r.sendHeartbeat(r.hosts[0], o, false)
	r.runRound(o)
	assert.Equal(t, len(o.journal.Head().Witnesses), 1)
	assertLeases(t, r, o, true)
	return r, o
}

func TestWitnesses(t *testing.T) {
	terms := leaser.Defaults()
	t.Run("leases last through an outage while the witness holds", func(t *testing.T) {
		r, o := newOwnedSimulation(t)
		r.storeOutage(o, 60)
		assertLeases(t, r, o, true)
	})
	t.Run("leases end at the cap", func(t *testing.T) {
		r, o := newOwnedSimulation(t)
		r.storeOutage(o, int(terms.Cap/cowslipbend.Second))
		assertLeases(t, r, o, false)
	})
	t.Run("leases end within their length once the witness has taken over the pool", func(t *testing.T) {
		r, o := newOwnedSimulation(t)
		r.storeOutage(o, 60)
		r.takeOver(1)
		priorLeasesEnd := r.owners[1].engine.priorLeasesEnd
		r.storeOutage(o, int(terms.Length/cowslipbend.Second))
		assertLeases(t, r, o, false)
		assert.Assert(t, r.clock.Now() <= priorLeasesEnd, "the successor does not wait for the leases to end")
	})
	t.Run("a successor that is not a witness waits for a release or the cap", func(t *testing.T) {
		r, _ := newOwnedSimulation(t)
		head, version, err := r.store.ReadHead(t.Context(), simPool)
		assert.NilError(t, err)
		stranger := r.entries[0]
		stranger.self.Life = "another"
		successor, committed, err := stranger.acquire(t.Context(), &simSet.Pools[0], head, version)
		assert.NilError(t, err)
		assert.Equal(t, successor.engine.priorLeasesEnd, committed.Add(terms.Margin(terms.Cap)))
		successor.engine.LimitPriorLeases(terms.PriorLeasesEnd(committed, 1, r.clock.Now()))
		assert.Equal(t, successor.engine.priorLeasesEnd, committed.Add(terms.Margin(terms.Length)))
	})
}
