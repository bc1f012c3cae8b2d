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

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev/stand/hostrunner"
)

// The job that clients submit has two steps, the second of which depends on the
// first. stepTasks is the number of tasks in each step.
var stepTasks = []int{3, 2}

// copyStep is the step that allows copies in half of the jobs.
const copyStep = 0

// crashShare is the share of jobs, one of that many, whose first task crashes runners.
const crashShare = 15

// A wide job has one step, of wideTasks tasks for each runner and maxWideTasks at most,
// so that more runs end on a runner at a time than it lists.
const (
	wideTasks    = 700
	maxWideTasks = 4000
)

// jobBody returns the body of a submission.
func jobBody(o *jobOutcome) string {
	if o.lasts {
		return fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":50,"mem_mb":16,"estimate_ms":300,"perpetual":true}]}`, hostrunner.FailingSpec)
	}
	if o.tasks > 0 {
		return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":3,"mem_mb":1,"estimate_ms":4000}]}`, hostrunner.LongSpec, o.tasks)
	}
	spec := "x"
	if o.crashesRunners {
		spec = hostrunner.CrashSpec
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":3,"cpu":200,"mem_mb":64,"estimate_ms":300,"speculative":%t},`+
		`{"count":2,"cpu":200,"mem_mb":64,"estimate_ms":300,"after":[0]}]}`, spec, o.allowsCopies)
}

// Path prefixes of routes. The second is added by rules that are published
// halfway through the run.
const (
	baseRoute  = "/run/"
	addedRoute = "/late/"
)

// Timing of clients.
const (
	callTimeout   = 3 * time.Second        // of one call
	retryInterval = 250 * time.Millisecond // between attempts at a submission
	pollInterval  = 400 * time.Millisecond // between queries of a state
	// visibilityTimeout is the time within which all entries must know an accepted
	// job. It is the longest that any known deployment allows.
	visibilityTimeout = 3 * time.Second
)

// minCrashesToFail is the number of runners that a task has to have crashed before its
// job may be reported as failed.
const minCrashesToFail = 2

// jobOutcome is what a client has observed of a job that it submitted.
type jobOutcome struct {
	id         string
	acceptedAt time.Time
	// allowsCopies is set if tasks of copyStep may have a second run.
	allowsCopies bool
	// crashesRunners is set if its first task crashes the runners that start it.
	crashesRunners bool
	// tasks is the number of tasks of a wide job; zero for other jobs.
	tasks int
	// lasts is set if its task lasts, but fails again and again.
	lasts bool
	// refused is set if the job was refused and not submitted again, uncertain
	// if an attempt may have been accepted without the client knowing.
	refused   bool
	uncertain bool
	cancelled bool
}

// recorder records the outcomes that all clients observe and the invariants
// that they find violated.
type recorder struct {
	mu     sync.Mutex
	jobs   []*jobOutcome
	faults []string
}

func (l *recorder) add(o *jobOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, o)
}

func (l *recorder) addFault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// client submits jobs one after another over persistent connections.
type client struct {
	fleet    *fleet
	recorder *recorder
	rnd      *rand.Rand
	http     http.Client
}

