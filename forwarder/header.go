package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
)

// attempt is what an entry asks for in path and headers.
type attempt struct {
	admitter.Request
	path string
	// deadline is the time left; zero means no limit.
	deadline cowslipbend.Span
}

// maxDeadline bounds the time that an entry gives.
const maxDeadline = 7 * cowslipbend.Day

// parse reads the attempt's headers and the path behind the service name, or
// returns all faults as KindInvalid.
func parse(r *http.Request) (attempt, error) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), Prefix), "/")
	h := r.Header
	a := attempt{path: "/" + path, Request: admitter.Request{
		ID:      cowslipbend.RequestID(h.Get(cowslipbend.HeaderRequest)),
		Service: cowslipbend.ServiceID(service),
		Life:    cowslipbend.Incarnation(h.Get(cowslipbend.HeaderLife)),
		Once:    h.Get(cowslipbend.HeaderOnce) == "1",
		Watch:   h.Get(cowslipbend.HeaderWatch) == "1",
	}}
	var l cowslipbend.Errors
	l.Add(cowslipbend.CheckName(cowslipbend.HeaderRequest, string(a.ID)))
	l.Add(cowslipbend.CheckName("service", service))
	token, err := strconv.ParseInt(h.Get(cowslipbend.HeaderToken), 10, 64)
	if err != nil || token < 0 {
		l.Add(cowslipbend.Invalid(cowslipbend.HeaderToken, "is no time token", "send the token of the agent's last answer"))
	}
	a.Token = cowslipbend.Time(token)
	if text := h.Get(cowslipbend.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || cowslipbend.Span(ms) > maxDeadline {
			l.Add(cowslipbend.Invalid(cowslipbend.HeaderDeadline, "is no time left", "give 1 millisecond to 7 days"))
		}
		a.deadline = cowslipbend.Span(ms)
	}
	return a, l.Err()
}

// hop lists the headers that belong to one connection, and those of the
// attempt that an endpoint does not need.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Cowslip-Life": true, "Cowslip-Token": true, "Cowslip-Secret": true, "Cowslip-State": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hop[name] {
			to[name] = values
		}
	}
}

// State is what an agent tells about a service on each answer.
type State struct {
	Slots    int
	Inflight int
	Conns    int
	Open     int   // connections taken
	Latency  int64 // microseconds
	Errors   int   // per mille
	Leaving  bool
}

// FormatState writes a state as seven numbers.
func FormatState(s State) string {
	leaving := 0
	if s.Leaving {
		leaving = 1
	}
	b := make([]byte, 0, 48)
	for _, n := range [stateParts]int64{int64(s.Slots), int64(s.Inflight), int64(s.Conns), int64(s.Open), s.Latency, int64(s.Errors), int64(leaving)} {
		b = strconv.AppendInt(b, n, 10)
		b = append(b, ' ')
	}
	return string(b[:len(b)-1])
}

// stateParts is the count of numbers in a formatted state.
const stateParts = 7

// ParseState reads what FormatState wrote, or returns KindInvalid.
func ParseState(text string) (State, error) {
	var n [stateParts]int64
	rest := text
	for i := range n {
		field, after, more := strings.Cut(rest, " ")
		v, err := strconv.ParseInt(field, 10, 32)
		if err != nil || v < 0 || more == (i == stateParts-1) {
			return State{}, cowslipbend.Invalid(cowslipbend.HeaderState, strconv.Quote(text)+" is no state", "check the agent's version")
		}
		n[i], rest = v, after
	}
	return State{
		Slots: int(n[0]), Inflight: int(n[1]), Conns: int(n[2]), Open: int(n[3]),
		Latency: n[4], Errors: int(n[5]), Leaving: n[6] == 1,
	}, nil
}
