package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times and limits of runners.
const (
	tick              = 5 * time.Millisecond
	heartbeatInterval = 1100 * time.Millisecond
	holdMax           = 10 * time.Second
	stopTime          = 100 * time.Millisecond
	checkpointTime    = 2 * time.Second
	maxHoldWait       = 2 * time.Second
	maxEnds           = 500
)

// machine is a host with a runner, one incarnation after another at one address.
type machine struct {
	world   *world
	name    string
	ip      string
	app     string // address of the runner
	control string // address of the agent for heartbeats
	cpu     int
	guards  bool
	rack    string
	advisor *advisor // nil if starts need no ticket

	mu     sync.Mutex
	runner *runner
	server *http.Server
	down   bool
}

// runner is one incarnation.
type runner struct {
	machine *machine
	id      string
	born    int64
	clock   time.Time // zero of its steady clock

	mu       sync.Mutex
	dead     bool
	fence    int64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int64
	ends     []runEnd
	nextEnd  int64
	sequence int64
	used     int
	// lapsedAt is when the lease was last found to have ended.
	lapsedAt time.Time
}

type run struct {
	task       string
	number     int64
	step       *step
	startedAt  time.Time
	savedAt    time.Time
	checkpoint string
	stopAt     time.Time
	pace       int
}

type runEnd struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
	at     time.Time
}

// boot starts a new incarnation under the id.
func (m *machine) boot(id string) error {
	r := &runner{
		machine: m, id: id, born: time.Now().UnixMilli(), clock: time.Now().Add(-time.Duration(rand.IntN(1000)) * time.Second),
		runs: map[string]*run{}, highest: map[string]int64{}, nextEnd: 1,
	}
	listener, err := net.Listen("tcp", m.app)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for path, call := range map[string]func(*call) (int, map[string]any){
		"path.start": r.start, "path.stop": r.stop, "path.hold": r.hold, "path.pace": r.pace,
	} {
		mux.HandleFunc("POST "+wire[path], func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, path, call) })
	}
	server := &http.Server{Handler: mux}
	m.mu.Lock()
	defer m.mu.Unlock()
	if done() {
		return listener.Close()
	}
	m.runner, m.server, m.down = r, server, false
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(r.live)
	m.world.note("runner", "%s starts on %s as %s", m.name, m.ip, id)
	return nil
}

// crash ends the current incarnation without notice, with all that runs on it.
func (m *machine) crash() {
	m.mu.Lock()
	r, server := m.runner, m.server
	wasDown := m.down
	m.down = true
	m.mu.Unlock()
	if wasDown {
		return
	}
	r.mu.Lock()
	r.dead = true
	for task, x := range r.runs {
		m.world.ended(task, x.number, m.name, "lost with its runner")
	}
	r.runs = map[string]*run{}
	r.mu.Unlock()
	_ = server.Close()
	m.world.note("runner", "%s has crashed", m.name)
}

// crashFor crashes the runner and starts it again after the span.
func (m *machine) crashFor(span time.Duration) {
	m.crash()
	time.Sleep(span)
	m.mu.Lock()
	id := m.runner.id
	m.mu.Unlock()
	if err := m.boot(id); err != nil {
		m.world.note("runner", "%s cannot start: %v", m.name, err)
	}
}

func (r *runner) now() int64 { return time.Since(r.clock).Milliseconds() }

// live sends heartbeats and ends runs until the incarnation is dead.
func (r *runner) live() {
	next := time.Now()
	for !done() {
		r.mu.Lock()
		dead := r.dead
		r.mu.Unlock()
		if dead {
			return
		}
		if !time.Now().Before(next) {
			next = time.Now().Add(heartbeatInterval)
			group.Go(r.heartbeat)
		}
		r.endRuns()
		time.Sleep(tick)
	}
}

func (r *runner) heartbeat() {
	r.mu.Lock()
	r.sequence++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": r.machine.app, "zone": zoneName, "version": "v1", "slots": 8, wire["state"]: "ready", "sequence": r.sequence, wire["born"]: r.born,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": r.machine.cpu, "mem_mb": 64000, "gpu": 0}, "labels": []string{"a", r.machine.rack}, wire["clock"]: r.now(),
	})
	r.mu.Unlock()
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.machine.control+wire["path.heartbeat"]+r.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	if resp, err := heartbeats.Do(q); err == nil { // The agent may be down.
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

var heartbeats = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// endRuns ends the runs that are due, and crashes the machine if a task does so.
func (r *runner) endRuns() {
	r.mu.Lock()
	if r.dead {
		r.mu.Unlock()
		return
	}
	now := time.Now()
	if r.leaseEnd <= r.now() {
		r.lapsedAt = now
	}
	crashing := ""
	for task, x := range r.runs {
		age := now.Sub(x.startedAt)
		switch {
		case r.leaseEnd <= r.now():
			r.end(x, "lapsed")
		case !x.stopAt.IsZero():
			if !now.Before(x.stopAt) {
				x.save(now)
				r.end(x, "stopped")
			}
		case x.step.CrashAfter > 0 && age >= x.step.CrashAfter:
			crashing = task
		case x.step.FailAfter > 0 && age >= x.step.FailAfter:
			r.end(x, "failed")
		case !x.step.Perpetual && age >= x.step.Work:
			r.end(x, "done")
		case x.step.Saves && now.Sub(x.savedAt) >= checkpointTime:
			x.save(now)
		}
	}
	r.mu.Unlock()
	if crashing != "" && trouble {
		r.machine.world.crashedUnder(crashing, r.machine.name)
		group.Go(func() { r.machine.crashFor(restartTime) })
		for !r.isDead() {
			time.Sleep(time.Millisecond)
		}
	}
}

func (r *runner) isDead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead
}

