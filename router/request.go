package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/forwarder"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/tracker"
)

// Request is a caller's request.
type Request struct {
	Service cowslipbend.ServiceID
	Team    cowslipbend.TeamID
	// ID is the caller's id; required for non-idempotent requests.
	ID string
	// NonIdempotent marks a request that runs at most once under its id.
	NonIdempotent bool
	// Watch marks a stream without a time limit.
	Watch  bool
	Method string
	// Path is the escaped path after the service name, Query the raw query.
	Path  string
	Query string
	// Header must not be used by the caller of Do afterwards, as the router
	// changes it.
	Header http.Header
	// Body is the body of a request that is not replayable.
	Body io.Reader
	// Buffered is the complete body of a replayable request.
	Buffered []byte
	// Replayable tells that the body is in Buffered, so that more than one
	// attempt can be made.
	Replayable bool
	// Timeout is the time left for the answer; zero means no limit.
	Timeout cowslipbend.Span
	// Objective is the latency objective of the service.
	Objective cowslipbend.Span
	// QueueLimit bounds the waiting requests of the service at this entry; zero
	// means Options.QueueLimit.
	QueueLimit int

	// headerUsed tells that an attempt has taken Header, so that the next one
	// needs a copy.
	headerUsed bool
}

// newAttemptRequest returns the HTTP request of one attempt. The first attempt
// uses req.Header itself, later ones a copy.
func (r *Router) newAttemptRequest(ctx context.Context, req *Request, t *tracker.Target, id cowslipbend.RequestID, token cowslipbend.Time) *http.Request {
	header := req.Header
	if req.headerUsed || header == nil {
		header = header.Clone()
	}
	if header == nil {
		header = http.Header{}
	}
	req.headerUsed = true
	header[cowslipbend.HeaderRequest] = []string{string(id)}
	header[cowslipbend.HeaderLife] = []string{string(t.Agent.Life)}
	header[cowslipbend.HeaderToken] = []string{strconv.FormatInt(int64(token), 10)}
	if r.opts.Secret != "" {
		header[dialer.HeaderSecret] = []string{r.opts.Secret}
	}
	if left := timeLeft(ctx); left > 0 {
		header[cowslipbend.HeaderDeadline] = []string{strconv.FormatInt(int64(left), 10)}
	}
	setFlag(header, cowslipbend.HeaderOnce, req.NonIdempotent)
	setFlag(header, cowslipbend.HeaderWatch, req.Watch)
	host := strings.TrimPrefix(t.Agent.URL, "http://")
	out := &http.Request{
		Method: req.Method, Host: host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: host, Opaque: forwarder.PathPrefix + string(req.Service) + req.Path, RawQuery: req.Query},
	}
	req.setBody(out)
	return out.WithContext(ctx)
}

var flagSet = []string{"1"}

func setFlag(h http.Header, name string, on bool) {
	if on {
		h[name] = flagSet
		return
	}
	delete(h, name)
}

// setBody sets the body of an attempt. GetBody stays unset, so that the
// transport cannot repeat the request by itself: retries are the router's
// decision.
func (req *Request) setBody(out *http.Request) {
	switch {
	case req.Replayable && len(req.Buffered) == 0:
		out.Body = http.NoBody
	case req.Replayable:
		out.Body = io.NopCloser(bytes.NewReader(req.Buffered))
		out.ContentLength = int64(len(req.Buffered))
	default:
		out.Body = io.NopCloser(req.Body)
		out.ContentLength = -1
	}
	if req.NonIdempotent {
		dialer.SendOnce(out)
	}
}

// timeLeft returns the time until the deadline, at least a millisecond, or zero
// if there is no deadline.
func timeLeft(ctx context.Context) cowslipbend.Span {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(cowslipbend.SpanOf(time.Until(deadline)), 1)
}
