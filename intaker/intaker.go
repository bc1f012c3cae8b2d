package intaker

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/delegator"
	"cowslipbend.dev/forecaster"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/internal/ring"
	"cowslipbend.dev/internal/spawner"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/shedder"
)

// Paths of the calls between entries. All but pathStore go to the owner
// only.
const (
	pathState     = "/flow/state"
	pathWaiting   = "/flow/waiting"
	pathAccepted  = "/flow/accepted"
	pathCancelled = "/flow/cancelled"
	pathStore     = "/flow/store"
	// pathDelegate is like pathStore, for a store that is slow: the owner may take
	// as long as the caller has time.
	pathDelegate = "/flow/delegate"
)

// ownerTimeout bounds the wait for an answer of the owner. It is short, as the owner
// answers from memory.
const ownerTimeout = 400 * cowslipbend.Millisecond

// Owners finds the owner of the flows.
type Owners interface {
	// Conductor returns the conductor of this entry, or nil if it is not the
	// owner.
	Conductor() *conductor.Conductor
	// OwnerURL returns the URL of the owner, empty if none is known.
	OwnerURL() string
	// StoreUnreachable reports whether this entry is cut off from the store. It
	// then returns the URLs of the other entries, which may reach the store.
	StoreUnreachable() (unreachable bool, peers []string)
	// StoreContactAge returns the time since the store last answered this entry.
	StoreContactAge() cowslipbend.Span
	// Backlog returns the owner's last summary of what waits and its age, or nil.
	Backlog() (*shedder.Summary, cowslipbend.Span)
}

// Intaker implements cowslipbend.FlowService.
type Intaker struct {
	table       cowslipbend.Table
	feed        cowslipbend.Feed
	owners      Owners
	caller      *caller.Caller
	rules       func() *cowslipbend.Rules
	clock       cowslipbend.Clock
	log         hclog.Logger
	metrics     *instrumenter.Instrumenter
	submissions *ring.Ring[*submission]
	goroutines  spawner.Group
	isolation   isolation
	delegator   delegator.Delegator
	shed        shed
	times       storeTimes
	attempts    attempts
	// ready returns an error while callers should use another entry.
	ready func() error
	done  chan struct{}
}

// New returns an intaker.
func New(table cowslipbend.Table, feed cowslipbend.Feed, owners Owners, c *caller.Caller, rules func() *cowslipbend.Rules, ready func() error, clock cowslipbend.Clock, log hclog.Logger, metrics *instrumenter.Instrumenter) *Intaker {
	i := &Intaker{
		table: table, feed: feed, owners: owners, caller: c, rules: rules, ready: ready, clock: clock, log: log, metrics: metrics,
		submissions: ring.New[*submission](maxPending), done: make(chan struct{}),
	}
	i.times.forecast = forecaster.New()
	i.goroutines.Guard = recoverer.Guard("submission", log, metrics)
	return i
}

// Done is closed when Run has returned.
func (i *Intaker) Done() <-chan struct{} { return i.done }

// Run stores submitted flows until the context ends.
func (i *Intaker) Run(ctx context.Context) error {
	defer close(i.done)
	err := i.storeGroups(ctx)
	i.goroutines.End()
	return err
}

// Rules returns the rules in force, or nil.
func (i *Intaker) Rules() *cowslipbend.Rules { return i.rules() }

// Ready returns an error that says why callers should use another entry, or nil.
func (i *Intaker) Ready() error { return i.ready() }

// Submit stores a flow and notifies the owner.
func (i *Intaker) Submit(ctx context.Context, f *cowslipbend.Flow) error {
	began := i.clock.Now()
	f.AcceptedAt = i.feed.Now()
	err := i.accept(ctx, f)
	i.metrics.RecordSubmission(err, i.clock.Now().Sub(began))
	i.log.Info("flow submission", "flow", f.ID, "queue", f.Queue, "steps", len(f.Steps), "outcome", outcome(err), "error", err)
	if err != nil {
		return err
	}
	i.goroutines.Go(func() { i.notifyAccepted(f) })
	return nil
}

// accept stores a flow, itself or through an entry that reaches the store. While
// cut off, it makes no attempt of its own: the outcome of an attempt without an
// answer is unknown, so the flow could no longer be refused, while a caller that
// is refused at once can use another entry.
func (i *Intaker) accept(ctx context.Context, f *cowslipbend.Flow) error {
	stored, mayBeStored := i.attempts.find(f.ID, i.clock.Now())
	if stored {
		return nil
	}
	if !mayBeStored {
		if err := i.refuseForLoad(ctx, f); err != nil {
			return err
		}
	}
	return i.remember(f.ID, func(known bool) error { return i.storeOrHandOver(ctx, f, known) })
}

