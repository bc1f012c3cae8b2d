package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cowslipbend.dev"
)

// Limiter holds one token bucket for each limit. It is safe for concurrent
// use.
type Limiter struct {
	clock cowslipbend.Clock

	mu         sync.Mutex
	tickedAt   cowslipbend.Time
	entryCount int // at the last tick, including this entry
	buckets    []*bucket
}

// bucket is one limit with this entry's share of it.
type bucket struct {
	limit      cowslipbend.Limit
	tokens     *rate.Limiter
	admitted   int64 // requests admitted since the last tick
	requested  int64 // requests received since the last tick
	demand     demand
	lastWindow Usage // what Usages returns for the window that ended last
}

// New returns a limiter without limits.
func New(clock cowslipbend.Clock) *Limiter {
	return &Limiter{clock: clock, tickedAt: clock.Now(), entryCount: 1}
}

// Declare replaces the limits in force. A limit that is unchanged keeps its
// tokens.
func (l *Limiter) Declare(limits []cowslipbend.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := map[cowslipbend.Limit]*bucket{}
	for _, b := range l.buckets {
		previous[b.limit] = b
	}
	l.buckets = make([]*bucket, 0, len(limits))
	for _, limit := range limits {
		b, kept := previous[limit]
		if !kept {
			b = &bucket{limit: limit, tokens: rate.NewLimiter(0, 0), demand: demand{peers: map[cowslipbend.EntryID]peerDemand{}}}
			b.setFraction(l.now(), 1/float64(l.entryCount))
			b.fill()
		}
		l.buckets = append(l.buckets, b)
	}
}

// now returns the clock's time as a time.Time, which package rate expects.
func (l *Limiter) now() time.Time { return time.UnixMilli(int64(l.clock.Now())) }

// setFraction sets the fraction of the limit that this entry admits. A limit
// without a declared burst uses its rate as the burst.
func (b *bucket) setFraction(now time.Time, fraction float64) {
	burst := b.limit.Burst
	if burst == 0 {
		burst = b.limit.Rate
	}
	b.tokens.SetLimitAt(now, rate.Limit(b.limit.Rate*fraction))
	b.tokens.SetBurstAt(now, max(int(burst*fraction), 1))
}

// fill fills a new bucket up to its burst.
func (b *bucket) fill() {
	b.tokens = rate.NewLimiter(b.tokens.Limit(), b.tokens.Burst())
}

// Admit takes one token from every limit that covers the request. If one of
// them has none left, it takes no token at all and returns KindLimited with the
// time after which all of them have one.
func (l *Limiter) Admit(team cowslipbend.TeamID, service cowslipbend.ServiceID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var refusal *cowslipbend.Error
	for _, b := range l.buckets {
		if !covers(b.limit, team, service) {
			continue
		}
		b.requested++
		if b.tokens.TokensAt(now) >= 1 {
			continue
		}
		if r := b.refusal(now); refusal == nil || r.After > refusal.After {
			refusal = r
		}
	}
	if refusal != nil {
		return refusal
	}
	for _, b := range l.buckets {
		if covers(b.limit, team, service) {
			b.tokens.AllowN(now, 1)
			b.admitted++
		}
	}
	return nil
}

// refusal returns a KindLimited error that says when the next token is due.
func (b *bucket) refusal(now time.Time) *cowslipbend.Error {
	missing := 1 - b.tokens.TokensAt(now)
	retryAfter := cowslipbend.Span(missing / float64(b.tokens.Limit()) * float64(cowslipbend.Second))
	return &cowslipbend.Error{
		Kind: cowslipbend.KindLimited, What: "limit " + b.limit.Name + " is used up",
		Remedy: "send less, or raise the limit's rate", After: max(retryAfter, cowslipbend.Millisecond),
	}
}

func covers(limit cowslipbend.Limit, team cowslipbend.TeamID, service cowslipbend.ServiceID) bool {
	return (limit.Team == "" || limit.Team == team) && (limit.Service == "" || limit.Service == service)
}
