// Package caller exchanges JSON bodies between the processes of the system on
// the platform. Package dialer makes its connections; server answers errors in
// the form that it reads.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
)

// Bounds of a call.
const (
	maxBody = 4 << 20 // bytes; a host's lists with 500 ends are a tenth
	conns   = 4       // idle connections kept to a peer
)

// Caller calls other processes. Its methods are safe for concurrent use.
type Caller struct{ http *http.Client }

// New returns a caller.
func New() *Caller { return &Caller{http: dialer.Local(conns)} }

// Close drops the idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Call posts a body to a URL and decodes the answer. KindDown means that the
// request was not sent, KindUnknown that it may have had its effect.
func (c *Caller) Call(ctx context.Context, url string, in, out any, timeout cowslipbend.Span) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "call does not encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "report this", "bad URL of a peer")
	}
	req, connected := dialer.TrackConnected(req)
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		if !connected.Load() {
			return cowslipbend.Failf(cowslipbend.KindDown, err, "look at the peer", "peer does not answer")
		}
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "ask again", "peer gave no answer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "ask again", "peer's answer broke off")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return server.ReadError("peer", resp.Status, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "check the peer's version", "peer's answer does not decode")
	}
	return nil
}

// Handle serves calls with a body of type In by a function.
func Handle[In, Out any](mux *http.ServeMux, path string, do func(context.Context, *In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "send it whole", "body was not read"))
			return
		}
		var in In
		if err := json.Unmarshal(data, &in); err != nil {
			server.WriteError(w, cowslipbend.Failf(cowslipbend.KindInvalid, err, "check the peer's version", "body does not decode"))
			return
		}
		out, err := do(r.Context(), &in)
		if err != nil {
			server.WriteError(w, cowslipbend.AsError(err))
			return
		}
		answer, err := json.Marshal(out)
		if err != nil {
			server.WriteError(w, cowslipbend.AsError(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer) // The caller repeats what it gets no answer to.
	})
}
