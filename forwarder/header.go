package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
)

// attempt is a request as described by the path and headers that an entry sent.
type attempt struct {
	admitter.Request
	path string
	// timeout is the time left until the caller's deadline; zero means no limit.
	timeout cowslipbend.Span
}

// maxTimeout is the longest timeout that is accepted.
const maxTimeout = 7 * cowslipbend.Day

// parse reads the headers, the service name and the path that follows it. It
// reports all faults at once, as KindInvalid.
func parse(r *http.Request) (attempt, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathPrefix), "/")
	h := r.Header
	a := attempt{path: "/" + path, Request: admitter.Request{
		ID:            cowslipbend.RequestID(h.Get(cowslipbend.HeaderRequest)),
		Service:       cowslipbend.ServiceID(service),
		Life:          cowslipbend.Incarnation(h.Get(cowslipbend.HeaderLife)),
		NonIdempotent: h.Get(cowslipbend.HeaderOnce) == "1",
		Watch:         h.Get(cowslipbend.HeaderWatch) == "1",
	}}
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName(cowslipbend.HeaderRequest, string(a.ID)))
	l.Add(cowslipbend.CheckName("service", service))
	token, err := strconv.ParseInt(h.Get(cowslipbend.HeaderToken), 10, 64)
	if err != nil || token < 0 {
		l.Add(cowslipbend.Invalid(cowslipbend.HeaderToken, "is not a time token", "send the token of the agent's last answer"))
	}
	a.Token = cowslipbend.Time(token)
	if text := h.Get(cowslipbend.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || cowslipbend.Span(ms) > maxTimeout {
			l.Add(cowslipbend.Invalid(cowslipbend.HeaderDeadline, "is not a valid timeout", "give 1 millisecond to 7 days"))
		}
		a.timeout = cowslipbend.Span(ms)
	}
	return a, l.Err()
}

// strippedHeaders lists the headers that are not passed on: the hop-by-hop headers
// of HTTP, and those between entry and agent that an endpoint does not need.
var strippedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Cowslip-Life": true, "Cowslip-Token": true, "Cowslip-Secret": true, "Cowslip-State": true,
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !strippedHeaders[name] {
			to[name] = values
		}
	}
}

// State is the state of a service on one agent, which the agent adds to each
// answer.
type State struct {
	Slots         int
	UsedSlots     int
	Conns         int
	OpenConns     int
	LatencyMicros int64
	ErrorPermille int
	Leaving       bool
}

// FormatState encodes a state as seven decimal numbers separated by spaces.
func FormatState(s State) string {
	leaving := 0
	if s.Leaving {
		leaving = 1
	}
	b := make([]byte, 0, 48)
	for _, n := range [stateFieldCount]int64{int64(s.Slots), int64(s.UsedSlots), int64(s.Conns), int64(s.OpenConns), s.LatencyMicros, int64(s.ErrorPermille), int64(leaving)} {
		b = strconv.AppendInt(b, n, 10)
		b = append(b, ' ')
	}
	return string(b[:len(b)-1])
}

// stateFieldCount is the number of fields of an encoded state.
const stateFieldCount = 7

// ParseState decodes the output of FormatState. Other text is KindInvalid.
func ParseState(text string) (State, error) {
	var n [stateFieldCount]int64
	rest := text
	for i := range n {
		field, after, more := strings.Cut(rest, " ")
		v, err := strconv.ParseInt(field, 10, 32)
		if err != nil || v < 0 || more == (i == stateFieldCount-1) {
			return State{}, cowslipbend.Invalid(cowslipbend.HeaderState, strconv.Quote(text)+" is not an encoded state", "check the agent's version")
		}
		n[i], rest = v, after
	}
	return State{
		Slots: int(n[0]), UsedSlots: int(n[1]), Conns: int(n[2]), OpenConns: int(n[3]),
		LatencyMicros: n[4], ErrorPermille: int(n[5]), Leaving: n[6] == 1,
	}, nil
}
