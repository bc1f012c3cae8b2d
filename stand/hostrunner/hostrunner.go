// Package hostrunner is a stand-in for the platform's runner on a host. It
// speaks the published protocol for runs and heartbeats, and notes what a
// scheduler must never do: start a task that runs elsewhere or has been noted
// as done, or fill the host beyond its room.
package hostrunner

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Lasting is the spec of tasks that do not end by themselves.
const Lasting = "lasting"

// Pool is what all runners share: the runs of every task, to find doubles.
type Pool struct {
	mu      sync.Mutex
	running map[string]string
	noted   map[string]bool
	// done holds the tasks that have ended so, widths the counts of the steps
	// of every job if they are all alike.
	done   map[string]bool
	widths []int
	// ran holds the jobs of which a task has begun.
	ran    map[string]bool
	faults []string
	starts int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{running: map[string]string{}, noted: map[string]bool{}, done: map[string]bool{}, ran: map[string]bool{}}
}

// Expect tells that all jobs have steps with these counts of tasks, each after
// the one before, so that their order is checked.
func (p *Pool) Expect(widths ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.widths = widths
}

// Ran reports whether any task of the job has begun.
func (p *Pool) Ran(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[job]
}

// Busy lists the tasks that run.
func (p *Pool) Busy() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.running))
}

// begin notes the start of a task and what is wrong with it.
func (p *Pool) begin(task, name string) {
	p.starts++
	if where, twice := p.running[task]; twice {
		p.faults = append(p.faults, fmt.Sprintf("%s starts on %s and runs on %s", task, name, where))
	}
	if p.noted[task] {
		p.faults = append(p.faults, task+" starts after its end was noted")
	}
	p.running[task] = name
	job, round, step, ok := parts(task)
	p.ran[job] = true
	for i := range step {
		if !ok || i >= len(p.widths) {
			return
		}
		for n := range p.widths[i] {
			if before := fmt.Sprintf("%s.%s.%d.%d", job, round, i, n); !p.done[before] {
				p.faults = append(p.faults, task+" starts before "+before+" is done")
			}
		}
	}
}

// parts splits a task's name.
func parts(task string) (job, round string, step int, ok bool) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return task, "", 0, false
	}
	step, err := strconv.Atoi(p[2])
	return p[0], p[1], step, err == nil
}

// Faults lists what must not have happened.
func (p *Pool) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.faults...)
}

// Starts counts the runs that have begun.
func (p *Pool) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

type run struct {
	task   string
	number int64
	ends   cowslipbend.Time
}

// Runner is one life of a runner.
type Runner struct {
	pool *Pool
	name string
	born int64
	work cowslipbend.Span

	mu      sync.Mutex
	fence   int64
	lease   cowslipbend.Time
	runs    map[string]*run
	highest map[string]int64
	ends    []end
	next    int64
	seq     int64
	deaf    bool
	crashed bool
}

type end struct {
	number int64
	run    run
	how    string
}

// New returns a runner whose tasks take the span.
func New(pool *Pool, name string, work cowslipbend.Span) *Runner {
	return &Runner{
		pool: pool, name: name, born: time.Now().UnixMilli(), work: work,
		runs: map[string]*run{}, highest: map[string]int64{}, next: 1,
	}
}

// Deafen has the runner carry orders out without an answer.
func (r *Runner) Deafen(deaf bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deaf = deaf
}

type call struct {
	Task  string `json:"task"`
	Spec  string `json:"spec"`
	Run   int64  `json:"run"`
	Until int64  `json:"deadline_ms"`
	Fence int64  `json:"fencing_token"`
	Acked int64  `json:"ack_seq"`
	Wait  int64  `json:"wait_ms"`
}