// save produces a checkpoint. A run that resumes keeps the beginning of its work.
func (x *run) save(now time.Time) {
	if x.step.Saves {
		x.checkpoint, x.savedAt = fmt.Sprintf("%016x", rand.Uint64()), now
	}
}

func (r *runner) end(x *run, how string) {
	delete(r.runs, x.task)
	r.used -= reservedCPU(x.step)
	r.ends = append(r.ends, runEnd{r.nextEnd, x.task, x.number, how, x.checkpoint, time.Now()})
	r.nextEnd++
	r.machine.world.ended(x.task, x.number, r.machine.name, how)
}

func reservedCPU(s *step) int {
	if s.Fills {
		return 0
	}
	return s.CPU
}

func (x *run) percent(now time.Time) int {
	if x.step.Perpetual {
		return 100
	}
	return min(int(100*now.Sub(x.startedAt)/x.step.Work), 99)
}

// call is the body of a call of the agent.
type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
	Fence      int64  `json:"fencing_token"`
	Acked      int64  `json:"ack_seq"`
	Wait       int64  `json:"wait_ms"`
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request, path string, handle func(*call) (int, map[string]any)) {
	if q.Header.Get(wire["header.instance"]) != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c call
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if path == "path.hold" {
		r.awaitEnd(q.Context(), &c)
	}
	r.mu.Lock()
	if r.dead {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	code, body := http.StatusConflict, map[string]any{wire["reason"]: "fence"}
	if c.Fence >= r.fence {
		r.fence = c.Fence
		code, body = handle(&c)
	}
	body[wire["clock"]], body[wire["born"]] = r.now(), r.born
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // The agent may have left.
}

// awaitEnd waits until a run has ended whose end the call does not acknowledge.
func (r *runner) awaitEnd(ctx context.Context, c *call) {
	end := time.Now().Add(min(time.Duration(c.Wait)*time.Millisecond, maxHoldWait))
	for time.Now().Before(end) && ctx.Err() == nil {
		r.mu.Lock()
		ready := r.dead || c.Fence < r.fence || (len(r.ends) > 0 && r.ends[len(r.ends)-1].number > c.Acked)
		r.mu.Unlock()
		if ready {
			return
		}
		time.Sleep(tick)
	}
}

// extend sets the lease. It never gets shorter.
func (r *runner) extend(deadline int64) {
	r.leaseEnd = max(r.leaseEnd, min(deadline, r.now()+holdMax.Milliseconds()))
}

func (r *runner) start(c *call) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		r.machine.world.note("refuse", "%s run %d on %s: %s", c.Task, c.Run, r.machine.name, reason)
		return http.StatusConflict, map[string]any{wire["reason"]: reason}
	}
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		return http.StatusOK, map[string]any{}
	}
	if c.Deadline <= r.now() {
		return refuse("late")
	}
	r.extend(c.Deadline)
	if c.Run <= r.highest[c.Task] || r.runs[c.Task] != nil {
		return refuse("old")
	}
	_, s := r.machine.world.stepOf(c.Task)
	if s == nil {
		r.machine.world.fault("UNASKED", "%s is to start on %s, and no client sent it", c.Task, r.machine.name)
		return http.StatusBadRequest, map[string]any{}
	}
	if a := r.machine.advisor; a != nil && !a.isValid(c.Ticket, c.Task, r.id, r.born) {
		return refuse("ticket")
	}
	if r.used+reservedCPU(s) > r.machine.cpu && r.machine.guards {
		return refuse("room")
	}
	if r.used += reservedCPU(s); r.used > r.machine.cpu {
		r.machine.world.fault("LIMIT", "%s run %d brings %s to %d of %d thousandths of cores", c.Task, c.Run, r.machine.name, r.used, r.machine.cpu)
	}
	now := time.Now()
	r.highest[c.Task] = c.Run
	r.runs[c.Task] = &run{task: c.Task, number: c.Run, step: s, startedAt: now, savedAt: now, checkpoint: c.Checkpoint, pace: 100}
	r.machine.world.started(c.Task, c.Run, r.machine.name, c.Spec)
	return http.StatusOK, map[string]any{}
}

func (r *runner) stop(c *call) (int, map[string]any) {
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if x := r.runs[c.Task]; x != nil && x.number == c.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
		r.machine.world.note("stop", "%s run %d on %s", c.Task, c.Run, r.machine.name)
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) pace(c *call) (int, map[string]any) {
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		x.pace = c.Percent
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) hold(c *call) (int, map[string]any) {
	r.extend(c.Deadline)
	now := time.Now()
	for _, e := range r.ends {
		if e.number <= c.Acked && e.how == "done" && !r.lapsedAt.After(e.at) {
			r.machine.world.noteDone(e.task, e.run, r.machine.name)
		}
	}
	r.ends = slices.DeleteFunc(r.ends, func(e runEnd) bool { return e.number <= c.Acked })
	running, ends := [][]any{}, [][]any{}
	for _, x := range r.runs {
		use := x.step.CPU
		if x.step.TargetMS > 0 {
			use = x.step.TargetMS / 3
		}
		running = append(running, []any{x.task, x.number, x.checkpoint, x.percent(now), use})
	}
	slices.SortFunc(running, func(a, b []any) int { return cmp.Compare(a[0].(string), b[0].(string)) })
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{wire["running"]: running, wire["ends"]: ends}
}
