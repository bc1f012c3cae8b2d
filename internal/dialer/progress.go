package dialer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cowslipbend.dev"
)

// Limits of a transfer.
const (
	// maxPause is the longest pause within a reply. A connection that passes nothing
	// for longer is taken for dead.
	maxPause = 900 * cowslipbend.Millisecond
	// maxTransfer ends a transfer that never pauses for long and never finishes.
	maxTransfer = 20 * cowslipbend.Second
	// unwatchedBody is the size in bytes up to which a request is handed to the
	// connection at once, so that its sending tells nothing about the peer.
	unwatchedBody = 32 << 10
	// watchedRead limits one read in bytes. A read of a chunked reply returns only when
	// it has filled its buffer.
	watchedRead = 4 << 10
)

// Watched returns a client that uses the transport of another one and cancels
// requests that make no progress. The timeout limits the wait for the start of the
// reply, and each pause while a large request is sent; maxPause and maxTransfer limit
// the transfer of the reply. Unlike a limit on the whole request, this does not depend
// on the size of the bodies and the bandwidth: a limit that is too short for a large
// reply would end each attempt to read it.
func Watched(c *http.Client, timeout cowslipbend.Span) *http.Client {
	watched := *c
	watched.Transport = watchedTransport{c.Transport, timeout}
	return &watched
}

// watchedTransport cancels requests that make no progress.
type watchedTransport struct {
	next    http.RoundTripper
	timeout cowslipbend.Span
}

// RoundTrip sends a copy of the request whose context ends without progress.
func (t watchedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p := newProgress(r.Context(), t.timeout)
	r = r.WithContext(p.ctx)
	if r.ContentLength > unwatchedBody {
		watchBody(r, p, t.timeout)
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		err = p.explain(err)
		p.stop()
		return nil, err
	}
	p.beginReply()
	resp.Body = &watchedReply{watchedBody{resp.Body, p, maxPause}}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t watchedTransport) CloseIdleConnections() { closeIdleConnections(t.next) }

// watchBody makes the reading of the request's body by the transport count as
// progress.
func watchBody(r *http.Request, p *progress, pause cowslipbend.Span) {
	r.Body = &watchedBody{r.Body, p, pause}
	get := r.GetBody
	if get == nil {
		return
	}
	r.GetBody = func() (io.ReadCloser, error) {
		body, err := get()
		return &watchedBody{body, p, pause}, err
	}
}

// progress cancels its context if it is not advanced in time.
type progress struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	startedAt time.Time
	pause     cowslipbend.Span
	timer     *time.Timer
	stopped   bool
}

func newProgress(ctx context.Context, pause cowslipbend.Span) *progress {
	p := &progress{startedAt: time.Now(), pause: pause}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(pause.Duration(), p.expire)
	return p
}

// beginReply starts the transfer of the reply, which has a time of its own.
func (p *progress) beginReply() {
	p.mu.Lock()
	p.startedAt = time.Now()
	p.mu.Unlock()
	p.advance(maxPause)
}

// advance allows a further pause, as long as the transfer may last.
func (p *progress) advance(pause cowslipbend.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := maxTransfer - cowslipbend.SpanOf(time.Since(p.startedAt))
	if p.stopped || left <= 0 {
		return
	}
	p.pause = pause
	p.timer.Reset(min(pause, left).Duration())
}

// stop ends the watching and releases the context.
func (p *progress) stop() {
	p.mu.Lock()
	p.stopped = true
	p.timer.Stop()
	p.mu.Unlock()
	p.cancel(nil)
}

func (p *progress) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.startedAt) >= maxTransfer.Duration() {
		p.cancel(fmt.Errorf("transfer has not finished within %v", maxTransfer))
		return
	}
	p.cancel(fmt.Errorf("nothing was transferred for %v", p.pause))
}

// explain returns the reason for which the context was cancelled in place of the
// error that follows from it. A DialError, which proves that nothing was sent, remains.
func (p *progress) explain(err error) error {
	if cause := context.Cause(p.ctx); cause != nil && !Unsent(err) {
		return cause
	}
	return err
}

// watchedBody is a body, reading from which counts as progress.
type watchedBody struct {
	io.ReadCloser
	progress *progress
	pause    cowslipbend.Span
}

// Read reads from the body.
func (b *watchedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data[:min(len(data), watchedRead)])
	if n > 0 {
		b.progress.advance(b.pause)
	}
	return n, err
}

// watchedReply is the body of a reply.
type watchedReply struct{ watchedBody }

// Read reads from the body. An error tells why the transfer was ended.
func (b *watchedReply) Read(data []byte) (int, error) {
	n, err := b.watchedBody.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.progress.explain(err)
	}
	return n, err
}

// Close closes the body and ends the watching.
func (b *watchedReply) Close() error {
	defer b.progress.stop()
	return b.ReadCloser.Close()
}
