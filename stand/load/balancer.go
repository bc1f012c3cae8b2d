package load

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Balancer stands in for the platform's balancer before the entries: it gives
// callers the URLs of those that were ready at its last look, in turn.
type Balancer struct {
	client *http.Client
	clock  cowslipbend.Clock
	turn   atomic.Uint64

	mu    sync.Mutex
	urls  []string
	ready []string
}

// Times of a balancer.
const (
	lookPeriod  = cowslipbend.Second / 5
	lookTimeout = time.Second / 2
)

// NewBalancer returns a balancer that takes the entries as ready.
func NewBalancer(urls []string, clock cowslipbend.Clock) *Balancer {
	return &Balancer{client: &http.Client{Timeout: lookTimeout}, clock: clock, urls: urls, ready: urls}
}

// Set replaces the entries. A new one is used once it is ready.
func (b *Balancer) Set(urls []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = append([]string(nil), urls...)
}

// Next returns the next ready entry, or any if none is.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.ready
	if len(list) == 0 {
		list = b.urls
	}
	return list[b.turn.Add(1)%uint64(len(list))]
}

// Failed takes an entry whose connection broke out of turn until the next
// look, unless it is the last one.
func (b *Balancer) Failed(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := slices.DeleteFunc(slices.Clone(b.ready), func(u string) bool { return u == url })
	if len(rest) > 0 {
		b.ready = rest
	}
}

// Run looks at the entries until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	defer b.client.CloseIdleConnections()
	return timer.Every(ctx, b.clock, lookPeriod, func(ctx context.Context) error {
		b.look(ctx)
		return nil
	})
}

func (b *Balancer) look(ctx context.Context) {
	b.mu.Lock()
	urls := b.urls
	b.mu.Unlock()
	up := make([]bool, len(urls))
	var g errgroup.Group
	for i, url := range urls {
		g.Go(func() error {
			up[i] = b.isReady(ctx, url)
			return nil
		})
	}
	_ = g.Wait()
	var ready []string
	for i, url := range urls {
		if up[i] {
			ready = append(ready, url)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
