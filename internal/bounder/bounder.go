package bounder

import (
	"container/list"
	"maps"
	"sync"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
)

// Limits are those of one listener. Zero means no limit.
type Limits struct {
	// Name is that of the listener in metrics and logs.
	Name string
	// Conns is how many connections are open at a time.
	Conns int
	// Bodies is the memory that the bodies of requests may take in all.
	Bodies cowslipbend.Bytes
	// Buffer is the size of the kernel's buffers of a connection in each direction.
	Buffer cowslipbend.Bytes
	// Header is the size of a request's header, and HeaderLines how many lines it may have. The
	// lines are only counted for HTTP/1.1.
	Header      cowslipbend.Bytes
	HeaderLines int
	// BodyTime is how long a body may take to arrive, and ReplyTime the time from the header of
	// a request to the end of the reply.
	BodyTime, ReplyTime cowslipbend.Span
	// HTTP1 is set if the peers use HTTP/1.1 only.
	HTTP1 bool
}

// Cause is why a connection or a body was refused.
type Cause string

// The causes.
const (
	// CauseConns means that the listener has as many connections as it may have.
	CauseConns Cause = "connections"
	// CauseHeader means that a header has too many lines.
	CauseHeader Cause = "header"
	// CauseBodies means that the bodies take as much memory as they may.
	CauseBodies Cause = "bodies"
	// CauseSlow means that a body did not arrive in time.
	CauseSlow Cause = "slow"
)

// logInterval is the shortest time between two lines about refusals.
const logInterval = 10 * cowslipbend.Second

// Bounder bounds the peers of one listener.
type Bounder struct {
	limits Limits
	clock  cowslipbend.Clock
	log    hclog.Logger

	mu sync.Mutex
	// conns counts the open connections, and outlasting those that were closed to make room and
	// whose requests are still being handled. Those that wait for their peer are in waiting, the
	// longest first.
	conns, outlasting int
	waiting           list.List
	// held is the memory of the bodies. arriving holds those that are not complete, the
	// oldest first, and leaving is what refused ones still hold. released tells that held
	// has become less.
	held, leaving cowslipbend.Bytes
	arriving      list.List
	released      *sync.Cond
	// refused counts the refusals, and logged is what it was at loggedAt.
	refused, logged map[Cause]int
	loggedAt        cowslipbend.Time
}

// New returns a bounder.
func New(l Limits, clock cowslipbend.Clock, log hclog.Logger) *Bounder {
	b := &Bounder{limits: l, clock: clock, log: log, refused: map[Cause]int{}, logged: map[Cause]int{}}
	b.released = sync.NewCond(&b.mu)
	return b
}

// Limits returns the limits.
func (b *Bounder) Limits() Limits { return b.limits }

// Conns returns the number of open connections.
func (b *Bounder) Conns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

// Held returns the memory that is counted for bodies.
func (b *Bounder) Held() cowslipbend.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// recordRefusal counts a refusal. The caller holds the lock, and calls logRefusals once it has
// released it.
func (b *Bounder) recordRefusal(cause Cause) { b.refused[cause]++ }

// refuse counts a refusal.
func (b *Bounder) refuse(cause Cause) {
	b.mu.Lock()
	b.recordRefusal(cause)
	b.mu.Unlock()
	b.logRefusals()
}

// logRefusals writes a line about the refusals since the last one, if there are any and
// logInterval has passed.
func (b *Bounder) logRefusals() {
	b.mu.Lock()
	now := b.clock.Now()
	if maps.Equal(b.refused, b.logged) || b.loggedAt > 0 && now.Sub(b.loggedAt) < logInterval {
		b.mu.Unlock()
		return
	}
	since := func(c Cause) int { return b.refused[c] - b.logged[c] }
	fields := []any{
		"listener", b.limits.Name, "connections", since(CauseConns), "header", since(CauseHeader), "bodies", since(CauseBodies), "slow", since(CauseSlow),
		"open", b.conns, "held", int64(b.held),
	}
	b.loggedAt, b.logged = now, maps.Clone(b.refused)
	b.mu.Unlock()
	b.log.Warn("peers refused", fields...)
}
