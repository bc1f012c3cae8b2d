// Package executor is the agent's client of the platform's worker on its
// host. It implements cowslipbend.Machine over the worker's HTTP protocol:
//
//	POST /tasks/start      Start
//	POST /tasks/lease      {task: until}
//	POST /tasks/throttle   Change
//	POST /tasks/evict      Change
//	POST /tasks/stop       Change
//	POST /tasks/forget     Change
//	GET  /status           MachineStatus
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

// maxReply bounds what is read from the worker.
const maxReply = 8 << 20 // bytes

// Change names a task and what to do with it.
type Change struct {
	Task    cowslipbend.TaskID  `json:"task"`
	Attempt cowslipbend.Attempt `json:"attempt,omitempty"`
	Percent int                 `json:"percent,omitempty"`
}

// Client is a cowslipbend.Machine at a URL.
type Client struct {
	base    string
	http    *http.Client
	timeout cowslipbend.Span
}

// clientConns is the count of idle connections to the worker.
const clientConns = 4

// New returns a client of the worker at the base URL.
func New(base string, timeout cowslipbend.Span) *Client {
	return &Client{base: base, http: dialer.Local(clientConns), timeout: timeout}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Start runs an attempt.
func (c *Client) Start(ctx context.Context, s cowslipbend.Start) error {
	return c.call(ctx, http.MethodPost, "/tasks/start", s, nil)
}

// Lease moves the lease ends of tasks.
func (c *Client) Lease(ctx context.Context, until map[cowslipbend.TaskID]cowslipbend.Time) error {
	return c.call(ctx, http.MethodPost, "/tasks/lease", until, nil)
}

// Throttle limits the processors of a task.
func (c *Client) Throttle(ctx context.Context, task cowslipbend.TaskID, percent int) error {
	return c.call(ctx, http.MethodPost, "/tasks/throttle", Change{Task: task, Percent: percent}, nil)
}

// Evict checkpoints and stops a task.
func (c *Client) Evict(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return c.call(ctx, http.MethodPost, "/tasks/evict", Change{Task: task, Attempt: attempt}, nil)
}

// Stop ends a task.
func (c *Client) Stop(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return c.call(ctx, http.MethodPost, "/tasks/stop", Change{Task: task, Attempt: attempt}, nil)
}

// Forget drops an ended attempt.
func (c *Client) Forget(ctx context.Context, task cowslipbend.TaskID, attempt cowslipbend.Attempt) error {
	return c.call(ctx, http.MethodPost, "/tasks/forget", Change{Task: task, Attempt: attempt}, nil)
}

// Status reads what runs and what was measured.
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
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "order does not encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "give the worker's URL as http://IP:PORT", "bad worker URL")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindDown, err, "look at the worker's process", "worker does not answer")
	}
	defer resp.Body.Close()
	return decode(resp, out)
}

func decode(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindDown, err, "try again", "worker's answer broke off")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return server.ReadError("worker", resp.Status, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "check the worker's version", "worker's answer does not decode")
	}
	return nil
}
