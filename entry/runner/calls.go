package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/scheduler"
)

// entryService implements control.Entry: the calls from agents and other
// entries.
type entryService struct{ entry *Entry }

// Beat handles the heartbeat of an agent.
func (c *entryService) Beat(_ context.Context, r *control.BeatRequest) (*control.BeatReply, error) {
	if err := r.Check(); err != nil {
		return nil, control.ToTwirp(err)
	}
	e := c.entry
	if !e.tracker.RecordHeartbeat(r) {
		return nil, control.ToTwirp(cowslipbend.Fail(cowslipbend.KindStale, "a later heartbeat of the worker has arrived", "send the next one"))
	}
	e.config.OfferRevision(r.GetUrl(), cowslipbend.Revision(r.GetRevision()))
	reply := &control.BeatReply{Entry: string(e.settings.ID), Life: string(e.life), Revision: int64(e.config.Revision())}
	for _, p := range e.tracker.Live(peerTimeout) {
		reply.Entries = append(reply.Entries, toPeer(p))
	}
	pool := cowslipbend.PoolID(r.GetPool())
	owner := e.owners.Owner(pool)
	if owner == nil {
		head := e.owners.Head(pool)
		reply.Epoch = int64(head.Epoch)
		if head.Owner != e.settings.ID && !head.GivenUp {
			reply.Owner = head.URL
		}
		return reply, nil
	}
	reply.Owner, reply.Epoch = e.URL(), int64(owner.Epoch())
	if r.GetOwned() {
		c.reportToOwner(owner, r, reply)
	}
	return reply, nil
}

// reportToOwner passes the worker's state to the owner of its pool and fills the
// owner's lease and acknowledgements into the reply.
func (c *entryService) reportToOwner(owner *scheduler.Owner, r *control.BeatRequest, reply *control.BeatReply) {
	lease, acks := owner.HandleHeartbeat(toHeartbeat(r))
	reply.Lease = int64(lease)
	for _, a := range acks {
		reply.Acks = append(reply.Acks, &control.Ack{Task: string(a.Task), Attempt: int64(a.Attempt)})
	}
}

// toHeartbeat converts the message to domain types. Measured holds the age of a
// measurement, not its time, because clocks of different hosts must not be
// compared.
func toHeartbeat(r *control.BeatRequest) scheduler.Heartbeat {
	b := scheduler.Heartbeat{
		Leaving: r.GetLeaving(), SentAt: cowslipbend.Time(r.GetSent()),
		Worker: cowslipbend.WorkerSpec{
			ID: cowslipbend.WorkerID(r.GetWorker()), Pool: cowslipbend.PoolID(r.GetPool()),
			Domain: cowslipbend.Domain(r.GetDomain()), Rack: cowslipbend.Rack(r.GetRack()), Size: r.GetSize().Resources(),
		},
	}
	for _, p := range r.GetReports() {
		b.Reports = append(b.Reports, cowslipbend.TaskStatus{
			Task: cowslipbend.TaskID(p.GetTask()), Attempt: cowslipbend.Attempt(p.GetAttempt()), Phase: cowslipbend.Phase(p.GetPhase()),
			Failed: p.GetFailed(), Reason: p.GetReason(), Checkpoint: p.GetCheckpoint(), CPU: cowslipbend.CPUTime(p.GetCpu()),
		})
	}
	for _, u := range r.GetUsage() {
		b.Running = append(b.Running, cowslipbend.TaskStatus{
			Task: cowslipbend.TaskID(u.GetTask()), Attempt: cowslipbend.Attempt(u.GetAttempt()), Phase: cowslipbend.Running,
			Usage:    cowslipbend.Resources{CPU: cowslipbend.Millicores(u.GetCpu()), Mem: cowslipbend.Bytes(u.GetMem())},
			Measured: cowslipbend.Time(u.GetAge()), Tail: u.GetTail(), Served: u.GetServed(), Percent: int(u.GetPercent()),
		})
	}
	return b
}

// Sync exchanges membership and the usages of the limits with another entry.
func (c *entryService) Sync(_ context.Context, r *control.SyncRequest) (*control.SyncReply, error) {
	e := c.entry
	e.recordPeer(r.GetSelf(), cowslipbend.Revision(r.GetRevision()))
	e.limits.UpdatePeer(cowslipbend.EntryID(r.GetSelf().GetId()), toUsages(r.GetCounts()))
	if r.GetSelf().GetLeaving() {
		e.owners.Wake()
	}
	reply := &control.SyncReply{Self: toPeer(e.self()), Revision: int64(e.config.Revision()), Counts: e.limitUsages()}
	for _, p := range e.tracker.Peers() {
		reply.Peers = append(reply.Peers, toPeer(p))
	}
	return reply, nil
}

// Hold reports whether this incarnation holds the pool's epoch as a witness, so
// that the owner may extend leases while the store is unavailable.
func (c *entryService) Hold(_ context.Context, r *control.HoldRequest) (*control.HoldReply, error) {
	held := cowslipbend.Incarnation(r.GetLife()) == c.entry.life &&
		c.entry.witnesses.Hold(cowslipbend.PoolID(r.GetPool()), cowslipbend.Epoch(r.GetEpoch()))
	return &control.HoldReply{Held: held}, nil
}

// Release makes Hold refuse the pool's epochs up to this one from now on.
func (c *entryService) Release(_ context.Context, r *control.ReleaseRequest) (*control.ReleaseReply, error) {
	if cowslipbend.Incarnation(r.GetLife()) != c.entry.life {
		return &control.ReleaseReply{}, nil
	}
	c.entry.witnesses.Release(cowslipbend.PoolID(r.GetPool()), cowslipbend.Epoch(r.GetEpoch()))
	return &control.ReleaseReply{Released: true}, nil
}
