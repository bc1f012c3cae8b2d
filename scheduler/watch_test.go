package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/leaser"
)

// assertLeases says whether a heartbeat gets a lease.
func assertLeases(t *testing.T, r *rig, o *Owner, want bool) {
	t.Helper()
	lease, _ := o.Beat(Beat{Worker: r.hosts[0].spec, Sent: r.clock.Now()})
	assert.Equal(t, lease > 0, want, "lease of %s", lease)
}

// outage lets time pass without a read that confirms the epoch.
func (r *rig) outage(o *Owner, seconds int) {
	for range seconds {
		r.clock.Advance(cowslipbend.Second)
		o.hold(r.t.Context())
		o.Beat(Beat{Worker: r.hosts[0].spec, Sent: r.clock.Now()})
	}
}

// owned returns a rig whose first entry owns the pool and has committed its
// list of witnesses and a worker.
func owned(t *testing.T) (*rig, *Owner) {
	r := newRig(t, 1)
	r.take(0)
	o := r.owners[0]
	r.check(r.hosts[0].Poll(t.Context()))
	r.beat(r.hosts[0], o, false)
	r.round(o)
	assert.Equal(t, len(o.journal.Head().Witnesses), 1)
	assertLeases(t, r, o, true)
	return r, o
}

func TestWitnesses(t *testing.T) {
	terms := leaser.Defaults()
	t.Run("leases last through an outage while the witness holds", func(t *testing.T) {
		r, o := owned(t)
		r.outage(o, 60)
		assertLeases(t, r, o, true)
	})
	t.Run("leases end at the cap", func(t *testing.T) {
		r, o := owned(t)
		r.outage(o, int(terms.Cap/cowslipbend.Second))
		assertLeases(t, r, o, false)
	})
	t.Run("leases end by L once the witness has taken the pool", func(t *testing.T) {
		r, o := owned(t)
		r.outage(o, 60)
		r.take(1)
		safe := r.owners[1].engine.safe
		r.outage(o, int(terms.Length/cowslipbend.Second))
		assertLeases(t, r, o, false)
		assert.Assert(t, r.clock.Now() <= safe, "the successor does not wait for it")
	})
	t.Run("a successor that is no witness waits for a release or the cap", func(t *testing.T) {
		r, _ := owned(t)
		head, version, err := r.store.ReadHead(t.Context(), rigPool)
		assert.NilError(t, err)
		stranger := r.entries[0]
		stranger.self.Life = "another"
		o, committed, err := stranger.acquire(t.Context(), &rigSet.Pools[0], head, version)
		assert.NilError(t, err)
		assert.Equal(t, o.engine.safe, committed.Add(terms.Margin(terms.Cap)))
		o.engine.Settle(terms.Lapse(committed, 1, r.clock.Now()))
		assert.Equal(t, o.engine.safe, committed.Add(terms.Margin(terms.Length)))
	})
}
