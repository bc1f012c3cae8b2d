package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
)

// maxReplySize bounds how much of a reply is read.
const maxReplySize = 8 << 20 // bytes

// TaskRequest is the body of the requests to throttle, evict, stop or forget a
// task.
type TaskRequest struct {
	Task    cowslipbend.TaskID  `json:"task"`
	Attempt cowslipbend.Attempt `json:"attempt,omitempty"`
	Percent int                 `json:"percent,omitempty"`
}

// Client is the cowslipbend.Machine of a worker.
type Client struct {
	baseURL    string
	httpClient *http.Client
	timeout    cowslipbend.Span
}

// maxIdleConns is the number of idle connections to the worker that are kept.
const maxIdleConns = 4

// New returns a client for the worker at the base URL. The timeout applies to
// each call.
func New(baseURL string, timeout cowslipbend.Span) *Client {
	return &Client{baseURL: baseURL, httpClient: dialer.PooledHTTP1(maxIdleConns), timeout: timeout}
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Start starts an attempt.
func (c *Client) Start(ctx context.Context, s cowslipbend.Start) error {
	return c.call(ctx, http.MethodPost, "/tasks/start", s, nil)
}

// Lease sets the lease ends of tasks.
func (c *Client) Lease(ctx context.Context, leaseEnds map[cowslipbend.TaskID]cowslipbend.Time) error {
	return c.call(ctx, http.MethodPost, "/tasks/lease", leaseEnds, nil)
}

// Throttle limits a task to a percentage of its processors.
func (c *Client) Throttle(ctx context.Context, task cowslipbend.TaskID, percent int) error {
	return c.call(ctx, http.MethodPost, "/tasks/throttle", TaskRequest{Task: task, Percent: percent}, nil)
}

// Evict checkpoints and stops a task.
func (c *Client) Evict(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return c.call(ctx, http.MethodPost, "/tasks/evict", TaskRequest{Task: task, Attempt: attempt}, nil)
}

// Stop ends a task without a checkpoint.
func (c *Client) Stop(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return c.call(ctx, http.MethodPost, "/tasks/stop", TaskRequest{Task: task, Attempt: attempt}, nil)
}

// Forget drops the status of an ended attempt.
func (c *Client) Forget(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return c.call(ctx, http.MethodPost, "/tasks/forget", TaskRequest{Task: task, Attempt: attempt}, nil)
}

// Status returns the worker's size, and the status and measurements of its tasks.
func (c *Client) Status(ctx context.Context) (cowslipbend.MachineStatus, error) {
	var s cowslipbend.MachineStatus
	err := c.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "request to the worker cannot be encoded")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "give the worker's URL as http://IP:PORT", "worker URL is not valid")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindDown, err, "check that the worker runs", "worker did not reply")
	}
	defer resp.Body.Close()
	return decode(resp, out)
}

func decode(resp *http.Response, out any) error {
	data, err := io.ReadAll(dialer.Bound(resp.Body, maxReplySize))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindDown, err, "try again", "worker's reply is truncated")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return server.ReadError("worker", resp.Status, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "check the worker's version", "worker's reply cannot be decoded")
	}
	return nil
}
