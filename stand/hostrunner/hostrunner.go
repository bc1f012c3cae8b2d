// Package hostrunner is a stand-in for the platform's runner on a host. It
// speaks the published protocol for runs and heartbeats, and notes what a
// scheduler must never do: start a task that runs elsewhere or has been noted
// as done, or fill the host beyond its room.
package hostrunner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
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
	faults  []string
	starts  int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{running: map[string]string{}, noted: map[string]bool{}} }

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
	r.mu.Lock()
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

// settle ends the runs whose work is done, and all if the lease has lapsed.
func (r *Runner) settle() {
	now := timer.Host{}.Now()
	for _, x := range r.runs {
		switch {
		case now >= x.ends:
			r.end(x, "done")
		case r.lease < now:
			r.end(x, "lapsed")
		}
	}
}

func (r *Runner) end(x *run, how string) {
	delete(r.runs, x.task)
	r.ends = append(r.ends, end{r.next, *x, how})
	r.next++
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	delete(r.pool.running, x.task)
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
	r.pool.starts++
	if where, twice := r.pool.running[c.Task]; twice {
		r.pool.faults = append(r.pool.faults, fmt.Sprintf("%s starts on %s and runs on %s", c.Task, r.name, where))
	}
	if r.pool.noted[c.Task] {
		r.pool.faults = append(r.pool.faults, c.Task+" starts after its end was noted")
	}
	r.pool.running[c.Task] = r.name
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
