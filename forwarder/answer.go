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

// Sizes in bytes.
const (
	// MaxBufferedAnswer is the size of the largest answer that is read
	// completely before it is passed on.
	MaxBufferedAnswer = 64 << 10
	copyBufferSize    = 16 << 10 // per stream
)

// copyBuffers recycles the buffers of copyStream.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeAnswer passes on an endpoint's answer. A small answer of known length is
// read completely first, so that a truncated one is reported as an error. Any
// other answer is streamed.
func (f *Forwarder) writeAnswer(ctx context.Context, w http.ResponseWriter, resp *http.Response, a attempt, t *admitter.Ticket) {
	if resp.ContentLength < 0 || resp.ContentLength > MaxBufferedAnswer {
		f.streamAnswer(ctx, w, resp, a, t)
		return
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		f.writeFailure(ctx, w, a, t, err)
		return
	}
	t.Finish(admitter.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, true, isServerError(resp))
	f.writeHeader(w, resp, a)
	_, _ = w.Write(body) // The entry detects an incomplete answer itself.
}

func isServerError(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusInternalServerError
}

// writeHeader writes the status and the headers of an answer.
func (f *Forwarder) writeHeader(w http.ResponseWriter, resp *http.Response, a attempt) {
	h := w.Header()
	copyHeaders(h, resp.Header)
	h[cowslipbend.HeaderOutcome] = outcomeRan
	h[cowslipbend.HeaderRequest] = []string{string(a.ID)}
	f.setState(h, a.Service)
	if resp.ContentLength >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w.WriteHeader(resp.StatusCode)
}

// outcomeRan is the outcome header of every answer that comes from an endpoint.
var outcomeRan = []string{string(cowslipbend.Ran)}

// streamAnswer passes on an answer as it arrives. If reading or writing fails,
// it aborts the connection, so that the entry never takes a truncated answer
// for a complete one. Only a watch may end early, and its trailer says so.
func (f *Forwarder) streamAnswer(ctx context.Context, w http.ResponseWriter, resp *http.Response, a attempt, t *admitter.Ticket) {
	hasTrailer := a.Watch && resp.ContentLength < 0
	if hasTrailer {
		w.Header().Set("Trailer", cowslipbend.HeaderEnd)
	}
	f.writeHeader(w, resp, a)
	if hasTrailer {
		// Without the flush, net/http would give an answer that ends at once a
		// Content-Length and no trailer.
		_ = http.NewResponseController(w).Flush()
	}
	captured := &capture{limit: int(f.maxAnswerSize), disabled: !a.NonIdempotent}
	readErr, writeErr := copyStream(w, resp.Body, captured)
	finishTicket(ctx, t, resp, captured, readErr, writeErr)
	end := cowslipbend.EndWhole
	if hasTrailer && readErr != nil && f.watchCtx.Err() != nil {
		end, readErr = cowslipbend.EndLeaving, nil
	}
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	if hasTrailer {
		w.Header().Set(cowslipbend.HeaderEnd, end)
	}
}

// finishTicket closes the ticket of a stream. If this side broke off the stream,
// the ticket is abandoned, as the endpoint may still be working on the request.
func finishTicket(ctx context.Context, t *admitter.Ticket, resp *http.Response, captured *capture, readErr, writeErr error) {
	stoppedReading := writeErr != nil && captured.disabled
	if stoppedReading || readErr != nil && ctx.Err() != nil {
		t.Abandon()
		return
	}
	a := admitter.Answer{Status: resp.StatusCode, Header: resp.Header, Body: captured.data}
	t.Finish(a, readErr == nil && captured.complete(), readErr != nil || isServerError(resp))
}

// capture keeps a copy of a stream of at most limit bytes. A longer stream is
// not kept at all.
type capture struct {
	data       []byte
	limit      int
	disabled   bool
	overflowed bool
}

func (c *capture) add(p []byte) {
	if c.disabled || c.overflowed {
		return
	}
	if len(c.data)+len(p) > c.limit {
		c.overflowed = true
		c.data = nil
		return
	}
	c.data = append(c.data, p...)
}

func (c *capture) complete() bool { return !c.disabled && !c.overflowed }

// copyStream copies data as it arrives and flushes after each write. If a write
// fails and the capture is enabled, it reads the rest of the stream for the
// capture, so that the answer is kept for a repeated request.
func copyStream(w http.ResponseWriter, from io.Reader, captured *capture) (readErr, writeErr error) {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	controller := http.NewResponseController(w)
	for {
		n, err := from.Read(buf[:])
		captured.add(buf[:n])
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
		}
		if err == io.EOF {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
		if writeErr != nil && captured.disabled {
			return nil, writeErr
		}
		if writeErr == nil {
			writeErr = controller.Flush()
		}
	}
}
