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

// request is what a caller wants. One with an id is non-idempotent.
type request struct {
	path  string
	id    string
	watch bool
}

// answer is what a caller got.
type answer struct {
	outcome cowslipbend.Outcome
	kind    cowslipbend.Kind // of the error behind an outcome other than ran
	failed  bool             // the endpoint itself answered with an error
	broken  bool             // the connection broke, without an outcome
}

// callTimeout is when a caller gives up; the service's own timeout is shorter.
const callTimeout = 10 * time.Second

// send sends a request once and tells the judge of a refusal or an answer that
// is not whole or not its own.
func (c *Callers) send(r request) answer {
	nonce := cowslipbend.DrawID()
	from := judge.Now()
	resp, body, err := c.exchange(r, nonce)
	if resp == nil {
		return answer{outcome: cowslipbend.Uncertain, kind: cowslipbend.KindDown, broken: true}
	}
	switch outcome := cowslipbend.Outcome(resp.Header.Get(cowslipbend.HeaderOutcome)); {
	case outcome == cowslipbend.NotRun:
		c.judge.Note(judge.Event{Kind: judge.NotRun, Nonce: nonce, ID: c.fullID(r.id), From: from})
		return answer{outcome: outcome, kind: kindIn(body)}
	case outcome == cowslipbend.Uncertain:
		return answer{outcome: outcome, kind: kindIn(body)}
	case err != nil || outcome != cowslipbend.Ran:
		return answer{outcome: cowslipbend.Uncertain, kind: cowslipbend.KindDown, broken: true}
	}
	mark := nonce
	if r.id != "" {
		mark = r.id
	}
	if !strings.HasPrefix(body, mark+" ") || !strings.HasSuffix(body, worker.EndMark) {
		c.judge.Note(judge.Event{Kind: judge.Wrong, Nonce: nonce, ID: c.fullID(r.id), Reason: resp.Status})
	}
	return answer{outcome: cowslipbend.Ran, failed: resp.StatusCode != http.StatusOK}
}

// fullID returns the id as the judge knows it, or nothing for none.
func (c *Callers) fullID(id string) string {
	if id == "" {
		return ""
	}
	return string(c.opts.Firm.Team) + "/" + id
}

func kindIn(body string) cowslipbend.Kind {
	var e cowslipbend.Error
	if json.Unmarshal([]byte(body), &e) != nil {
		return ""
	}
	return e.Kind
}

// exchange returns no response if none began.
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
	if r.watch {
		req.Header.Set(cowslipbend.HeaderWatch, "1")
		req.Header.Set(cowslipbend.HeaderDeadline, watchDeadline)
	}
	if r.id != "" {
		req.Header.Set(cowslipbend.HeaderOnce, "1")
		req.Header.Set(cowslipbend.HeaderID, r.id)
	}
	// The transport must not send a request again by itself.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		c.balancer.Failed(entry)
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// watchDeadline is a watcher's deadline in milliseconds.
const watchDeadline = "9000"
