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

// Balancer simulates the platform's load balancer in front of the entries. It
// returns the URLs of the entries that were ready at its last poll, round robin.
type Balancer struct {
	client    *http.Client
	clock     cowslipbend.Clock
	nextIndex atomic.Uint64

	mu    sync.Mutex
	urls  []string // of all entries
	ready []string // of the entries that are returned
}

const (
	pollInterval = cowslipbend.Second / 5
	pollTimeout  = time.Second / 2
)

// NewBalancer returns a balancer that takes all entries for ready until its
// first poll.
func NewBalancer(urls []string, clock cowslipbend.Clock) *Balancer {
	return &Balancer{client: &http.Client{Timeout: pollTimeout}, clock: clock, urls: urls, ready: urls}
}

// SetURLs replaces the entries, with effect from the next poll.
func (b *Balancer) SetURLs(urls []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = append([]string(nil), urls...)
}

// Next returns the URL of the next ready entry, or of the next entry of all if
// none is ready.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.ready
	if len(list) == 0 {
		list = b.urls
	}
	return list[b.nextIndex.Add(1)%uint64(len(list))]
}

// MarkFailed excludes an entry whose connection broke until the next poll, unless
// it is the last ready one.
func (b *Balancer) MarkFailed(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := slices.DeleteFunc(slices.Clone(b.ready), func(u string) bool { return u == url })
	if len(rest) > 0 {
		b.ready = rest
	}
}

// Run polls the readiness of the entries until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	defer b.client.CloseIdleConnections()
	return timer.Every(ctx, b.clock, pollInterval, func(ctx context.Context) error {
		b.poll(ctx)
		return nil
	})
}

func (b *Balancer) poll(ctx context.Context) {
	b.mu.Lock()
	urls := b.urls
	b.mu.Unlock()
	isUp := make([]bool, len(urls))
	var g errgroup.Group
	for i, url := range urls {
		g.Go(func() error {
			isUp[i] = b.isReady(ctx, url)
			return nil
		})
	}
	_ = g.Wait()
	var ready []string
	for i, url := range urls {
		if isUp[i] {
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
