// Package caller makes and serves calls with JSON bodies between our processes
// on the users' platform. It connects by package dialer, and transfers errors in
// the form of package server.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"cowslipbend.dev"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
)

// Limits of a call.
const (
	maxBodySize  = 4 << 20 // bytes; ten times a report with 500 ended runs
	maxValues    = 1 << 17 // of a body; four times those of such a report
	maxIdleConns = 4       // to one peer
)

// Caller calls other processes. Its methods are safe for concurrent use.
type Caller struct {
	http    *http.Client
	replies *dialer.Replies
	metrics *instrumenter.Instrumenter
}

// New returns a caller without connections. It counts the bytes of its calls in
// the metrics, which may be nil.
func New(metrics *instrumenter.Instrumenter) *Caller {
	return &Caller{http: dialer.PooledHTTP1(maxIdleConns), metrics: metrics}
}

// ShareReplies bounds the replies together with those of other peers. It must be called before
// the first call.
func (c *Caller) ShareReplies(r *dialer.Replies) { c.replies = r }

// Close closes the idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Call posts in to a URL and decodes the reply into out, unless out is nil.
// KindDown means that the request was not sent, KindUnknown that it may have
// taken effect. Other kinds come from the peer. The timeout is that of
// dialer.Watched.
func (c *Caller) Call(ctx context.Context, url string, in, out any, timeout cowslipbend.Span) error {
	body, err := json.Marshal(in)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot encode the body of the call")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "report this", "URL of the peer is not valid")
	}
	req, connected := dialer.TrackConnected(req)
	resp, err := dialer.Watched(c.http, timeout).Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		if !connected.Load() {
			return cowslipbend.Failf(cowslipbend.KindDown, noReply{err}, "check that the peer runs and can be reached", "cannot connect to the peer")
		}
		return cowslipbend.Failf(cowslipbend.KindUnknown, noReply{err}, "call again", "peer did not reply")
	}
	defer resp.Body.Close()
	data, err := c.replies.Read(resp.Body, maxBodySize)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "call again", "reply of the peer was cut off")
	}
	c.metrics.RecordCall(req.URL.Path, len(body), len(data))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return server.ReadError("peer", resp.Status, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "check the peer's version", "cannot decode the reply of the peer")
	}
	return nil
}

// noReply is the cause of the error of a call that got no reply.
type noReply struct{ error }

// Unwrap returns the cause of the missing reply.
func (e noReply) Unwrap() error { return e.error }

// HasReply reports whether the peer has replied to the call that returned the
// error.
func HasReply(err error) bool {
	_, missing := errors.AsType[noReply](err)
	return !missing
}

// Handle registers a function for the calls to a path. It is called with the
// decoded body and returns the reply.
func Handle[In, Out any](mux *http.ServeMux, path string, handle func(context.Context, *In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
		if refusal := bounder.Refusal(err); refusal != nil {
			server.WriteError(w, refusal)
			return
		}
		if err != nil {
			server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send the whole body", "body of the call cannot be read"))
			return
		}
		if refusal := bounder.Reserve(r.Body, data, maxValues); refusal != nil {
			server.WriteError(w, refusal)
			return
		}
		var in In
		if err := json.Unmarshal(data, &in); err != nil {
			server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "check the peer's version", "cannot decode the body of the call"))
			return
		}
		out, err := handle(r.Context(), &in)
		if err != nil {
			server.WriteError(w, cowslipbend.AsError(err))
			return
		}
		reply, err := json.Marshal(out)
		if err != nil {
			server.WriteError(w, cowslipbend.AsError(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(reply) // The caller repeats a call without a reply.
	})
}

// CountBytes returns a handler that counts the bytes of the calls to another one.
// All paths that the other one accepts must be fixed, as each becomes a label.
func CountBytes(next http.Handler, metrics *instrumenter.Instrumenter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		if r.Pattern != "" {
			metrics.RecordCall(r.URL.Path, counted.written, int(max(r.ContentLength, 0)))
		}
	})
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	written int
}

// Write writes a part of the body.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	w.written += n
	return n, err
}
