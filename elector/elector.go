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
)

// PathHealth is the call by which entries watch the owner.
const PathHealth = "/entry/health"

// Times of an election.
const (
	// look is the time between two looks at the owner.
	look = 250 * cowslipbend.Millisecond
	// lookTime bounds one look: many times the way between failure domains,
	// and room for a process that waits for its processor.
	lookTime = 500 * cowslipbend.Millisecond
	// silence is how long an owner may give no answer: three looks.
	silence = 900 * cowslipbend.Millisecond
	// cutOff is how long an owner may be without the store; commits and feeds
	// touch the store at least once a second. An entry that cannot reach the
	// store either does not get as far as taking over.
	cutOff = 1400 * cowslipbend.Millisecond
	// turn is by how much the entries' attempts to take over are apart.
	turn = 200 * cowslipbend.Millisecond
	// enrolEvery is the pause after a failed attempt to write this entry's
	// row.
	enrolEvery = 200 * cowslipbend.Millisecond
	feedWait   = cowslipbend.Second
	feedPause  = 200 * cowslipbend.Millisecond
)

// Member is one entry.
type Member struct {
	ID   cowslipbend.EntryID     `json:"id"`
	URL  string                  `json:"url"`
	Life cowslipbend.Incarnation `json:"life"`
	// Strength is what its host can carry.
	Strength Strength `json:"strength,omitempty"`
}

// Health is what an entry tells of itself.
type Health struct {
	Life cowslipbend.Incarnation `json:"life"`
	// Conducts is the epoch that it conducts, or zero.
	Conducts cowslipbend.Epoch `json:"conducts,omitempty"`
	// Store is how long ago the store last answered it.
	Store   cowslipbend.Span `json:"store"`
	Leaving bool             `json:"leaving,omitempty"`
	// Yields is set while an owner waits for a stronger entry to take over.
	Yields bool `json:"yields,omitempty"`
}

// Store is what an elector needs of the store.
type Store interface {
	cowslipbend.Table
	cowslipbend.Feed
	// Heard returns when the store last answered.
	Heard() cowslipbend.Time
}

// Caller calls other entries.
type Caller interface {
	Call(ctx context.Context, url string, in, out any, timeout cowslipbend.Span) error
}

// Elector watches the owner and takes over.
type Elector struct {
	self    Member
	store   Store
	caller  Caller
	clock   cowslipbend.Clock
	log     hclog.Logger
	conduct func(*conductor.Fence) *conductor.Conductor

	mu      sync.Mutex
	members map[cowslipbend.EntryID]Member
	owner   conductor.Head
	// read is set once the rows were read.
	read    bool
	current *conductor.Conductor
	// since is when this entry took over, yields is set while it waits for a
	// stronger one to do so.
	since   cowslipbend.Time
	yields  bool
	leaving bool
	// heard is when the owner last answered, lost since when it has to be
	// replaced.
	heard cowslipbend.Time
	lost  cowslipbend.Time
	// reached is when the owner last told that it reaches the store.
	reached cowslipbend.Time
	// informed is signalled when the rows were read first.
	informed chan struct{}
	done     chan struct{}
}

// New returns an elector. Conduct makes the conductor of a fence.
func New(self Member, store Store, caller Caller, clock cowslipbend.Clock, log hclog.Logger, conduct func(*conductor.Fence) *conductor.Conductor) *Elector {
	return &Elector{
		self: self, store: store, caller: caller, clock: clock, log: log, conduct: conduct,
		members: map[cowslipbend.EntryID]Member{}, informed: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// Run watches until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	defer close(e.done)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.enrol(ctx) })
	g.Go(func() error { return e.follow(ctx) })
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-e.clock.After(look):
			case <-e.informed: // An owner that has started again need not wait for a look.
			}
			if f := e.watch(ctx); f != nil {
				g.Go(func() error { return e.reign(ctx, f) })
			}
		}
	})
	return g.Wait()
}

// enrol writes this entry's row.
func (e *Elector) enrol(ctx context.Context) error {
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
		case <-e.clock.After(enrolEvery):
		}
	}
}

// follow keeps the members and the owner up to date.
func (e *Elector) follow(ctx context.Context) error {
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
			case <-e.clock.After(feedPause):
			}
			continue
		}
		version = changes.Version
		e.take(changes.Rows)
	}
	return nil
}

func (e *Elector) take(rows []cowslipbend.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() {
		if !e.read {
			e.informed <- struct{}{}
		}
		e.read = true
	}()
	for _, row := range rows {
		if row.Key == conductor.OwnerKey {
			var h conductor.Head
			if err := json.Unmarshal(row.Value, &h); err != nil {
				e.log.Warn("owner's row is damaged", "error", err)
				continue
			}
			e.adopt(h)
			continue
		}
		var m Member
		if err := json.Unmarshal(row.Value, &m); err != nil || m.URL == "" || !strings.HasSuffix(row.Key, string(m.ID)) {
			e.log.Warn("foreign row passed over", "row", row.Key, "error", err)
			continue
		}
		e.members[m.ID] = m
	}
}

