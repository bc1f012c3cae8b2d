// Package limiter admits requests by the declared limits of teams and
// services. Each entry has a share of every limit, so that no call between
// entries is needed for a request: with their regular contact the entries tell
// each other what their callers want, and each takes its part of the whole.
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

	mu      sync.Mutex
	ticked  cowslipbend.Time
	entries int
	buckets []*bucket
}

// bucket is one limit with this entry's share of it.
type bucket struct {
	limit    cowslipbend.Limit
	tokens   *rate.Limiter
	admitted int64 // since the last tick
	wanted   int64
	demand   demand
	last     Count
}

// New returns a limiter without limits.
func New(clock cowslipbend.Clock) *Limiter {
	return &Limiter{clock: clock, ticked: clock.Now(), entries: 1}
}

// Declare puts the limits of a set in force. A limit that stays as it was
// keeps its tokens.
func (l *Limiter) Declare(limits []cowslipbend.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := map[cowslipbend.Limit]*bucket{}
	for _, b := range l.buckets {
		old[b.limit] = b
	}
	l.buckets = make([]*bucket, 0, len(limits))
	for _, m := range limits {
		b, kept := old[m]
		if !kept {
			b = &bucket{limit: m, tokens: rate.NewLimiter(0, 0), demand: demand{peers: map[cowslipbend.EntryID]heard{}}}
			b.share(l.now(), 1/float64(l.entries))
			b.fill()
		}
		l.buckets = append(l.buckets, b)
	}
}

// now is the clock's time as package rate wants it.
func (l *Limiter) now() time.Time { return time.UnixMilli(int64(l.clock.Now())) }

// share sets the part of the limit that this entry admits.
func (b *bucket) share(now time.Time, part float64) {
	burst := b.limit.Burst
	if burst == 0 {
		burst = b.limit.Rate
	}
	b.tokens.SetLimitAt(now, rate.Limit(b.limit.Rate*part))
	b.tokens.SetBurstAt(now, max(int(burst*part), 1))
}

// fill gives a new bucket its whole burst.
func (b *bucket) fill() {
	b.tokens = rate.NewLimiter(b.tokens.Limit(), b.tokens.Burst())
}

// Admit takes a token of every limit that covers the request, or none and
// returns KindLimited with the time after which to try again.
func (l *Limiter) Admit(team cowslipbend.TeamID, service cowslipbend.ServiceID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var refused *bucket
	for _, b := range l.buckets {
		if !covers(b.limit, team, service) {
			continue
		}
		b.wanted++
		if refused == nil && b.tokens.TokensAt(now) < 1 {
			refused = b
		}
	}
	if refused != nil {
		return refused.refusal(now)
	}
	for _, b := range l.buckets {
		if covers(b.limit, team, service) {
			b.tokens.AllowN(now, 1)
			b.admitted++
		}
	}
	return nil
}

// refusal says when the next token comes.
func (b *bucket) refusal(now time.Time) error {
	missing := 1 - b.tokens.TokensAt(now)
	wait := cowslipbend.Span(missing / float64(b.tokens.Limit()) * float64(cowslipbend.Second))
	return &cowslipbend.Error{
		Kind: cowslipbend.KindLimited, What: "limit " + b.limit.Name + " is used up",
		Remedy: "send less, or raise the limit's rate", After: max(wait, cowslipbend.Millisecond),
	}
}

func covers(m cowslipbend.Limit, team cowslipbend.TeamID, service cowslipbend.ServiceID) bool {
	return (m.Team == "" || m.Team == team) && (m.Service == "" || m.Service == service)
}
