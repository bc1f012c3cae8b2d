package router

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
)

// maxError bounds an agent's error.
const maxError = 64 << 10 // bytes

// Failure is an error with the outcome that the caller is told.
type Failure struct {
	Outcome cowslipbend.Outcome
	Err     *cowslipbend.Error
	// again is set if the same target may do on a new connection.
	again bool
}

// Error returns the cause's text.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

func notRun(err error) error {
	return &Failure{Outcome: cowslipbend.NotRun, Err: cowslipbend.AsError(err)}
}

func uncertain(err error) error {
	return &Failure{Outcome: cowslipbend.Uncertain, Err: cowslipbend.AsError(err)}
}

// OutcomeOf returns the outcome behind an error of Do. An error without one
// is uncertain.
func OutcomeOf(err error) cowslipbend.Outcome {
	if f, ok := errors.AsType[*Failure](err); ok {
		return f.Outcome
	}
	return cowslipbend.Uncertain
}

// decodeError reads the error of a response and closes it. Reading it twice
// gives the same error.
func decodeError(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxError))
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(data))
	var e cowslipbend.Error
	if json.Unmarshal(data, &e) != nil || e.Kind == "" {
		return cowslipbend.Fail(cowslipbend.KindBroken, "agent answered "+resp.Status, "look at the agent's log")
	}
	return &e
}

// kept builds an answer from one that the agent kept.
func kept(reply *control.VoidReply) *Answer {
	h := http.Header{}
	for _, kv := range reply.GetHeader() {
		h.Add(kv.GetName(), kv.GetValue())
	}
	h.Set(cowslipbend.HeaderOutcome, string(cowslipbend.Ran))
	body := reply.GetBody()
	return &Answer{
		Status: int(reply.GetStatus()), Header: h, Length: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)),
	}
}

// endingBody calls end once when it is closed.
type endingBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the body and counts the end of the request.
func (b *endingBody) Close() error {
	b.once.Do(b.end)
	return b.ReadCloser.Close()
}
