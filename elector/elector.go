package elector

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/shedder"
)

// PathHealth is the path of the call by which entries check the owner's health.
const PathHealth = "/entry/health"

// Intervals and timeouts of the election.
const (
	// pollInterval is the time between two health checks of the owner.
	pollInterval = 250 * cowslipbend.Millisecond
	// pollTimeout bounds one health check. It is many times the latency between
	// failure domains, to tolerate a process that waits for CPU time.
	pollTimeout = 500 * cowslipbend.Millisecond
	// failureTimeout is how long the owner may leave health checks unanswered
	// before it counts as failed: three checks.
	failureTimeout = 900 * cowslipbend.Millisecond
	// storeTimeout is the time since the last answer of the store after which
	// an entry counts as cut off from it; commits and feeds call the store at
	// least once a second. An entry that is cut off as well cannot replace the
	// owner, as a takeover is a commit.
	storeTimeout = 1400 * cowslipbend.Millisecond
	// refusalTimeout is for how long the store may refuse the calls of the owner while
	// it serves this entry: a few attempts of the owner.
	refusalTimeout = 500 * cowslipbend.Millisecond
	// takeoverStagger is the delay between the takeover attempts of entries of
	// successive ranks.
	takeoverStagger = 200 * cowslipbend.Millisecond
	// registerBackoff is the pause after a failed attempt to write this entry's
	// row.
	registerBackoff = 200 * cowslipbend.Millisecond
	// feedWait is how long one call of the feed waits for changes.
	feedWait = cowslipbend.Second
	// feedBackoff is the pause after a failed call of the feed.
	feedBackoff = 200 * cowslipbend.Millisecond
)

// Member is the stored row of an entry.
type Member struct {
	ID   cowslipbend.EntryID     `json:"id"`
	URL  string                  `json:"url"`
	Life cowslipbend.Incarnation `json:"life"`
	// Strength is the capacity of the entry's host.
	Strength Strength `json:"strength,omitempty"`
}

// Health is an entry's answer to a health check.
type Health struct {
	Life cowslipbend.Incarnation `json:"life"`
	// OwnedEpoch is the epoch in which the entry owns the flows, or zero if it
	// does not.
	OwnedEpoch cowslipbend.Epoch `json:"conducts,omitempty"`
	// StoreContactAge is the time since the store last answered the entry.
	StoreContactAge cowslipbend.Span `json:"store"`
	// RefusedFor is for how long the store has refused the calls of the entry at once.
	RefusedFor cowslipbend.Span `json:"refused,omitempty"`
	// Leaving is set once the entry is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Yielding is set while the entry, as the owner, waits for a stronger one to
	// take over.
	Yielding bool `json:"yields,omitempty"`
	// Backlog sums up what waits at the owner. It is nil of other entries.
	Backlog *shedder.Summary `json:"backlog,omitempty"`
}

// Store is the shared store of all entries.
type Store interface {
	cowslipbend.Table
	cowslipbend.Feed
	// LastContact returns when the store last answered.
	LastContact() cowslipbend.Time
	// RefusedFor returns for how long the store has refused the calls of this entry at
	// once, zero if it has served one since.
	RefusedFor() cowslipbend.Span
}

// Caller calls other entries.
type Caller interface {
	Call(ctx context.Context, url string, in, out any, timeout cowslipbend.Span) error
}

// Elector checks the owner's health and takes over the flows when it has to be
// replaced.
type Elector struct {
	self         Member
	store        Store
	caller       Caller
	clock        cowslipbend.Clock
	log          hclog.Logger
	newConductor func(*conductor.Fence) *conductor.Conductor

	mu      sync.Mutex
	members map[cowslipbend.EntryID]Member
	owner   conductor.Head
	// loaded is set once the rows of the entries and the owner have been read.
	loaded bool
	// conductor is nil while this entry does not own the flows.
	conductor *conductor.Conductor
	// tookOverAt is when this entry became the owner.
	tookOverAt cowslipbend.Time
	// yielding is set while this entry, as the owner, waits for a stronger one
	// to take over.
	yielding bool
	leaving  bool
	// ownerFoundAt is when the owner became known.
	ownerFoundAt cowslipbend.Time
	// ownerLastContact is when the owner last answered a health check.
	ownerLastContact cowslipbend.Time
	// failedChecks counts the health checks that the owner has left unanswered in a
	// row. ignoredFailure is set if the last one did not count, as this process was
	// paused meanwhile.
	failedChecks   int
	ignoredFailure bool
	// ownerFailedSince is when the owner was first found to need replacement,
	// or zero.
	ownerFailedSince cowslipbend.Time
	// ownerReachedStoreAt is when the owner last reported contact with the store.
	ownerReachedStoreAt cowslipbend.Time
	// backlog is what the owner's last answer to a health check says of its backlog.
	backlog ownerBacklog
	// firstLoad is signalled when the rows have been read for the first time.
	firstLoad chan struct{}
	done      chan struct{}
}

