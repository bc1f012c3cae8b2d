// Package operator is the client of the operators' protocol of package
// administrator. The command cowslip and the stand use it.
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

// maxReply bounds an answer.
const maxReply = 64 << 20 // bytes

// Client calls the first of its entries that takes the call.
type Client struct {
	bases []string
	http  *http.Client
}

// New returns a client of the entry at the base URL.
func New(base, secret string, timeout cowslipbend.Span) *Client {
	return NewAny([]string{base}, secret, timeout)
}

// NewAny returns a client of several entries. A call goes to the next one
// only if it certainly did not reach the one before.
func NewAny(bases []string, secret string, timeout cowslipbend.Span) *Client {
	return &Client{bases: bases, http: dialer.Fresh(secret, timeout)}
}

// Publish publishes the files on top of the base revision.
func (c *Client) Publish(ctx context.Context, base cowslipbend.Revision, files checker.Files) (cowslipbend.Revision, error) {
	texts := map[string]string{}
	for name, data := range files {
		texts[name] = string(data)
	}
	var p administrator.PublishReply
	err := c.call(ctx, http.MethodPut, "/v1/config?base="+strconv.FormatInt(int64(base), 10), texts, &p)
	return p.Revision, err
}

// Config reads the set in force.
func (c *Client) Config(ctx context.Context) (administrator.Config, error) {
	var v administrator.Config
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &v)
	return v, err
}

// Status reads what the entry knows of the system.
func (c *Client) Status(ctx context.Context) (administrator.Status, error) {
	var v administrator.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &v)
	return v, err
}

// Jobs lists the jobs of a pool.
func (c *Client) Jobs(ctx context.Context, pool cowslipbend.PoolID) ([]administrator.Job, error) {
	var v []administrator.Job
	err := c.call(ctx, http.MethodGet, "/v1/jobs?pool="+url.QueryEscape(string(pool)), nil, &v)
	return v, err
}

// Workers lists the workers of a pool.
func (c *Client) Workers(ctx context.Context, pool cowslipbend.PoolID) ([]administrator.Worker, error) {
	var v []administrator.Worker
	err := c.call(ctx, http.MethodGet, "/v1/workers?pool="+url.QueryEscape(string(pool)), nil, &v)
	return v, err
}

// Submit submits a job. It is idempotent by the job's id.
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

// CancelAll cancels many jobs of a pool in one call, all or none: KindMissing
// names the jobs that are not known.
func (c *Client) CancelAll(ctx context.Context, pool cowslipbend.PoolID, ids []cowslipbend.JobID) error {
	return c.call(ctx, http.MethodPost, "/v1/cancel?pool="+url.QueryEscape(string(pool)), ids, nil)
}

// Drain takes a worker out of placement and moves its tasks away.
func (c *Client) Drain(ctx context.Context, pool cowslipbend.PoolID, id cowslipbend.WorkerID) error {
	return c.call(ctx, http.MethodPost, workerPath(pool, id, "drain"), nil, nil)
}

// Undrain gives a drained worker back to placement.
func (c *Client) Undrain(ctx context.Context, pool cowslipbend.PoolID, id cowslipbend.WorkerID) error {
	return c.call(ctx, http.MethodPost, workerPath(pool, id, "undrain"), nil, nil)
}

func workerPath(pool cowslipbend.PoolID, id cowslipbend.WorkerID, verb string) string {
	return "/v1/workers/" + url.PathEscape(string(id)) + "/" + verb + "?pool=" + url.QueryEscape(string(pool))
}

// Burn reads the burn report.
func (c *Client) Burn(ctx context.Context) (reporter.Report, error) {
	var v reporter.Report
	err := c.call(ctx, http.MethodGet, "/v1/burn", nil, &v)
	return v, err
}

// call tries the entries in turn until one takes the call.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "call does not encode")
	}
	for _, base := range c.bases {
		err = c.exchange(ctx, method, base+path, data, out)
		if cause := err; !dialer.Unsent(cause) {
			return err
		}
	}
	return err
}

func (c *Client) exchange(ctx context.Context, method, target string, data []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "give the entry's URL as http://IP:PORT", "bad entry URL")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return unanswered(method, err)
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return unanswered(method, err)
	}
	return decode(resp, data, out)
}

// unanswered tells calls without effect from those that may have had one.
func unanswered(method string, err error) error {
	switch {
	case dialer.Unsent(err):
		return cowslipbend.Failf(cowslipbend.KindDown, err, "check --entry, or name another entry", "entry does not accept connections")
	case method == http.MethodGet:
		return cowslipbend.Failf(cowslipbend.KindDown, err, "ask again, or name another entry", "entry gave no answer")
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, err, "look at the state before you repeat it", "entry gave no answer")
}

func decode(resp *http.Response, data []byte, out any) error {
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusal(resp, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "check that the versions match", "entry's answer does not decode")
	}
	return nil
}

// refusal returns all faults that an entry answered with.
func refusal(resp *http.Response, data []byte) error {
	var r administrator.Refusal
	if json.Unmarshal(data, &r) != nil || r.Kind == "" {
		return cowslipbend.Fail(cowslipbend.KindBroken, "entry answered "+resp.Status, "check that --entry is an entry's URL")
	}
	if len(r.Faults) > 0 {
		return cowslipbend.Errors(r.Faults)
	}
	return &r.Error
}
