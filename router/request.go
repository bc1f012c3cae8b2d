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

// Request is a caller's request that has passed the limits.
type Request struct {
	Service cowslipbend.ServiceID
	Team    cowslipbend.TeamID
	// ID is the caller's id; required for non-idempotent requests.
	ID   string
	Once bool
	// Watch marks a stream without a time limit.
	Watch  bool
	Method string
	// Path is the escaped path behind the service name, Query what follows it.
	Path  string
	Query string
	// Header belongs to the router from the call of Do on.
	Header http.Header
	// Body is replayed for a second attempt if Whole holds it.
	Body  io.Reader
	Whole []byte
	// Replay is set if Whole is the body.
	Replay bool
	// Timeout is the time left for the answer; zero means none.
	Timeout cowslipbend.Span
	// Objective is the time in which the service promises its answers.
	Objective cowslipbend.Span
	// Queue bounds the requests of the service that wait here; zero means the
	// router's own bound.
	Queue int

	sent bool
}

// outgoing builds the request of one attempt. The first one takes the
// caller's headers as they are.
func (r *Router) outgoing(ctx context.Context, req *Request, t *tracker.Target, id cowslipbend.RequestID, token cowslipbend.Time) *http.Request {
	header := req.Header
	if req.sent || header == nil {
		header = header.Clone()
	}
	if header == nil {
		header = http.Header{}
	}
	req.sent = true
	header[cowslipbend.HeaderRequest] = []string{string(id)}
	header[cowslipbend.HeaderLife] = []string{string(t.Agent.Life)}
	header[cowslipbend.HeaderToken] = []string{strconv.FormatInt(int64(token), 10)}
	if r.opts.Secret != "" {
		header[dialer.HeaderSecret] = []string{r.opts.Secret}
	}
	if left := remaining(ctx); left > 0 {
		header[cowslipbend.HeaderDeadline] = []string{strconv.FormatInt(int64(left), 10)}
	}
	flag(header, cowslipbend.HeaderOnce, req.Once)
	flag(header, cowslipbend.HeaderWatch, req.Watch)
	host := strings.TrimPrefix(t.Agent.URL, "http://")
	out := &http.Request{
		Method: req.Method, Host: host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: host, Opaque: forwarder.Prefix + string(req.Service) + req.Path, RawQuery: req.Query},
	}
	req.fill(out)
	return out.WithContext(ctx)
}

var set = []string{"1"}

func flag(h http.Header, name string, on bool) {
	if on {
		h[name] = set
		return
	}
	delete(h, name)
}

// fill sets the body. It has no GetBody, as an attempt is sent once: repeats
// are the router's decision.
func (req *Request) fill(out *http.Request) {
	switch {
	case req.Replay && len(req.Whole) == 0:
		out.Body = http.NoBody
	case req.Replay:
		out.Body = io.NopCloser(bytes.NewReader(req.Whole))
		out.ContentLength = int64(len(req.Whole))
	default:
		out.Body = io.NopCloser(req.Body)
		out.ContentLength = -1
	}
	if req.Once {
		dialer.SendOnce(out)
	}
}

// remaining returns the time left, at least a millisecond, or zero for no
// limit.
func remaining(ctx context.Context) cowslipbend.Span {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(cowslipbend.SpanOf(time.Until(deadline)), 1)
}
