// Package load plays callers and submitters of batch against the entries, and
// tells the judge what they were told.
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

// Options set the load of callers.
type Options struct {
	Firm firm.Firm
	// Rate is in requests a second, Watchers the count of open watchers.
	Rate     float64
	Watchers int
	// Posts is the share of non-idempotent requests, Repeats that of those
	// sent twice, in percent.
	Posts   int
	Repeats int
	Seed    uint64
}

// Usual returns the everyday load of a firm's callers.
func Usual(f firm.Firm, seed uint64) Options {
	return Options{Firm: f, Rate: 300, Watchers: 6, Posts: 10, Repeats: 20, Seed: seed}
}

// Callers is a group of callers. Requests are sent at moments that do not
// depend on answers, and timed from the moment at which each was due.
type Callers struct {
	opts     Options
	balancer *Balancer
	judge    judge.Recorder
	client   *http.Client
	tally    *counter
	rate     atomic.Int64 // requests a second

	mu  sync.Mutex
	rnd *rand.Rand
}

// idleConns is the count of idle connections to one entry.
const idleConns = 512

// New returns callers that have sent nothing.
func New(opts Options, b *Balancer, j judge.Recorder) *Callers {
	tr := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	c := &Callers{
		opts: opts, balancer: b, judge: j, client: &http.Client{Transport: tr},
		tally: newCounter(opts.Firm.Objective), rnd: rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	c.rate.Store(int64(opts.Rate))
	return c
}

// SetRate changes the requests a second.
func (c *Callers) SetRate(rate float64) { c.rate.Store(int64(rate)) }

// Run sends requests at the rate, at random moments, until the context ends,
// then waits for the answers.
func (c *Callers) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	var g errgroup.Group
	for range c.opts.Watchers {
		g.Go(func() error {
			c.watch(ctx)
			return nil
		})
	}
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(c.gap())
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		due := next
		g.Go(func() error {
			c.one(due)
			return nil
		})
	}
	return g.Wait()
}

// gap draws the time to the next request.
func (c *Callers) gap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rnd.ExpFloat64() / float64(max(c.rate.Load(), 1)) * float64(time.Second))
}

func (c *Callers) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// percent is the whole in percent.
const percent = 100

// one sends a check, or a posting that may be repeated.
func (c *Callers) one(due time.Time) {
	if c.draw(percent) >= c.opts.Posts {
		c.ask(request{path: "/check"}, due, true)
		return
	}
	post := request{path: "/post", id: cowslipbend.DrawID()}
	repeats := c.draw(percent) < c.opts.Repeats
	if !repeats {
		c.ask(post, due, true)
		return
	}
	pause := time.Duration(c.draw(maxPause)) * time.Millisecond
	var g errgroup.Group
	g.Go(func() error {
		c.ask(post, due, true)
		return nil
	})
	g.Go(func() error {
		time.Sleep(pause)
		c.ask(post, due.Add(pause), false)
		return nil
	})
	_ = g.Wait()
}

// maxPause is the longest time from a posting to its repeat, in milliseconds,
// so that some repeats meet the running one and some its kept answer.
const maxPause = 100

// ask sends a request until it gets an answer, at most twice: a caller whose
// connection broke asks again through another entry, which a check allows by
// its nature and a posting by its id.
func (c *Callers) ask(r request, due time.Time, timed bool) {
	var a answer
	for try := range maxTries {
		a = c.send(r)
		if !a.broken {
			break
		}
		if try < maxTries-1 {
			c.tally.resent.Add(1)
		}
	}
	c.tally.add(a, time.Since(due), timed)
}

// maxTries bounds the sendings of one request whose connection breaks.
const maxTries = 2

// watch opens one watcher after the other.
func (c *Callers) watch(ctx context.Context) {
	for ctx.Err() == nil {
		a := c.send(request{path: watchFor, watch: true})
		c.tally.watched(a)
		if a.outcome != cowslipbend.Ran {
			time.Sleep(watchPause)
		}
	}
}

// watchFor is how long one watcher stays, in milliseconds, written as the
// path's query; watchPause follows one that failed.
const (
	watchFor   = "/watch?for=3000"
	watchPause = time.Second / 4
)

// Tally returns the counts.
func (c *Callers) Tally() Tally { return c.tally.sum() }
