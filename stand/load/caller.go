// Package load generates load on the entries: requests of callers to a service,
// and submissions of batch jobs. It records refusals and wrong answers to requests
// in the judge.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/firm"
	"cowslipbend.dev/stand/judge"
)

// Options configure the load of callers.
type Options struct {
	Firm firm.Firm
	// Rate is in requests per second. Watchers is the number of concurrent
	// streaming requests, which come on top of it.
	Rate     float64
	Watchers int
	// PostPercent is the percentage of requests that are non-idempotent, and
	// RepeatPercent the percentage of those that are sent twice.
	PostPercent   int
	RepeatPercent int
	Seed          uint64
}

// DefaultOptions returns the load of a firm's callers without a surge.
func DefaultOptions(f firm.Firm, seed uint64) Options {
	return Options{Firm: f, Rate: 300, Watchers: 6, PostPercent: 10, RepeatPercent: 20, Seed: seed}
}

// Callers sends requests in an open loop: the times at which they are due do not
// depend on answers, and latencies are measured from the due time.
type Callers struct {
	opts              Options
	balancer          *Balancer
	judge             judge.Recorder
	client            *http.Client
	counts            *counter
	requestsPerSecond atomic.Int64

	mu  sync.Mutex
	rnd *rand.Rand
}

// maxIdleConns is the most idle connections kept to one entry.
const maxIdleConns = 512

// New returns callers that send through the balancer and record in j.
func New(opts Options, b *Balancer, j judge.Recorder) *Callers {
	tr := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	c := &Callers{
		opts: opts, balancer: b, judge: j, client: &http.Client{Transport: tr},
		counts: newCounter(opts.Firm.Objective), rnd: rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	c.requestsPerSecond.Store(int64(opts.Rate))
	return c
}

// SetRate changes the number of requests per second.
func (c *Callers) SetRate(rate float64) { c.requestsPerSecond.Store(int64(rate)) }

// Run sends requests as a Poisson process of the rate until the context ends, and
// then waits for the answers.
func (c *Callers) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	var g errgroup.Group
	for range c.opts.Watchers {
		g.Go(func() error {
			c.runWatcher(ctx)
			return nil
		})
	}
	nextAt := time.Now()
	for ctx.Err() == nil {
		nextAt = nextAt.Add(c.drawGap())
		if wait := time.Until(nextAt); wait > 0 {
			time.Sleep(wait)
		}
		dueAt := nextAt
		g.Go(func() error {
			c.sendRandom(dueAt)
			return nil
		})
	}
	return g.Wait()
}

// drawGap draws the time between two due times.
func (c *Callers) drawGap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rnd.ExpFloat64() / float64(max(c.requestsPerSecond.Load(), 1)) * float64(time.Second))
}

func (c *Callers) drawInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// fullPercent is 100 %.
const fullPercent = 100

// sendRandom sends a check or a post, as drawn, and may send the post twice.
func (c *Callers) sendRandom(dueAt time.Time) {
	if c.drawInt(fullPercent) >= c.opts.PostPercent {
		c.call(request{path: "/check"}, dueAt, true)
		return
	}
	post := request{path: "/post", id: cowslipbend.DrawID()}
	repeats := c.drawInt(fullPercent) < c.opts.RepeatPercent
	if !repeats {
		c.call(post, dueAt, true)
		return
	}
	repeatDelay := time.Duration(c.drawInt(maxRepeatDelayMillis)) * time.Millisecond
	var g errgroup.Group
	g.Go(func() error {
		c.call(post, dueAt, true)
		return nil
	})
	g.Go(func() error {
		time.Sleep(repeatDelay)
		c.call(post, dueAt.Add(repeatDelay), false)
		return nil
	})
	_ = g.Wait()
}

// maxRepeatDelayMillis is the longest time from a post to its repeat. Some
// repeats arrive while the first one runs, and others find its stored answer.
const maxRepeatDelayMillis = 100

// call sends a request, and once more through another entry if the connection
// broke. That is safe, as a check is idempotent and a post carries an id. The
// latency counts from dueAt if timed is set.
func (c *Callers) call(r request, dueAt time.Time, timed bool) {
	var a answer
	for attempt := range maxAttempts {
		a = c.sendOnce(r)
		if !a.connBroken {
			break
		}
		if attempt < maxAttempts-1 {
			c.counts.resent.Add(1)
		}
	}
	c.counts.addAnswer(a, time.Since(dueAt), timed)
}

// maxAttempts bounds the transmissions of one request by call.
const maxAttempts = 2

// runWatcher sends one streaming request after the other until the context ends.
func (c *Callers) runWatcher(ctx context.Context) {
	for ctx.Err() == nil {
		a := c.sendOnce(request{path: watchPath, isWatch: true})
		c.counts.addWatch(a)
		if a.outcome != cowslipbend.Ran {
			time.Sleep(watchRetryDelay)
		}
	}
}

// watchPath requests a stream of 3 s; watchRetryDelay is the pause after one that
// failed.
const (
	watchPath       = "/watch?for=3000"
	watchRetryDelay = time.Second / 4
)

// Tally returns the counts and percentiles so far.
func (c *Callers) Tally() Tally { return c.counts.tally() }
