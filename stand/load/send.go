package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/worker"
)

// request is one request of a caller. One with an id is non-idempotent.
type request struct {
	path    string
	id      string
	isWatch bool
}

// answer is the result of a request.
type answer struct {
	outcome        cowslipbend.Outcome
	errorKind      cowslipbend.Kind // of the error that goes with an outcome other than Ran
	endpointFailed bool             // the endpoint answered with a status other than 200
	connBroken     bool             // the connection broke before an outcome or a complete answer
}

// callTimeout bounds one transmission. It exceeds the timeout of the service, so
// that the system answers first.
const callTimeout = 10 * time.Second

// sendOnce sends a request once. It records in the judge a refusal, and an answer
// that is incomplete or belongs to another request.
func (c *Callers) sendOnce(r request) answer {
	nonce := cowslipbend.DrawID()
	sentAt := judge.Now()
	resp, body, err := c.exchange(r, nonce)
	if resp == nil {
		return answer{outcome: cowslipbend.Uncertain, errorKind: cowslipbend.KindDown, connBroken: true}
	}
	switch outcome := cowslipbend.Outcome(resp.Header.Get(cowslipbend.HeaderOutcome)); {
	case outcome == cowslipbend.NotRun:
		c.judge.Record(judge.Event{Kind: judge.NotRun, Nonce: nonce, ID: c.judgeID(r.id), From: sentAt})
		return answer{outcome: outcome, errorKind: errorKindIn(body)}
	case outcome == cowslipbend.Uncertain:
		return answer{outcome: outcome, errorKind: errorKindIn(body)}
	case err != nil || outcome != cowslipbend.Ran:
		return answer{outcome: cowslipbend.Uncertain, errorKind: cowslipbend.KindDown, connBroken: true}
	}
	wantPrefix := nonce
	if r.id != "" {
		wantPrefix = r.id
	}
	if !strings.HasPrefix(body, wantPrefix+" ") || !strings.HasSuffix(body, worker.EndMark) {
		c.judge.Record(judge.Event{Kind: judge.WrongAnswer, Nonce: nonce, ID: c.judgeID(r.id), Reason: resp.Status})
	}
	return answer{outcome: cowslipbend.Ran, endpointFailed: resp.StatusCode != http.StatusOK}
}

// judgeID returns the id with the prefix of the callers' team, as endpoints
// record it, or an empty string without an id.
func (c *Callers) judgeID(id string) string {
	if id == "" {
		return ""
	}
	return string(c.opts.Firm.Team) + "/" + id
}

// errorKindIn returns the kind of the error in an answer's JSON body, or an empty
// one if the body is not such an error.
func errorKindIn(body string) cowslipbend.Kind {
	var e cowslipbend.Error
	if json.Unmarshal([]byte(body), &e) != nil {
		return ""
	}
	return e.Kind
}

// exchange sends the request and reads the whole body of the answer. The response
// is nil if no response header arrived.
func (c *Callers) exchange(r request, nonce string) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	entry := c.balancer.Next()
	url := entry + "/call/" + string(c.opts.Firm.Service) + r.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("question"))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set(cowslipbend.HeaderTeam, string(c.opts.Firm.Team))
	req.Header.Set(worker.HeaderNonce, nonce)
	if r.isWatch {
		req.Header.Set(cowslipbend.HeaderWatch, "1")
		req.Header.Set(cowslipbend.HeaderDeadline, watchDeadlineMillis)
	}
	if r.id != "" {
		req.Header.Set(cowslipbend.HeaderOnce, "1")
		req.Header.Set(cowslipbend.HeaderID, r.id)
	}
	// Without GetBody, the transport cannot retransmit the request by itself.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		c.balancer.MarkFailed(entry)
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// watchDeadlineMillis is the deadline header of streaming requests, in
// milliseconds.
const watchDeadlineMillis = "9000"
