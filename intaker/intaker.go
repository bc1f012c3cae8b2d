package intaker

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/ring"
	"cowslipbend.dev/internal/spawner"
	"cowslipbend.dev/planner"
)

// Paths of the calls to the owner.
const (
	pathState     = "/flow/state"
	pathWaiting   = "/flow/waiting"
	pathAccepted  = "/flow/accepted"
	pathCancelled = "/flow/cancelled"
	pathStore     = "/flow/store"
)

// handTime bounds a submission that another entry stores.
const handTime = 700 * cowslipbend.Millisecond

// ownerTime bounds a call to the owner, which answers from memory.
const ownerTime = 400 * cowslipbend.Millisecond

// Owners tells who conducts.
type Owners interface {
	// Conductor returns that of this process, or nil.
	Conductor() *conductor.Conductor
	// Owner returns the URL of the owner, or nothing.
	Owner() string
	// Cut reports whether this entry is cut off from the store, and names the
	// entries that may not be.
	Cut() (cut bool, peers []string)
}

// Intaker is a cowslipbend.Desk.
type Intaker struct {
	table      cowslipbend.Table
	feed       cowslipbend.Feed
	owners     Owners
	caller     *caller.Caller
	rules      func() *cowslipbend.Rules
	clock      cowslipbend.Clock
	log        hclog.Logger
	gauge      *instrumenter.Instrumenter
	ring       *ring.Ring[*pending]
	goroutines spawner.Group
	// ready returns why callers should go elsewhere.
	ready func() error
	done  chan struct{}
}

