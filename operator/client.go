package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/checker"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/reporter"
)

// maxReply bounds the body of a response.
const maxReply = 64 << 20 // bytes

// Client sends each request to the first of its entries that can be reached.
// It is safe for concurrent use.
type Client struct {
	entryURLs []string
	http      *http.Client
}

// New returns a client of the entry at the base URL.
func New(base, secret string, timeout cowslipbend.Span) *Client {
	return NewAny([]string{base}, secret, timeout)
}

// NewAny returns a client of several entries. A request goes to the next entry
// only if it certainly was not sent to the one before.
func NewAny(entryURLs []string, secret string, timeout cowslipbend.Span) *Client {
	return &Client{entryURLs: entryURLs, http: dialer.Unpooled(secret, timeout)}
}

// Publish publishes the files as the revision after base and returns that
// revision.
func (c *Client) Publish(ctx context.Context, base cowslipbend.Revision, files checker.Files) (cowslipbend.Revision, error) {
	contents := map[string]string{}
	for name, data := range files {
		contents[name] = string(data)
	}
	var reply administrator.PublishReply
	err := c.call(ctx, http.MethodPut, "/v1/config?base="+strconv.FormatInt(int64(base), 10), contents, &reply)
	return reply.Revision, err
}

// Config returns the set in force and its revision.
func (c *Client) Config(ctx context.Context) (administrator.Config, error) {
	var config administrator.Config
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &config)
	return config, err
}

// Status returns the state of the system as the entry knows it.
func (c *Client) Status(ctx context.Context) (administrator.Status, error) {
	var status administrator.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Jobs lists the jobs of a pool.
func (c *Client) Jobs(ctx context.Context, pool cowslipbend.PoolID) ([]administrator.Job, error) {
	var jobs []administrator.Job
	err := c.call(ctx, http.MethodGet, "/v1/jobs?pool="+url.QueryEscape(string(pool)), nil, &jobs)
	return jobs, err
}

// Workers lists the workers of a pool.
func (c *Client) Workers(ctx context.Context, pool cowslipbend.PoolID) ([]administrator.Worker, error) {
	var workers []administrator.Worker
	err := c.call(ctx, http.MethodGet, "/v1/workers?pool="+url.QueryEscape(string(pool)), nil, &workers)
	return workers, err
}

// Submit submits a job. Submitting the same id and content again has no
// effect.
func (c *Client) Submit(ctx context.Context, job cowslipbend.Job) error {
	err := c.call(ctx, http.MethodPost, "/v1/jobs", job, nil)
	if e, ok := errors.AsType[*cowslipbend.Error](err); ok && e.Kind == cowslipbend.KindUnknown {
		e.Remedy = "repeat it; the same id and content is the same job"
	}
	return err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, pool cowslipbend.PoolID, id cowslipbend.JobID) error {
	return c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id))+"?pool="+url.QueryEscape(string(pool)), nil, nil)
}

// CancelAll cancels many jobs of a pool in one request, all or none. If some
// are unknown it returns KindMissing, which names them.
func (c *Client) CancelAll(ctx context.Context, pool cowslipbend.PoolID, ids []cowslipbend.JobID) error {
	return c.call(ctx, http.MethodPost, "/v1/cancel?pool="+url.QueryEscape(string(pool)), ids, nil)
}

// Drain takes a worker out of placement and moves its tasks to other workers.
func (c *Client) Drain(ctx context.Context, pool cowslipbend.PoolID, id cowslipbend.WorkerID) error {
	return c.call(ctx, http.MethodPost, workerPath(pool, id, "drain"), nil, nil)
}

// Undrain returns a drained worker to placement.
func (c *Client) Undrain(ctx context.Context, pool cowslipbend.PoolID, id cowslipbend.WorkerID) error {
	return c.call(ctx, http.MethodPost, workerPath(pool, id, "undrain"), nil, nil)
}

func workerPath(pool cowslipbend.PoolID, id cowslipbend.WorkerID, verb string) string {
	return "/v1/workers/" + url.PathEscape(string(id)) + "/" + verb + "?pool=" + url.QueryEscape(string(pool))
}

// Burn returns the burn report.
func (c *Client) Burn(ctx context.Context) (reporter.Report, error) {
	var report reporter.Report
	err := c.call(ctx, http.MethodGet, "/v1/burn", nil, &report)
	return report, err
}

// call sends a request to the entries in turn until one can be reached, and
// decodes the response into out if that is not nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot encode the request as JSON")
	}
	for _, entryURL := range c.entryURLs {
		err = c.exchange(ctx, method, entryURL+path, data, out)
		if cause := err; !dialer.Unsent(cause) {
			return err
		}
	}
	return err
}

func (c *Client) exchange(ctx context.Context, method, target string, data []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "give the entry's URL as http://IP:PORT", "invalid entry URL")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(method, err)
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(dialer.Bound(resp.Body, maxReply))
	if err != nil {
		return transportError(method, err)
	}
	return decodeResponse(resp, data, out)
}

// transportError returns the error of a request without a response: KindDown
// if it had no effect, and KindUnknown if it may have taken effect.
func transportError(method string, err error) error {
	switch {
	case dialer.Unsent(err):
		return cowslipbend.Failf(cowslipbend.KindDown, err, "check --entry, or name another entry", "entry does not accept connections")
	case method == http.MethodGet:
		return cowslipbend.Failf(cowslipbend.KindDown, err, "try again, or name another entry", "entry did not respond")
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, err, "check the state before you repeat it", "entry did not respond")
}

func decodeResponse(resp *http.Response, data []byte, out any) error {
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeRefusal(resp, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "check that the versions match", "cannot decode the entry's response")
	}
	return nil
}

// decodeRefusal returns the error in a response, with all its faults.
func decodeRefusal(resp *http.Response, data []byte) error {
	var r administrator.Refusal
	if json.Unmarshal(data, &r) != nil || r.Kind == "" {
		return cowslipbend.Fail(cowslipbend.KindBroken, "entry answered "+resp.Status, "check that --entry is an entry's URL")
	}
	if len(r.Faults) > 0 {
		return cowslipbend.Errors(r.Faults)
	}
	return &r.Error
}