// New returns an elector. When this entry takes over, newConductor makes the
// conductor for the fence of the new epoch.
func New(self Member, store Store, caller Caller, clock cowslipbend.Clock, log hclog.Logger, newConductor func(*conductor.Fence) *conductor.Conductor) *Elector {
	return &Elector{
		self: self, store: store, caller: caller, clock: clock, log: log, newConductor: newConductor,
		members: map[cowslipbend.EntryID]Member{}, firstLoad: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// Run checks the owner, and runs a conductor after each takeover, until the
// context ends.
func (e *Elector) Run(ctx context.Context) error {
	defer close(e.done)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.register(ctx) })
	g.Go(func() error { return e.followTable(ctx) })
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-e.clock.After(pollInterval):
			case <-e.firstLoad: // A restarted owner takes over again without waiting for the next poll.
			}
			if f := e.pollOwner(ctx); f != nil {
				c := e.setConductor(f)
				g.Go(func() error { return e.runConductor(ctx, c) })
			}
		}
	})
	return g.Wait()
}

// register writes this entry's row, retrying until it succeeds.
func (e *Elector) register(ctx context.Context) error {
	value, err := json.Marshal(e.self)
	if err != nil {
		return cowslipbend.AsError(err)
	}
	put := cowslipbend.Put{Key: conductor.TableEntry + "/" + string(e.self.ID), Value: value}
	for {
		_, err := e.store.Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{put}})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.clock.After(registerBackoff):
		}
	}
}

// followTable keeps the members and the owner up to date from the feed.
func (e *Elector) followTable(ctx context.Context) error {
	var version int64
	for ctx.Err() == nil {
		changes, err := cowslipbend.Read(ctx, e.store, conductor.TableEntry, version, feedWait)
		if err != nil {
			if cowslipbend.KindOf(err) == cowslipbend.KindStale {
				version = 0
				continue
			}
			select {
			case <-ctx.Done():
			case <-e.clock.After(feedBackoff):
			}
			continue
		}
		version = changes.Version
		e.applyRows(changes.Rows)
	}
	return nil
}

func (e *Elector) applyRows(rows []cowslipbend.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() {
		if !e.loaded {
			e.firstLoad <- struct{}{}
		}
		e.loaded = true
	}()
	for _, row := range rows {
		if row.Key == conductor.OwnerKey {
			var h conductor.Head
			if err := json.Unmarshal(row.Value, &h); err != nil {
				e.log.Warn("elector ignored the owner's row, which does not decode", "error", err)
				continue
			}
			e.recordOwner(h)
			continue
		}
		var m Member
		if err := json.Unmarshal(row.Value, &m); err != nil || m.URL == "" || !strings.HasSuffix(row.Key, string(m.ID)) {
			e.log.Warn("elector ignored a row that is not an entry's", "row", row.Key, "error", err)
			continue
		}
		e.members[m.ID] = m
	}
}

// recordOwner makes the head's entry the known owner, unless an owner of the
// same or a later epoch is known. The caller holds the lock.
func (e *Elector) recordOwner(h conductor.Head) {
	if h.Epoch <= e.owner.Epoch {
		return
	}
	now := e.clock.Now()
	e.owner, e.ownerFoundAt, e.ownerLastContact, e.ownerFailedSince = h, now, now, 0
	e.failedChecks, e.ignoredFailure = 0, false
	e.log.Info("elector found a new owner of the flows", "epoch", h.Epoch, "url", h.URL)
}

// OwnerURL returns the URL of the owner, empty if none is known.
func (e *Elector) OwnerURL() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.URL
}

// Conductor returns the conductor of this entry, or nil while it does not own
// the flows.
func (e *Elector) Conductor() *conductor.Conductor {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conductor
}

// EntryURLs returns the URLs of all entries.
func (e *Elector) EntryURLs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	urls := make([]string, 0, len(e.members))
	for _, m := range e.members {
		urls = append(urls, m.URL)
	}
	slices.Sort(urls)
	return urls
}

