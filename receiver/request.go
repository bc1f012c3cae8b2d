package receiver

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/router"
)

// Bounds of a request.
const (
	replayable  = 256 << 10 // bytes; a larger body is sent once
	maxDeadline = 24 * cowslipbend.Hour
	bodyTimeout = 30 * time.Second // for a body that is buffered
)

// parse reads path and headers, or returns all faults as KindInvalid.
func parse(h *http.Request) (*router.Request, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(h.URL.EscapedPath(), Prefix), "/")
	req := &router.Request{
		Service: cowslipbend.ServiceID(service), Team: cowslipbend.TeamID(h.Header.Get(cowslipbend.HeaderTeam)),
		ID: h.Header.Get(cowslipbend.HeaderID), Method: h.Method,
		Path: "/" + path, Query: h.URL.RawQuery, Header: passed(h.Header), Body: h.Body,
	}
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName("service", service))
	l.Add(cowslipbend.CheckName(cowslipbend.HeaderTeam, string(req.Team)))
	l.Add(flag(h.Header, cowslipbend.HeaderOnce, &req.Once))
	l.Add(flag(h.Header, cowslipbend.HeaderWatch, &req.Watch))
	if req.Once || req.ID != "" {
		l.Add(cowslipbend.CheckName(cowslipbend.HeaderID, req.ID))
	}
	if req.Once && req.Watch {
		l.Add(cowslipbend.Invalid(cowslipbend.HeaderWatch, "is set on a non-idempotent request", "leave out one of the two"))
	}
	l.Add(deadline(h.Header.Get(cowslipbend.HeaderDeadline), req))
	return req, l.Err()
}

// flag reads a header that is 1 or absent.
func flag(h http.Header, name string, on *bool) error {
	switch h.Get(name) {
	case "", "0":
	case "1":
		*on = true
	default:
		return cowslipbend.Invalid(name, "is neither 0 nor 1", "give 1, or leave it out")
	}
	return nil
}

func deadline(text string, req *router.Request) error {
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || cowslipbend.Span(ms) > maxDeadline {
		return cowslipbend.Invalid(cowslipbend.HeaderDeadline, strconv.Quote(text)+" is no time left", "give 1 to 86400000 milliseconds")
	}
	req.Timeout = cowslipbend.Span(ms)
	return nil
}

// passed returns the headers that go on to the endpoint.
func passed(h http.Header) http.Header {
	out := make(http.Header, len(h)+sentHeaders)
	for name, values := range h {
		if own(name) {
			out[name] = values
		}
	}
	return out
}

// sentHeaders is about how many headers the router adds.
const sentHeaders = 6

// own reports whether a header is the caller's, and not of the connection or
// of the system.
func own(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return false
	case cowslipbend.HeaderID, cowslipbend.HeaderTeam:
		return true
	}
	return !strings.HasPrefix(name, "Cowslip-")
}

// buffer reads a body that is small enough to be replayed. Non-idempotent
// requests must be, as their claim covers the body.
func buffer(w http.ResponseWriter, h *http.Request, req *router.Request) error {
	if h.ContentLength == 0 || h.Body == nil || h.Body == http.NoBody {
		req.Replayable = true
		return nil
	}
	if h.ContentLength > replayable {
		return large(req)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // Not all writers of tests can.
	data, err := read(h)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "send the whole body, within 30s", "request body broke off")
	}
	if len(data) <= replayable {
		req.Buffered, req.Replayable = data, true
		return nil
	}
	req.Body = io.MultiReader(strings.NewReader(string(data)), h.Body)
	return large(req)
}

// large refuses a large body of a non-idempotent request.
func large(req *router.Request) error {
	if req.Once {
		return cowslipbend.Invalid("body", "is larger than 256 KB", "put it in an object and name that")
	}
	return nil
}

// read returns the body, or one byte more than can be replayed.
func read(h *http.Request) ([]byte, error) {
	if h.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(h.Body, replayable+1))
	}
	data := make([]byte, h.ContentLength)
	_, err := io.ReadFull(h.Body, data)
	return data, err
}