// Handler serves the calls of the agent.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, do := range map[string]func(*call, map[string]any) int{
		"run-start": r.start, "run-stop": r.stop, "hold": r.hold, "pace": func(*call, map[string]any) int { return http.StatusOK },
	} {
		mux.HandleFunc("POST /-/"+path, func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, do) })
	}
	return mux
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request, do func(*call, map[string]any) int) {
	var c call
	if req.Header.Get("X-Cowslipbend-Expect-Instance") != r.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.await(req.Context(), &c)
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.settle()
	body := map[string]any{"clock_ms": timer.Host{}.Now(), "born": r.born}
	code := http.StatusConflict
	if c.Fence < r.fence {
		body["reason"] = "fence"
	} else {
		r.fence = c.Fence
		code = do(&c, body)
	}
	deaf := r.deaf
	r.mu.Unlock()
	if deaf {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // The agent asks again.
}

// awaitTime is the pause between two looks of a hold that waits.
const awaitTime = 5 * time.Millisecond

// await waits as long as a hold asks for, or until a run has ended.
func (r *Runner) await(ctx context.Context, c *call) {
	for end := time.Now().Add(time.Duration(c.Wait) * time.Millisecond); time.Now().Before(end); {
		r.mu.Lock()
		r.settle()
		ended := r.crashed || len(r.ends) > 0 && r.ends[len(r.ends)-1].number > c.Acked
		r.mu.Unlock()
		if ended {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(awaitTime):
		}
	}
}

// settle ends the runs whose work is done, and all if the lease has lapsed.
func (r *Runner) settle() {
	now := timer.Host{}.Now()
	for _, x := range r.runs {
		switch {
		case r.lease < min(now, x.ends):
			r.end(x, "lapsed")
		case now >= x.ends:
			r.end(x, "done")
		}
	}
}

// Tick ends what has ended by now; without calls nothing else does.
func (r *Runner) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
}

// Crash ends all runs at once and answers no more.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	for _, x := range r.runs {
		r.end(x, "lapsed")
	}
	r.crashed = true
}

func (r *Runner) end(x *run, how string) {
	delete(r.runs, x.task)
	r.ends = append(r.ends, end{r.next, *x, how})
	r.next++
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	delete(r.pool.running, x.task)
	r.pool.done[x.task] = r.pool.done[x.task] || how == "done"
}

func (r *Runner) start(c *call, body map[string]any) int {
	now := timer.Host{}.Now()
	r.lease = max(r.lease, cowslipbend.Time(c.Until))
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		return http.StatusOK
	}
	switch {
	case c.Run <= r.highest[c.Task]:
		body["reason"] = "old"
		return http.StatusConflict
	case cowslipbend.Time(c.Until) < now:
		body["reason"] = "late"
		return http.StatusConflict
	}
	r.highest[c.Task] = c.Run
	length := r.work
	if c.Spec == Lasting {
		length = cowslipbend.Day
	}
	r.runs[c.Task] = &run{task: c.Task, number: c.Run, ends: now.Add(length)}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.begin(c.Task, r.name)
	return http.StatusOK
}

func (r *Runner) stop(c *call, _ map[string]any) int {
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		r.end(x, "stopped")
	}
	return http.StatusOK
}

func (r *Runner) hold(c *call, body map[string]any) int {
	r.lease = max(r.lease, cowslipbend.Time(c.Until))
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.number, "", 100, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	var kept []end
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for _, e := range r.ends {
		if e.number <= c.Acked {
			r.pool.noted[e.run.task] = r.pool.noted[e.run.task] || e.how == "done"
			continue
		}
		kept = append(kept, e)
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	r.ends = kept
	body["running"], body["ended_runs"] = running, ended
	return http.StatusOK
}

// Beat sends one heartbeat to the agent at the address.
func (r *Runner) Beat(control, service string, draining bool) error {
	r.mu.Lock()
	r.seq++
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": service, "address": "", "zone": "z", "version": "v1", "slots": 8, "state": state, "sequence": r.seq, "born": r.born,
		"capacity": map[string]int{"cpu": 4000, "mem_mb": 8192}, "labels": []string{"a", "r1"}, "clock_ms": timer.Host{}.Now(),
	})
	r.mu.Unlock()
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+control+"/-/Instances.Heartbeat/"+r.name, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