// Health returns this entry's answer to a health check.
func (e *Elector) Health() Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := Health{Life: e.self.Life, StoreContactAge: e.StoreContactAge(), RefusedFor: e.store.RefusedFor(), Leaving: e.leaving, Yielding: e.yielding}
	if e.conductor != nil {
		h.OwnedEpoch = e.conductor.Epoch()
		h.Backlog = e.conductor.Backlog()
	}
	return h
}

// StoreUnreachable reports whether the store has not answered this entry for
// storeTimeout. It then returns the URLs of all other entries, which may reach
// the store.
func (e *Elector) StoreUnreachable() (unreachable bool, peers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.StoreContactAge() <= storeTimeout {
		return false, nil
	}
	for _, m := range e.members {
		if m.ID != e.self.ID {
			peers = append(peers, m.URL)
		}
	}
	slices.Sort(peers)
	return true, peers
}

// StoreContactAge returns the time since the store last answered this entry.
func (e *Elector) StoreContactAge() cowslipbend.Span {
	return e.clock.Now().Sub(e.store.LastContact())
}

// ShouldRedirect reports whether callers should use another entry while the
// store does not answer this one: the owner has recently reached the store, or
// this entry is cut off from the owner as well.
func (e *Elector) ShouldRedirect() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	return now.Sub(e.ownerReachedStoreAt) < storeTimeout || (e.conductor == nil && now.Sub(e.ownerLastContact) > failureTimeout)
}

// Leave marks this entry as shutting down: it no longer takes over, and if it is
// the owner, another entry replaces it.
func (e *Elector) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// pollOwner checks the owner's health and takes over if the owner has to be
// replaced and it is this entry's turn. It returns the fence of the new epoch,
// or nil if this entry has not taken over.
func (e *Elector) pollOwner(ctx context.Context) *conductor.Fence {
	e.mu.Lock()
	owner, loaded, leaving, owning := e.owner, e.loaded, e.leaving, e.conductor != nil
	e.mu.Unlock()
	if owning {
		e.updateYielding(ctx)
	}
	if !loaded || leaving || owning {
		return nil
	}
	reason := "no owner"
	if owner.Epoch > 0 {
		reason = e.checkOwner(ctx, owner)
	}
	if reason == "" || !e.mayTakeOver(owner) {
		return nil
	}
	return e.takeOver(ctx, owner, reason)
}

// checkOwner returns why the owner has to be replaced, or an empty string if it
// need not be.
func (e *Elector) checkOwner(ctx context.Context, owner conductor.Head) string {
	var h Health
	askedAt := e.clock.Now()
	err := e.caller.Call(ctx, owner.URL+PathHealth, struct{}{}, &h, pollTimeout)
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner.Epoch != owner.Epoch {
		return ""
	}
	if err != nil && e.ignoresFailure(now.Sub(askedAt)) {
		return ""
	}
	reason := e.replacementReason(owner, h, err, now)
	if err == nil {
		e.ownerLastContact, e.failedChecks, e.ignoredFailure = now, 0, false
		e.backlog = ownerBacklog{summary: h.Backlog, epoch: h.OwnedEpoch, askedAt: askedAt}
		if h.StoreContactAge <= storeTimeout {
			e.ownerReachedStoreAt = now
		}
	}
	if reason == "" {
		e.ownerFailedSince = 0
	} else if e.ownerFailedSince == 0 {
		e.ownerFailedSince = now
	}
	return reason
}

// mayTakeOver reports whether the owner has needed replacement for as long as
// this entry's rank demands. The delay keeps entries from trying to take over
// at the same time.
func (e *Elector) mayTakeOver(owner conductor.Head) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := e.rank(owner)
	if e.ownerFailedSince == 0 {
		e.ownerFailedSince = e.clock.Now()
	}
	return e.clock.Now().Sub(e.ownerFailedSince) >= takeoverStagger*cowslipbend.Span(rank)
}

// setConductor makes the conductor of a new epoch. Until that ends, this entry does not
// take over again.
func (e *Elector) setConductor(f *conductor.Fence) *conductor.Conductor {
	c := e.newConductor(f)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conductor, e.tookOverAt, e.yielding = c, e.clock.Now(), false
	e.recordOwner(conductor.Head{Epoch: f.Epoch(), URL: e.self.URL, Life: e.self.Life})
	return c
}

// runConductor runs the conductor until its epoch is over.
func (e *Elector) runConductor(ctx context.Context, c *conductor.Conductor) error {
	err := c.Run(ctx)
	e.mu.Lock()
	e.conductor, e.yielding = nil, false
	e.mu.Unlock()
	if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindConflict && ctx.Err() == nil {
		e.log.Error("conductor failed, so this entry no longer owns the flows", "error", err)
	}
	return nil
}
