package receiver

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/bounder"
	"cowslipbend.dev/router"
)

// Limits of a request.
const (
	maxReplayableBytes = 256 << 10 // a larger body is streamed, so it cannot be retried
	maxDeadline        = 24 * cowslipbend.Hour
	bodyTimeout        = 30 * time.Second // to receive a body that is buffered
)

// parse reads the request from its path and headers. It reports all invalid values
// at once, as KindInvalid.
func parse(h *http.Request) (*router.Request, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(h.URL.EscapedPath(), PathPrefix), "/")
	req := &router.Request{
		Service: cowslipbend.ServiceID(service), Team: cowslipbend.TeamID(h.Header.Get(cowslipbend.HeaderTeam)),
		ID: h.Header.Get(cowslipbend.HeaderID), Method: h.Method,
		Path: "/" + path, Query: h.URL.RawQuery, Header: forwardedHeaders(h.Header), Body: h.Body,
	}
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("service", service))
	l.Add(cowslipbend.CheckName(cowslipbend.HeaderTeam, string(req.Team)))
	l.Add(parseFlag(h.Header, cowslipbend.HeaderOnce, &req.NonIdempotent))
	l.Add(parseFlag(h.Header, cowslipbend.HeaderWatch, &req.Watch))
	if req.NonIdempotent || req.ID != "" {
		l.Add(cowslipbend.CheckName(cowslipbend.HeaderID, req.ID))
	}
	if req.NonIdempotent && req.Watch {
		l.Add(cowslipbend.Invalid(cowslipbend.HeaderWatch, "is set on a non-idempotent request", "leave out one of the two"))
	}
	l.Add(parseDeadline(h.Header.Get(cowslipbend.HeaderDeadline), req))
	return req, l.Err()
}

// parseFlag sets value if the header is 1. The header may also be 0 or absent.
func parseFlag(h http.Header, name string, value *bool) error {
	switch h.Get(name) {
	case "", "0":
	case "1":
		*value = true
	default:
		return cowslipbend.Invalid(name, "is neither 0 nor 1", "give 1, or leave it out")
	}
	return nil
}

func parseDeadline(text string, req *router.Request) error {
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || cowslipbend.Span(ms) > maxDeadline {
		return cowslipbend.Invalid(cowslipbend.HeaderDeadline, strconv.Quote(text)+" is not a valid timeout", "give 1 to 86400000 milliseconds")
	}
	req.Timeout = cowslipbend.Span(ms)
	return nil
}

// forwardedHeaders returns the headers that are forwarded to the agent.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+addedHeaders)
	for name, values := range h {
		if isForwarded(name) {
			out[name] = values
		}
	}
	return out
}

// addedHeaders is about the number of headers that the router adds.
const addedHeaders = 6

// isForwarded reports whether a header is forwarded to the agent. Headers of the
// connection and those that the system sets itself are not.
func isForwarded(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return false
	case cowslipbend.HeaderID, cowslipbend.HeaderTeam:
		return true
	}
	return !strings.HasPrefix(name, "Cowslip-")
}

// bufferBody reads the body into the request if it is small enough to be
// replayed. It refuses a larger body of a non-idempotent request, as the digest in
// the claim of that request covers the whole body.
func bufferBody(w http.ResponseWriter, h *http.Request, req *router.Request) error {
	if h.ContentLength == 0 || h.Body == nil || h.Body == http.NoBody {
		req.Replayable = true
		return nil
	}
	if h.ContentLength > maxReplayableBytes {
		bounder.Stream(h.Body)
		return checkLargeBody(req)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // The writers of some tests do not support it.
	data, err := readBody(h)
	_ = control.SetReadDeadline(time.Time{})
	if refusal := bounder.Refusal(err); refusal != nil {
		return refusal
	}
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "send the whole body, within 30s", "request body is incomplete")
	}
	if len(data) <= maxReplayableBytes {
		bounder.Settle(h.Body, cowslipbend.Bytes(len(data)))
		req.Buffered, req.Replayable = data, true
		return nil
	}
	bounder.Stream(h.Body)
	req.Body = io.MultiReader(strings.NewReader(string(data)), h.Body)
	return checkLargeBody(req)
}

// checkLargeBody returns an error if a request with a large body is
// non-idempotent.
func checkLargeBody(req *router.Request) error {
	if req.NonIdempotent {
		return cowslipbend.Invalid("body", "is larger than 256 KB", "store it as an object and send the name")
	}
	return nil
}

// readBody returns the whole body, or, if it has no declared length and is
// larger than can be replayed, one byte more than that limit.
func readBody(h *http.Request) ([]byte, error) {
	// The buffer grows with what arrives, as a declared length may never come.
	data, err := io.ReadAll(io.LimitReader(h.Body, maxReplayableBytes+1))
	if err == nil && int64(len(data)) < h.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}
