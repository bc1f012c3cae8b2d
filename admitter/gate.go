package admitter

import (
	"net/http"
	"sync"
	"time"

	"cowslipbend.dev"
)

// Options bound what a gate remembers.
type Options struct {
	// Retention is how long an id is remembered after its end, and the age
	// at which time tokens are refused.
	Retention cowslipbend.Span
	// Keep is how long the answer of a non-idempotent request is kept.
	Keep cowslipbend.Span
	// Records bounds the remembered ids; a full gate refuses requests.
	Records int
	// Answers bounds the bytes of all kept answers.
	Answers cowslipbend.Bytes
	// Answer bounds one kept answer.
	Answer cowslipbend.Bytes
}

// Defaults returns the options of a usual agent.
func Defaults() Options {
	return Options{
		Retention: 15 * cowslipbend.Second,
		Keep:      10 * cowslipbend.Minute,
		Records:   200_000,
		Answers:   8 * cowslipbend.MB,
		Answer:    256 * cowslipbend.KB,
	}
}

// State is what a gate knows about a request.
type State string

// The states of a request.
const (
	// Never means that it was not accepted and never will be.
	Never State = "never"
	// Pending means that it runs.
	Pending State = "running"
	// Done means that it ran and the answer is at hand.
	Done State = "done"
	// Lost means that it ran and the answer is gone.
	Lost State = "lost"
	// Unknowable means that this gate cannot tell.
	Unknowable State = "unknowable"
)

// Answer is a whole kept answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns about what the answer takes in memory.
func (a *Answer) size() cowslipbend.Bytes {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return cowslipbend.Bytes(n)
}

// Request asks the gate for a slot.
type Request struct {
	ID      cowslipbend.RequestID
	Service cowslipbend.ServiceID
	Life    cowslipbend.Incarnation
	Token   cowslipbend.Time
	Once    bool
	// Watch marks a stream without a time limit.
	Watch bool
}

// Question asks what became of a request.
type Question struct {
	ID    cowslipbend.RequestID
	Life  cowslipbend.Incarnation
	Token cowslipbend.Time
	// Once is set for a non-idempotent request, which is remembered longer.
	Once bool
	// Cancel also stops the request if it runs.
	Cancel bool
}

// record is the memory of one request. A record with state Never is a
// tombstone.
type record struct {
	state   State
	once    bool
	answer  Answer
	expires cowslipbend.Time
	done    chan struct{}
	cancel  func()
}

// Gate guards the endpoints of one agent. It is safe for concurrent use.
//
// An id is in at most one record, and a request runs only between the moment
// its record is made and the moment it leaves the state Pending.
type Gate struct {
	life  cowslipbend.Incarnation
	clock cowslipbend.Clock
	opts  Options

	mu      sync.Mutex
	records map[cowslipbend.RequestID]*record
	queue   expiry
	// settling holds the slots of abandoned requests.
	settling []settling
	kept     cowslipbend.Bytes
	byID     map[cowslipbend.EndpointID]*endpoint
	leaving  bool
	active   int
	idle     chan struct{}
}

// New returns a gate for one life of an agent.
func New(life cowslipbend.Incarnation, clock cowslipbend.Clock, opts Options) *Gate {
	return &Gate{
		life:    life,
		clock:   clock,
		opts:    opts,
		records: map[cowslipbend.RequestID]*record{},
		byID:    map[cowslipbend.EndpointID]*endpoint{},
	}
}

// Token returns a time token. Requests that carry it are accepted until the
// retention has passed.
func (g *Gate) Token() cowslipbend.Time { return g.clock.Now() }

// Accept records the request and takes room at an endpoint, or refuses it for
// certain: every error means that the request has not run through this call.
// KindConflict means that the id was voided, so that nothing runs under it;
// KindUnknown that the id was accepted before, so that it may have run.
func (g *Gate) Accept(r Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.expire(now)
	g.settle(now)
	if err := g.admit(r, now); err != nil {
		return nil, err
	}
	ep, err := g.pick(r.Service, r.Watch)
	if err != nil {
		return nil, err
	}
	ep.take(r.Watch)
	g.active++
	rec := &record{state: Pending, once: r.Once, done: make(chan struct{})}
	g.records[r.ID] = rec
	return &Ticket{gate: g, id: r.ID, rec: rec, ep: ep, watch: r.Watch, URL: ep.URL, accepted: now, began: time.Now()}, nil
}

// admit checks all that does not depend on an endpoint.
func (g *Gate) admit(r Request, now cowslipbend.Time) error {
	if r.Life != g.life {
		return cowslipbend.Fail(cowslipbend.KindStale, "request is for an earlier life of this agent", "route it anew")
	}
	if g.old(r.Token, now) {
		return cowslipbend.Fail(cowslipbend.KindStale, "time token is too old", "use the token of the agent's last answer")
	}
	if g.leaving {
		return cowslipbend.Fail(cowslipbend.KindLeaving, "agent is shutting down", "route the request elsewhere")
	}
	if rec, seen := g.records[r.ID]; seen && rec.state == Never {
		return cowslipbend.Fail(cowslipbend.KindConflict, "request was voided", "route it anew under another id")
	} else if seen {
		return cowslipbend.Fail(cowslipbend.KindUnknown, "request id was accepted before", "ask what became of it")
	}
	if len(g.records) >= g.opts.Records {
		return &cowslipbend.Error{Kind: cowslipbend.KindBusy, What: "agent remembers too many requests", Remedy: "try again", After: cowslipbend.Second}
	}
	return nil
}

// old reports whether requests with the token are refused.
func (g *Gate) old(token, now cowslipbend.Time) bool {
	return token > now || now.Sub(token) > g.opts.Retention
}

// forgotten reports whether the record of a request with the token may be
// gone. A record outlives the end of its request, and so its token, by the
// retention, and that of a non-idempotent one by the time its answer is kept.
func (g *Gate) forgotten(q Question, now cowslipbend.Time) bool {
	keep := g.opts.Retention
	if q.Once {
		keep = max(keep, g.opts.Keep)
	}
	return q.Token > now || now.Sub(q.Token) > keep
}

// Void settles the fate of a request whose answer was lost. Never means that
// it has not run and that this gate will refuse it from now on: by its
// tombstone first, by the age of its token later.
func (g *Gate) Void(q Question) (State, Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.expire(now)
	if q.Life != g.life {
		return Unknowable, Answer{}
	}
	rec, ok := g.records[q.ID]
	if !ok && (g.forgotten(q, now) || len(g.records) >= 2*g.opts.Records) {
		return Unknowable, Answer{}
	}
	if !ok {
		rec = &record{state: Never}
		g.records[q.ID] = rec
		g.retire(q.ID, rec, now.Add(g.opts.Retention))
		return Never, Answer{}
	}
	if q.Cancel && rec.state == Pending && rec.cancel != nil {
		rec.cancel()
	}
	return rec.state, rec.answer
}

// closed is the channel of requests that have ended.
var closed = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// Wait returns a channel that is closed unless the request runs here, and
// will be when it has ended.
func (g *Gate) Wait(id cowslipbend.RequestID) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	rec, ok := g.records[id]
	if !ok || rec.state != Pending {
		return closed
	}
	return rec.done
}

// Leave refuses all later requests and returns a channel that is closed once
// none is in flight.
func (g *Gate) Leave() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	if g.idle == nil {
		g.idle = make(chan struct{})
		if g.active == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

// Leaving reports whether Leave was called.
func (g *Gate) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