// storeOrHandOver stores a flow that is not refused for load.
func (i *Intaker) storeOrHandOver(ctx context.Context, f *cowslipbend.Flow, known bool) error {
	unreachable, peers := i.owners.StoreUnreachable()
	if unreachable {
		return i.handOver(ctx, f, peers)
	}
	done, mayBeStored, err := i.delegate(ctx, f)
	if done {
		return err
	}
	return i.storeOnce(ctx, f, false, known || mayBeStored)
}

func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return string(cowslipbend.KindOf(err))
}

// notifyAccepted notifies the owner of an accepted flow. The call only saves
// time, as the owner also reads accepted flows from the store's feed.
func (i *Intaker) notifyAccepted(f *cowslipbend.Flow) {
	if c := i.owners.Conductor(); c != nil {
		c.NotifyAccepted(f)
		return
	}
	i.notifyOwner(pathAccepted, f)
}

func (i *Intaker) notifyOwner(path string, in any) {
	url := i.owners.OwnerURL()
	if url == "" {
		return
	}
	if err := i.caller.Call(context.Background(), url+path, in, nil, ownerTimeout); err != nil {
		i.log.Debug("owner did not confirm a notification", "path", path, "error", err)
	}
}

// ownerRequest names the flow or the queue that a call to the owner is about.
type ownerRequest struct {
	Flow  cowslipbend.JobID   `json:"flow,omitempty"`
	Queue cowslipbend.QueueID `json:"queue,omitempty"`
}

// ownerReply is the owner's answer to a request for a state or a count.
type ownerReply struct {
	// Known is false if the entry is not the owner, or has no committed state or
	// count to return; the other fields are empty then.
	Known bool                  `json:"known,omitempty"`
	State cowslipbend.FlowState `json:"state,omitempty"`
	Count int                   `json:"count,omitempty"`
}

// State returns a flow's committed state, from the owner or else from the store.
func (i *Intaker) State(ctx context.Context, q *cowslipbend.Queue, id cowslipbend.JobID) (cowslipbend.FlowState, error) {
	if a := i.askOwner(ctx, pathState, ownerRequest{Flow: id}); a.Known {
		return a.State, nil
	}
	state, err := i.readState(ctx, id)
	if err != nil {
		i.log.Info("intaker failed to read the state of a flow", "flow", id, "queue", q.ID, "outcome", outcome(err), "error", err)
	}
	return state, err
}

// askOwner asks the owner, in this process or another one, about a flow or a
// queue.
func (i *Intaker) askOwner(ctx context.Context, path string, q ownerRequest) ownerReply {
	if c := i.owners.Conductor(); c != nil {
		return queryConductor(c, q)
	}
	var a ownerReply
	if url := i.owners.OwnerURL(); url != "" {
		if err := i.caller.Call(ctx, url+path, q, &a, ownerTimeout); err != nil {
			i.log.Debug("owner did not answer a request", "path", path, "error", err)
			return ownerReply{}
		}
	}
	return a
}

func queryConductor(c *conductor.Conductor, q ownerRequest) ownerReply {
	var a ownerReply
	if q.Queue != "" {
		a.Count, a.Known = c.WaitingCount(q.Queue)
		return a
	}
	a.State, a.Known = c.State(q.Flow)
	return a
}

// readState reads a flow's state from the store, retrying while the store is
// down.
func (i *Intaker) readState(ctx context.Context, id cowslipbend.JobID) (cowslipbend.FlowState, error) {
	for {
		state, err := i.tryReadState(ctx, id)
		if cowslipbend.KindOf(err) != cowslipbend.KindDown {
			return state, err
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-i.clock.After(retryBackoff):
		}
	}
}

func (i *Intaker) tryReadState(ctx context.Context, id cowslipbend.JobID) (cowslipbend.FlowState, error) {
	row, err := i.table.Get(ctx, conductor.RunKey(id))
	if err != nil {
		return "", err
	}
	if row.Version != 0 {
		progress, err := planner.DecodeRow(id, row.Value)
		if err != nil {
			return "", err
		}
		return progress.FlowState(), nil
	}
	row, err = i.table.Get(ctx, conductor.WorkKey(id))
	if err != nil {
		return "", err
	}
	if row.Version == 0 {
		return "", &cowslipbend.Error{Kind: cowslipbend.KindMissing, Path: "id", What: "no such flow", Remedy: "submit it"}
	}
	return cowslipbend.FlowQueued, nil
}