// adopt takes word of an owner; later epochs go before earlier ones.
func (e *Elector) adopt(h conductor.Head) {
	if h.Epoch <= e.owner.Epoch {
		return
	}
	e.owner, e.heard, e.lost = h, e.clock.Now(), 0
	e.log.Info("owner known", "epoch", h.Epoch, "url", h.URL)
}

// Owner returns the URL of the owner, empty if none is known.
func (e *Elector) Owner() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.URL
}

// Conductor returns the conductor of this process, or nil.
func (e *Elector) Conductor() *conductor.Conductor {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Entries returns the URLs of all entries.
func (e *Elector) Entries() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	urls := make([]string, 0, len(e.members))
	for _, m := range e.members {
		urls = append(urls, m.URL)
	}
	slices.Sort(urls)
	return urls
}

// Health returns what this entry tells of itself.
func (e *Elector) Health() Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := Health{Life: e.self.Life, Store: e.clock.Now().Sub(e.store.Heard()), Leaving: e.leaving, Yields: e.yields}
	if e.current != nil {
		h.Conducts = e.current.Epoch()
	}
	return h
}

// Cut reports whether this entry has not heard the store for a while, and
// names the entries that may reach it.
func (e *Elector) Cut() (cut bool, peers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock.Now().Sub(e.store.Heard()) <= cutOff {
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

// Others reports whether the store is known to answer others, or this entry
// is cut off from all: callers are then better served elsewhere.
func (e *Elector) Others() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	return now.Sub(e.reached) < cutOff || (e.current == nil && now.Sub(e.heard) > silence)
}

// Leave makes this entry one that does not take over, and that others replace.
func (e *Elector) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// watch looks at the owner and returns a fence if this entry took over.
func (e *Elector) watch(ctx context.Context) *conductor.Fence {
	e.mu.Lock()
	owner, read, leaving, conducts := e.owner, e.read, e.leaving, e.current != nil
	e.mu.Unlock()
	if conducts {
		e.yield(ctx)
	}
	if !read || leaving || conducts {
		return nil
	}
	why := "no owner"
	if owner.Epoch > 0 {
		why = e.examine(ctx, owner)
	}
	if why == "" || !e.myTurn(owner) {
		return nil
	}
	fence, err := conductor.Take(ctx, e.store, e.clock, e.self.URL, e.self.Life)
	if err != nil {
		e.log.Info("flows were not taken over", "reason", why, "error", err)
		return nil
	}
	e.log.Info("flows taken over", "reason", why, "epoch", fence.Epoch(), "after", owner.Epoch)
	return fence
}

// examine returns why the owner has to be replaced, or nothing.
func (e *Elector) examine(ctx context.Context, owner conductor.Head) string {
	var h Health
	err := e.caller.Call(ctx, owner.URL+PathHealth, struct{}{}, &h, lookTime)
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner.Epoch != owner.Epoch {
		return ""
	}
	why := ""
	switch {
	case cowslipbend.KindOf(err) == cowslipbend.KindDown:
		why = "owner is not listening"
	case err != nil && now.Sub(e.heard) > silence:
		why = "owner is silent"
	case err != nil:
		return ""
	case h.Life != owner.Life:
		why = "owner has restarted"
	case h.Leaving:
		why = "owner is leaving"
	case h.Store > cutOff:
		why = "owner cannot reach the store"
	case h.Yields && e.mayOutdo(owner.URL):
		why = "owner yields to a stronger entry"
	}
	if err == nil {
		e.heard = now
		if h.Store <= cutOff {
			e.reached = now
		}
	}
	if why == "" {
		e.lost = 0
	} else if e.lost == 0 {
		e.lost = now
	}
	return why
}

// myTurn spreads the attempts of several entries.
func (e *Elector) myTurn(owner conductor.Head) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	place := e.place(owner)
	if e.lost == 0 {
		e.lost = e.clock.Now()
	}
	return e.clock.Now().Sub(e.lost) >= turn*cowslipbend.Span(place)
}

// reign conducts until the epoch is over.
func (e *Elector) reign(ctx context.Context, f *conductor.Fence) error {
	c := e.conduct(f)
	e.mu.Lock()
	e.current, e.since, e.yields = c, e.clock.Now(), false
	e.adopt(conductor.Head{Epoch: f.Epoch(), URL: e.self.URL, Life: e.self.Life})
	e.mu.Unlock()
	err := c.Run(ctx)
	e.mu.Lock()
	e.current, e.yields = nil, false
	e.mu.Unlock()
	if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindConflict && ctx.Err() == nil {
		e.log.Error("conductor failed", "error", err)
	}
	return nil
}
