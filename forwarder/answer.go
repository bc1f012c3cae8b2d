package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
)

// Sizes of answers in bytes.
const (
	// Small is the largest answer that is read whole before it is passed on.
	Small      = 64 << 10
	copyBuffer = 16 << 10 // of one stream
)

// buffers holds the buffers of streams.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// answer passes an endpoint's answer on. A small one of known length is read
// whole first, so that a broken one is told as such; any other is streamed.
func (f *Forwarder) answer(ctx context.Context, w http.ResponseWriter, resp *http.Response, a attempt, t *admitter.Ticket) {
	if resp.ContentLength < 0 || resp.ContentLength > Small {
		f.stream(ctx, w, resp, a, t)
		return
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		f.failed(ctx, w, a, t, err)
		return
	}
	t.Finish(admitter.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, true, failure(resp))
	f.head(w, resp, a)
	_, _ = w.Write(body) // Whether the entry has it is for the entry to find out.
}

func failure(resp *http.Response) bool { return resp.StatusCode >= http.StatusInternalServerError }

// head writes status and headers.
func (f *Forwarder) head(w http.ResponseWriter, resp *http.Response, a attempt) {
	h := w.Header()
	copyHeader(h, resp.Header)
	h[cowslipbend.HeaderOutcome] = ran
	h[cowslipbend.HeaderRequest] = []string{string(a.ID)}
	f.state(h, a.Service)
	if resp.ContentLength >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w.WriteHeader(resp.StatusCode)
}

// ran is the outcome of every answer that an endpoint gave.
var ran = []string{string(cowslipbend.Ran)}

// stream passes an answer on as it comes. A broken one aborts the stream, so
// that it never looks whole; only a watch may end early, and its trailer says
// so.
func (f *Forwarder) stream(ctx context.Context, w http.ResponseWriter, resp *http.Response, a attempt, t *admitter.Ticket) {
	trailer := a.Watch && resp.ContentLength < 0
	if trailer {
		w.Header().Set("Trailer", cowslipbend.HeaderEnd)
	}
	f.head(w, resp, a)
	if trailer {
		// An answer that ends at once would else get a length and no trailer.
		_ = http.NewResponseController(w).Flush()
	}
	kept := &capture{limit: int(f.limit), skip: !a.Once}
	readErr, writeErr := flow(w, resp.Body, kept)
	closeStream(ctx, t, resp, kept, readErr, writeErr)
	end := cowslipbend.EndWhole
	if trailer && readErr != nil && f.watches.Err() != nil {
		end, readErr = cowslipbend.EndLeaving, nil
	}
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	if trailer {
		w.Header().Set(cowslipbend.HeaderEnd, end)
	}
}

// closeStream closes the ticket of a stream. One that was broken off on this side
// leaves the endpoint at work.
func closeStream(ctx context.Context, t *admitter.Ticket, resp *http.Response, kept *capture, readErr, writeErr error) {
	unread := writeErr != nil && kept.skip
	if unread || readErr != nil && ctx.Err() != nil {
		t.Abandon()
		return
	}
	a := admitter.Answer{Status: resp.StatusCode, Header: resp.Header, Body: kept.data}
	t.Finish(a, readErr == nil && kept.whole(), readErr != nil || failure(resp))
}

// capture keeps a copy of what passes, up to a limit.
type capture struct {
	data  []byte
	limit int
	skip  bool
	over  bool
}

func (c *capture) add(p []byte) {
	if c.skip || c.over {
		return
	}
	if len(c.data)+len(p) > c.limit {
		c.over = true
		c.data = nil
		return
	}
	c.data = append(c.data, p...)
}

func (c *capture) whole() bool { return !c.skip && !c.over }

// flow copies and flushes as data comes. After a failed write it reads on for
// the capture, so that the answer is kept for a repeat.
func flow(w http.ResponseWriter, from io.Reader, kept *capture) (readErr, writeErr error) {
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	flush := http.NewResponseController(w)
	for {
		n, err := from.Read(buf[:])
		kept.add(buf[:n])
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
		}
		if err == io.EOF {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
		if writeErr != nil && kept.skip {
			return nil, writeErr
		}
		if writeErr == nil {
			writeErr = flush.Flush()
		}
	}
}