// call sends one request to an entry. It returns the status and body of the
// answer, or status 0 if no complete answer arrives.
func (c *client) call(ctx context.Context, method, front, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Cowslipbend-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // The body has been read in full.
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (c *client) randomFront() string { return c.fleet.entries[c.rnd.IntN(len(c.fleet.entries))].front }

// run submits jobs until the context ends.
func (c *client) run(ctx context.Context) error {
	for ctx.Err() == nil {
		o := c.newJob()
		// A fifth of the jobs are not retried after a refusal and must then
		// never run.
		c.submit(ctx, o, c.rnd.IntN(5) == 0)
		if !o.acceptedAt.IsZero() {
			c.waitForEnd(ctx, o)
		}
	}
	return nil
}

// Bounds of a flood of submissions. The jobs of one take the runners of a small run some
// seconds, so that they end within settleTimeout.
const (
	floodTime        = 3 * time.Second
	floodConnections = 4
	maxFloodJobs     = 120
	maxLongJobs      = 40 // where tasks are long
)

// floodJobs returns the number of jobs of a flood.
func (f *fleet) floodJobs() int {
	if f.opts.Restarts {
		return maxLongJobs
	}
	return maxFloodJobs
}

// flood submits jobs as fast as the entries answer, over some connections at once and
// without waiting for their ends, for floodTime or until it has submitted floodJobs.
func (c *client) flood(ctx context.Context) error {
	floodCtx, cancel := context.WithTimeout(ctx, floodTime)
	defer cancel()
	var group errgroup.Group
	for range floodConnections {
		part := &client{fleet: c.fleet, recorder: c.recorder, rnd: rand.New(rand.NewPCG(c.rnd.Uint64(), c.rnd.Uint64()))}
		part.http.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
		group.Go(func() error {
			for n := 0; n < c.fleet.floodJobs()/floodConnections && floodCtx.Err() == nil; n++ {
				// A refusal is final: a flood that repeats what was refused is
				// the same to the entries.
				part.submit(floodCtx, part.newJob(), true)
			}
			return nil
		})
	}
	return group.Wait()
}

// lastingJobs is the number of jobs whose task lasts.
const lastingJobs = 12

// submitLasting submits the jobs whose task lasts.
func (c *client) submitLasting(ctx context.Context) {
	for range lastingJobs {
		o := &jobOutcome{id: fmt.Sprintf("%016x", c.rnd.Uint64()), lasts: true}
		c.recorder.add(o)
		c.submit(ctx, o, false)
	}
}

// submitWide submits a wide job.
func (c *client) submitWide(ctx context.Context) {
	o := &jobOutcome{id: fmt.Sprintf("%016x", c.rnd.Uint64()), tasks: min(wideTasks*len(c.fleet.agents), maxWideTasks)}
	c.recorder.add(o)
	c.submit(ctx, o, false)
}

// newJob returns a job that is recorded and not submitted yet. Half of the jobs allow
// copies.
func (c *client) newJob() *jobOutcome {
	o := &jobOutcome{id: fmt.Sprintf("%016x", c.rnd.Uint64()), allowsCopies: c.rnd.IntN(2) == 0, crashesRunners: c.rnd.IntN(crashShare) == 0 && c.fleet.opts.hasAllFaults()}
	if o.allowsCopies {
		c.fleet.pool.AllowCopies(o.id, copyStep)
	}
	c.recorder.add(o)
	return o
}

// submit retries until the job is accepted, the context ends, or, if
// stopOnRefusal is set, an attempt is refused and none before it was uncertain.
func (c *client) submit(ctx context.Context, o *jobOutcome, stopOnRefusal bool) {
	for ctx.Err() == nil {
		code, _ := c.call(ctx, http.MethodPost, c.randomFront(), baseRoute+o.id, jobBody(o))
		switch code {
		case http.StatusOK, http.StatusCreated, http.StatusAccepted:
			o.acceptedAt = time.Now()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if stopOnRefusal && !o.uncertain {
				o.refused = true
				return
			}
		default:
			o.uncertain = true
		}
		sleep(ctx, retryInterval)
	}
	o.uncertain = true
}

// waitForEnd polls the state until the job has ended. It cancels a sixth of the
// jobs.
func (c *client) waitForEnd(ctx context.Context, o *jobOutcome) {
	cancel := c.rnd.IntN(6) == 0
	for ctx.Err() == nil {
		if cancel && !o.cancelled {
			code, _ := c.call(ctx, http.MethodDelete, c.randomFront(), baseRoute+o.id, "")
			o.cancelled = code == http.StatusOK || code == http.StatusGone
			o.uncertain = o.uncertain || !o.cancelled
		}
		if state := c.state(ctx, o); state == "done" || state == "cancelled" || state == "failed" {
			return
		}
		sleep(ctx, pollInterval)
	}
}

// state returns the job's state, or an empty string if no entry reports it, and
// records states that contradict what the client has observed.
func (c *client) state(ctx context.Context, o *jobOutcome) string {
	askedAt := time.Now()
	code, data := c.call(ctx, http.MethodGet, c.randomFront(), baseRoute+o.id, "")
	if code == http.StatusGone && askedAt.Sub(o.acceptedAt) > visibilityTimeout {
		c.recorder.addFault("%s was accepted %s ago, and an entry does not know it", o.id, askedAt.Sub(o.acceptedAt))
	}
	var answer struct{ State string }
	if code != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return ""
	}
	switch {
	case answer.State == "cancelled" && !o.cancelled && !o.uncertain:
		c.recorder.addFault("%s is reported as cancelled, and no client cancelled it", o.id)
	case answer.State == "failed" && c.fleet.pool.Crashes(o.id) < minCrashesToFail:
		c.recorder.addFault("%s is reported as failed, and no task of it failed or crashed two runners", o.id)
	}
	return answer.State
}

// servesAddedRoute reports whether an entry serves the route that the latest
// rules add.
func (c *client) servesAddedRoute(ctx context.Context, front string) bool {
	code, _ := c.call(ctx, http.MethodGet, front, addedRoute, "")
	return code == http.StatusOK
}