// New returns an intaker.
func New(table cowslipbend.Table, feed cowslipbend.Feed, owners Owners, c *caller.Caller, rules func() *cowslipbend.Rules, ready func() error, clock cowslipbend.Clock, log hclog.Logger, gauge *instrumenter.Instrumenter) *Intaker {
	return &Intaker{
		table: table, feed: feed, owners: owners, caller: c, rules: rules, ready: ready, clock: clock, log: log, gauge: gauge,
		ring: ring.New[*pending](pendingRing), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (i *Intaker) Done() <-chan struct{} { return i.done }

// Run stores submissions until the context ends.
func (i *Intaker) Run(ctx context.Context) error {
	defer close(i.done)
	err := i.write(ctx)
	i.goroutines.End()
	return err
}

// Rules returns the rules in force, or nil.
func (i *Intaker) Rules() *cowslipbend.Rules { return i.rules() }

// Ready returns why callers should go elsewhere.
func (i *Intaker) Ready() error { return i.ready() }

// Submit stores a flow and tells the owner.
func (i *Intaker) Submit(ctx context.Context, f *cowslipbend.Flow) error {
	began := i.clock.Now()
	f.AcceptedAt = i.feed.Now()
	err := i.accept(ctx, f)
	i.gauge.RecordSubmission(err, i.clock.Now().Sub(began))
	i.log.Info("flow submission", "flow", f.ID, "queue", f.Queue, "steps", len(f.Steps), "outcome", outcome(err), "error", err)
	if err != nil {
		return err
	}
	i.goroutines.Go(func() { i.accepted(f) })
	return nil
}

// accept stores a flow, here or at an entry that reaches the store. An entry
// that is cut off does not try by itself: a try without an answer could not be
// refused any more, while a caller that is refused at once goes to another
// entry.
func (i *Intaker) accept(ctx context.Context, f *cowslipbend.Flow) error {
	cut, peers := i.owners.Cut()
	if !cut {
		return i.store(ctx, f)
	}
	return i.handOver(ctx, f, peers)
}

// handOver asks all other entries at once to store a flow; it is the same flow
// however many of them do.
func (i *Intaker) handOver(ctx context.Context, f *cowslipbend.Flow, peers []string) error {
	results := make(chan error, len(peers))
	for _, url := range peers {
		if !i.goroutines.Go(func() { results <- i.caller.Call(ctx, url+pathStore, f, nil, handTime) }) {
			return cowslipbend.Fail(cowslipbend.KindLeaving, "entry is shutting down", "submit it again")
		}
	}
	unknown := false
	for range peers {
		err := <-results
		if err == nil {
			return nil
		}
		unknown = unknown || cowslipbend.KindOf(err) != cowslipbend.KindDown
	}
	if unknown {
		return cowslipbend.Fail(cowslipbend.KindUnknown, "another entry may have stored the flow", "submit it again with the same id")
	}
	return unavailable(nil)
}

func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return string(cowslipbend.KindOf(err))
}

// accepted tells the owner of a flow. The owner also follows the store, so
// that nothing depends on this call.
func (i *Intaker) accepted(f *cowslipbend.Flow) {
	if c := i.owners.Conductor(); c != nil {
		c.Accepted(f)
		return
	}
	i.tell(pathAccepted, f)
}

func (i *Intaker) tell(path string, in any) {
	url := i.owners.Owner()
	if url == "" {
		return
	}
	if err := i.caller.Call(context.Background(), url+path, in, nil, ownerTime); err != nil {
		i.log.Debug("owner was not told", "path", path, "error", err)
	}
}

// question asks the owner about a flow or a queue.
type question struct {
	Flow  cowslipbend.JobID   `json:"flow,omitempty"`
	Queue cowslipbend.QueueID `json:"queue,omitempty"`
}

// reply is the owner's answer; Known is false if it cannot tell.
type reply struct {
	Known bool                  `json:"known,omitempty"`
	State cowslipbend.FlowState `json:"state,omitempty"`
	Count int                   `json:"count,omitempty"`
}

// State returns a flow's state as it is committed.
func (i *Intaker) State(ctx context.Context, q *cowslipbend.Queue, id cowslipbend.JobID) (cowslipbend.FlowState, error) {
	if a := i.ask(ctx, pathState, question{Flow: id}); a.Known {
		return a.State, nil
	}
	state, err := i.stored(ctx, id)
	if err != nil {
		i.log.Info("state not told", "flow", id, "queue", q.ID, "outcome", outcome(err), "error", err)
	}
	return state, err
}

// ask asks the owner, in this process or another.
func (i *Intaker) ask(ctx context.Context, path string, q question) reply {
	if c := i.owners.Conductor(); c != nil {
		return answer(c, q)
	}
	var a reply
	if url := i.owners.Owner(); url != "" {
		if err := i.caller.Call(ctx, url+path, q, &a, ownerTime); err != nil {
			i.log.Debug("owner does not tell", "path", path, "error", err)
			return reply{}
		}
	}
	return a
}

func answer(c *conductor.Conductor, q question) reply {
	var a reply
	if q.Queue != "" {
		a.Count, a.Known = c.Waiting(q.Queue)
		return a
	}
	a.State, a.Known = c.State(q.Flow)
	return a
}

// stored reads a flow's state from the store.
func (i *Intaker) stored(ctx context.Context, id cowslipbend.JobID) (cowslipbend.FlowState, error) {
	for {
		state, err := i.read(ctx, id)
		if cowslipbend.KindOf(err) != cowslipbend.KindDown {
			return state, err
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-i.clock.After(retryPause):
		}
	}
}

func (i *Intaker) read(ctx context.Context, id cowslipbend.JobID) (cowslipbend.FlowState, error) {
	row, err := i.table.Get(ctx, conductor.RunKey(id))
	if err != nil {
		return "", err
	}
	if row.Version != 0 {
		var progress planner.Row
		if err := json.Unmarshal(row.Value, &progress); err != nil {
			return "", cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the flow's row", "progress of %s does not decode", id)
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

// Cancel stores that a flow is cancelled and tells the owner.
func (i *Intaker) Cancel(ctx context.Context, _ *cowslipbend.Queue, id cowslipbend.JobID) error {
	err := i.cancel(ctx, id)
	i.log.Info("flow cancellation", "flow", id, "outcome", outcome(err), "error", err)
	if err != nil {
		return err
	}
	i.goroutines.Go(func() {
		if c := i.owners.Conductor(); c != nil {
			c.Cancelled(id)
			return
		}
		i.tell(pathCancelled, question{Flow: id})
	})
	return nil
}

func (i *Intaker) cancel(ctx context.Context, id cowslipbend.JobID) error {
	for {
		err := i.mark(ctx, id)
		kind := cowslipbend.KindOf(err)
		if kind != cowslipbend.KindDown && kind != cowslipbend.KindUnknown && kind != cowslipbend.KindConflict {
			return err
		}
		select {
		case <-ctx.Done():
			return cowslipbend.Failf(cowslipbend.KindUnknown, err, "cancel it again", "cancelling may have been stored")
		case <-i.clock.After(retryPause):
		}
	}
}

// mark writes the row that cancels a flow, if the flow exists.
func (i *Intaker) mark(ctx context.Context, id cowslipbend.JobID) error {
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

// Waiting counts the flows of a queue that have not begun.
func (i *Intaker) Waiting(ctx context.Context, q *cowslipbend.Queue) (int, error) {
	a := i.ask(ctx, pathWaiting, question{Queue: q.ID})
	if !a.Known {
		return 0, cowslipbend.Fail(cowslipbend.KindDown, "owner of the flows does not answer", "ask again in a moment")
	}
	return a.Count, nil
}

// Serve adds the calls that the owner answers.
func (i *Intaker) Serve(mux *http.ServeMux) {
	ask := func(_ context.Context, q *question) (reply, error) {
		if c := i.owners.Conductor(); c != nil {
			return answer(c, *q), nil
		}
		return reply{}, nil
	}
	caller.Handle(mux, pathState, ask)
	caller.Handle(mux, pathWaiting, ask)
	caller.Handle(mux, pathAccepted, func(_ context.Context, f *cowslipbend.Flow) (struct{}, error) {
		if c := i.owners.Conductor(); c != nil && f.Check() == nil {
			c.Accepted(f)
		}
		return struct{}{}, nil
	})
	caller.Handle(mux, pathStore, func(ctx context.Context, f *cowslipbend.Flow) (struct{}, error) {
		if cut, _ := i.owners.Cut(); cut {
			return struct{}{}, cowslipbend.Fail(cowslipbend.KindDown, "store is out of reach here too", "try another entry")
		}
		if err := f.Check(); err != nil {
			return struct{}{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, (handTime - retryPause).Duration())
		defer cancel()
		err := i.store(ctx, f)
		if err == nil {
			i.accepted(f)
		}
		return struct{}{}, err
	})
	caller.Handle(mux, pathCancelled, func(_ context.Context, q *question) (struct{}, error) {
		if c := i.owners.Conductor(); c != nil {
			c.Cancelled(q.Flow)
		}
		return struct{}{}, nil
	})
}