// Cancel stores the cancellation of a flow and notifies the owner.
func (i *Intaker) Cancel(ctx context.Context, _ *cowslipbend.Queue, id cowslipbend.JobID) error {
	err := i.storeCancellation(ctx, id)
	i.log.Info("flow cancellation", "flow", id, "outcome", outcome(err), "error", err)
	if err != nil {
		return err
	}
	i.goroutines.Go(func() {
		if c := i.owners.Conductor(); c != nil {
			c.NotifyCancelled(id)
			return
		}
		i.notifyOwner(pathCancelled, ownerRequest{Flow: id})
	})
	return nil
}

// storeCancellation stores a cancellation, retrying until its outcome is known.
func (i *Intaker) storeCancellation(ctx context.Context, id cowslipbend.JobID) error {
	for {
		err := i.tryStoreCancellation(ctx, id)
		kind := cowslipbend.KindOf(err)
		if kind != cowslipbend.KindDown && kind != cowslipbend.KindUnknown && kind != cowslipbend.KindConflict {
			return err
		}
		select {
		case <-ctx.Done():
			return cowslipbend.Failf(cowslipbend.KindUnknown, err, "cancel it again", "cancellation may have been stored")
		case <-i.clock.After(retryBackoff):
		}
	}
}

// tryStoreCancellation writes the row that cancels a flow. It returns KindMissing
// if there is no such flow.
func (i *Intaker) tryStoreCancellation(ctx context.Context, id cowslipbend.JobID) error {
	row, err := i.table.Get(ctx, conductor.WorkKey(id))
	if err != nil {
		return err
	}
	if row.Version == 0 {
		return &cowslipbend.Error{Kind: cowslipbend.KindMissing, Path: "id", What: "no such flow", Remedy: "submit it"}
	}
	_, err = i.table.Commit(ctx, cowslipbend.Txn{
		Conds: []cowslipbend.Cond{{Key: row.Key, Version: row.Version}},
		Puts:  []cowslipbend.Put{{Key: conductor.CancelKey(id), Value: []byte("{}")}},
	})
	return err
}

// Waiting returns the number of flows of a queue that have not begun.
func (i *Intaker) Waiting(ctx context.Context, q *cowslipbend.Queue) (int, error) {
	a := i.askOwner(ctx, pathWaiting, ownerRequest{Queue: q.ID})
	if !a.Known {
		return 0, cowslipbend.Fail(cowslipbend.KindDown, "owner of the flows did not answer or is not known", "ask again in a moment")
	}
	return a.Count, nil
}

// Serve adds the handlers of the calls from other entries.
func (i *Intaker) Serve(mux *http.ServeMux) {
	handleRequest := func(_ context.Context, q *ownerRequest) (ownerReply, error) {
		if c := i.owners.Conductor(); c != nil {
			return queryConductor(c, *q), nil
		}
		return ownerReply{}, nil
	}
	caller.Handle(mux, pathState, handleRequest)
	caller.Handle(mux, pathWaiting, handleRequest)
	caller.Handle(mux, pathAccepted, func(_ context.Context, f *cowslipbend.Flow) (struct{}, error) {
		if c := i.owners.Conductor(); c != nil && f.Check() == nil {
			c.NotifyAccepted(f)
		}
		return struct{}{}, nil
	})
	caller.Handle(mux, pathStore, func(ctx context.Context, f *cowslipbend.Flow) (struct{}, error) {
		if unreachable, _ := i.owners.StoreUnreachable(); unreachable {
			return struct{}{}, cowslipbend.Fail(cowslipbend.KindDown, "this entry cannot reach the store either", "try another entry")
		}
		if err := f.Check(); err != nil {
			return struct{}{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, (handOverTimeout - retryBackoff).Duration())
		defer cancel()
		err := i.storeForOther(ctx, f)
		if err == nil {
			i.notifyAccepted(f)
		}
		return struct{}{}, err
	})
	caller.Handle(mux, pathDelegate, i.storeDelegated)
	caller.Handle(mux, pathCancelled, func(_ context.Context, q *ownerRequest) (struct{}, error) {
		if c := i.owners.Conductor(); c != nil {
			c.NotifyCancelled(q.Flow)
		}
		return struct{}{}, nil
	})
}
