package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The job that clients hand in: two steps, one after the other.
var widths = []int{3, 2}

const steps = `{"spec":"x","steps":[{"count":3,"cpu":200,"mem_mb":64,"estimate_ms":300},` +
	`{"count":2,"cpu":200,"mem_mb":64,"estimate_ms":300,"after":[0]}]}`

// Routes; the second one comes while the run is on.
const (
	routeFirst  = "/run/"
	routeSecond = "/late/"
)

// Times of clients.
const (
	callTime  = 3 * time.Second        // for one call
	retryTime = 250 * time.Millisecond // between two tries of a call
	pollTime  = 400 * time.Millisecond // between two questions for a state
	// visible is after how long an accepted job must be known everywhere: the
	// longest of the known deployments.
	visible = 3 * time.Second
)

// outcome is what a client knows of its job.
type outcome struct {
	id       string
	accepted time.Time
	// refused is set if every try was refused for certain, unsure if any try
	// may have been taken.
	refused   bool
	unsure    bool
	cancelled bool
}

// ledger gathers the outcomes and faults of all clients.
type ledger struct {
	mu     sync.Mutex
	jobs   []*outcome
	faults []string
}

func (l *ledger) add(o *outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, o)
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// client hands jobs in, one after another, over connections that it keeps.
type client struct {
	fleet  *fleet
	ledger *ledger
	rnd    *rand.Rand
	http   http.Client
}

// call sends one request to an entry and returns its status, 0 without a
// whole answer.
func (c *client) call(ctx context.Context, method, front, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Cowslipbend-Deadline-Ms", fmt.Sprint(callTime.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // It has been read.
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (c *client) front() string { return c.fleet.entries[c.rnd.IntN(len(c.fleet.entries))].front }

// run hands jobs in until the context ends.
func (c *client) run(ctx context.Context) error {
	for ctx.Err() == nil {
		o := &outcome{id: fmt.Sprintf("%016x", c.rnd.Uint64())}
		c.ledger.add(o)
		// Some clients give up after a refusal; their jobs must never run.
		c.submit(ctx, o, c.rnd.IntN(5) == 0)
		if !o.accepted.IsZero() {
			c.watch(ctx, o)
		}
	}
	return nil
}

func (c *client) submit(ctx context.Context, o *outcome, once bool) {
	for ctx.Err() == nil {
		code, _ := c.call(ctx, http.MethodPost, c.front(), routeFirst+o.id, steps)
		switch code {
		case http.StatusOK, http.StatusCreated, http.StatusAccepted:
			o.accepted = time.Now()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if once && !o.unsure {
				o.refused = true
				return
			}
		default:
			o.unsure = true
		}
		wait(ctx, retryTime)
	}
	o.unsure = true
}

// watch asks for the state until the job has ended, and cancels some jobs.
func (c *client) watch(ctx context.Context, o *outcome) {
	cancel := c.rnd.IntN(6) == 0
	for ctx.Err() == nil {
		if cancel && !o.cancelled {
			code, _ := c.call(ctx, http.MethodDelete, c.front(), routeFirst+o.id, "")
			o.cancelled = code == http.StatusOK || code == http.StatusGone
			o.unsure = o.unsure || !o.cancelled
		}
		if state := c.state(ctx, o); state == "done" || state == "cancelled" || state == "failed" {
			return
		}
		wait(ctx, pollTime)
	}
}

// state asks for the job's state, empty if it is not told.
func (c *client) state(ctx context.Context, o *outcome) string {
	asked := time.Now()
	code, data := c.call(ctx, http.MethodGet, c.front(), routeFirst+o.id, "")
	if code == http.StatusGone && asked.Sub(o.accepted) > visible {
		c.ledger.fault("%s was accepted %s before, and is not known", o.id, asked.Sub(o.accepted))
	}
	var answer struct{ State string }
	if code != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return ""
	}
	switch {
	case answer.State == "cancelled" && !o.cancelled && !o.unsure:
		c.ledger.fault("%s is shown as cancelled, and nobody cancelled it", o.id)
	case answer.State == "failed":
		c.ledger.fault("%s is shown as failed, and no task of it failed", o.id)
	}
	return answer.State
}

// late reports whether an entry serves the route of the newest rules.
func (c *client) late(ctx context.Context, front string) bool {
	code, _ := c.call(ctx, http.MethodGet, front, routeSecond, "")
	return code == http.StatusOK
}
