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

// maxErrorBytes bounds the body of an error response that is read.
const maxErrorBytes = 64 << 10

// Failure is an error with the outcome that is reported to the caller.
type Failure struct {
	Outcome cowslipbend.Outcome
	Err     *cowslipbend.Error
	// retrySameTarget is set if the next attempt may use the same target, on a
	// new connection.
	retrySameTarget bool
}

// Error returns the text of Err.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns Err.
func (f *Failure) Unwrap() error { return f.Err }

func notRun(err error) error {
	return &Failure{Outcome: cowslipbend.NotRun, Err: cowslipbend.AsError(err)}
}

func uncertain(err error) error {
	return &Failure{Outcome: cowslipbend.Uncertain, Err: cowslipbend.AsError(err)}
}

// OutcomeOf returns the outcome of the Failure in the chain of err, or
// Uncertain if there is none.
func OutcomeOf(err error) cowslipbend.Outcome {
	if f, ok := errors.AsType[*Failure](err); ok {
		return f.Outcome
	}
	return cowslipbend.Uncertain
}

// decodeError returns the error in the body of a response. It closes the body
// and replaces it by a copy, so that the response can be decoded again.
func decodeError(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(data))
	var e cowslipbend.Error
	if json.Unmarshal(data, &e) != nil || e.Kind == "" {
		return cowslipbend.Fail(cowslipbend.KindBroken, "agent sent no valid error with its answer "+resp.Status, "look at the agent's log")
	}
	return &e
}

// keptAnswer returns the answer that an agent has stored for a request.
func keptAnswer(reply *control.VoidReply) *Answer {
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

// closeHookBody calls onClose on its first Close.
type closeHookBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close calls onClose, unless it has been called, and closes the body.
func (b *closeHookBody) Close() error {
	b.once.Do(b.onClose)
	return b.ReadCloser.Close()
}
