package crowder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cowslipbend.dev"
)

// Timing of ordinary callers.
const (
	callTimeout   = 3 * time.Second
	retryInterval = 100 * time.Millisecond
)

// OrdinaryJob is the body of an ordinary job.
const OrdinaryJob = `{"spec":"x","steps":[{"count":2,"cpu":200,"mem_mb":64,"estimate_ms":100},{"count":1,"cpu":200,"mem_mb":64,"estimate_ms":100,"after":[0]}]}`

// call sends one request over a connection of its own. It returns the status and body of the
// reply, or status 0 if no complete reply arrives.
func call(ctx context.Context, method, addr, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Cowslipbend-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// retry calls again after each call whose reply is missing, or says that the caller may come
// again, until the condition holds for a reply. It returns an error for any other reply, and
// when the context ends.
func retry(ctx context.Context, method, addr, path, body string, holds func(code int, data []byte) bool) error {
	attempts, last := 0, 0
	for ctx.Err() == nil {
		code, data := call(ctx, method, addr, path, body)
		attempts++
		switch code {
		case http.StatusOK, http.StatusCreated, http.StatusAccepted:
			if holds(code, data) {
				return nil
			}
		case 0, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			return cowslipbend.Fail(cowslipbend.KindBroken, fmt.Sprintf("%s %s is answered by %d: %s", method, path, code, data), "see the log of the process")
		}
		last = code
		sleep(ctx, retryInterval)
	}
	return cowslipbend.Failf(cowslipbend.KindLate, context.Cause(ctx), "see the log of the process", "%s %s has failed %d times, last with status %d", method, path, attempts, last)
}

// Submit submits a job with a new id until it is accepted.
func (b *Testbed) Submit(ctx context.Context, body string) (cowslipbend.JobID, error) {
	id := newJobID()
	return id, retry(ctx, http.MethodPost, b.EntryFront(), route+string(id), body, func(int, []byte) bool { return true })
}

// WaitForEnd waits until the entry reports the job as done.
func (b *Testbed) WaitForEnd(ctx context.Context, id cowslipbend.JobID) error {
	return retry(ctx, http.MethodGet, b.EntryFront(), route+string(id), "", func(_ int, data []byte) bool {
		var answer struct{ State string }
		return json.Unmarshal(data, &answer) == nil && answer.State == "done"
	})
}

// WaitUntilReady waits until the entry answers a readiness check with 200.
func (b *Testbed) WaitUntilReady(ctx context.Context) error {
	return retry(ctx, http.MethodGet, b.EntryReadiness(), "/-/ready", "", func(code int, _ []byte) bool { return code == http.StatusOK })
}

// sleep returns after the span, or earlier if the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
