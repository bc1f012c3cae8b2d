package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and sizes of a runner, as the pages of the deployments give them.
const (
	beatInterval = 1100 * time.Millisecond
	holdMax      = 10_000 // ms
	maxWait      = 2_000  // ms
	maxListed    = 500
	runnerCPU    = 16_000
	runnerMem    = 64_000
	startupTime  = 400 * time.Millisecond // until a task that lasts is at work
)

// run is one run of a task.
type run struct {
	task      string
	number    int64
	startedAt time.Time
	lasts     bool
	// length is the time that it takes, save that between two checkpoints; zero without.
	length, save time.Duration
	saved        string
}

func (x *run) percent() int {
	age := time.Since(x.startedAt)
	if x.lasts {
		if age < startupTime {
			return 0
		}
		return 100
	}
	return min(int(100*age/x.length), 99)
}

type runEnd struct {
	number int64
	run    *run
	how    string
}

// ledger holds what all runners have run.
type ledger struct {
	mu      sync.Mutex
	starts  map[string]int
	done    map[string]bool
	running map[string]int
	// endedAt is when the last run of a task ended.
	endedAt map[string]time.Time
	onEnd   func(x *run, how string)
}

func newLedger() *ledger {
	return &ledger{starts: map[string]int{}, done: map[string]bool{}, running: map[string]int{}, endedAt: map[string]time.Time{}}
}

// startsOf returns how many runs of the job were started.
func (l *ledger) startsOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, count := range l.starts {
		if strings.HasPrefix(task, job+".") {
			n += count
		}
	}
	return n
}

// runner stands in for one runner. It follows the pages: leases, fences, ends with numbers,
// and room that it guards.
type runner struct {
	id, addr, control string
	zone, rack        string
	born              int64
	began             time.Time
	record            *record
	ledger            *ledger
	quiet             bool
	server            *http.Server

	mu      sync.Mutex
	fence   int64
	lease   int64 // on its own clock
	granted bool
	runs    map[string]*run
	highest map[string]int64
	ends    []runEnd
	nextEnd int64
	beats   int64
	gone    bool
	changed chan struct{}
	stop    chan struct{}
}

func newRunner(rec *record, l *ledger, addr, control, zone, rack string) (*runner, error) {
	r := &runner{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: addr, control: control, zone: zone, rack: rack, born: time.Now().UnixMilli(), began: time.Now(), record: rec, ledger: l,
		runs: map[string]*run{}, highest: map[string]int64{}, nextEnd: 1, changed: make(chan struct{}), stop: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.Start, r.serve(r.start))
	mux.HandleFunc("POST "+wire.Stop, r.serve(r.stopRun))
	mux.HandleFunc("POST "+wire.Hold, r.serve(r.hold))
	mux.HandleFunc("POST "+wire.Pace, r.serve(func(*runnerCall, map[string]any) int { return http.StatusOK }))
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: mux}
	group.Go(func() { _ = r.server.Serve(ln) })
	group.Go(r.beat)
	group.Go(r.tick)
	return r, nil
}

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() }

// leave ends the runner for good, without a sign.
func (r *runner) leave() {
	r.mu.Lock()
	if !r.gone {
		r.gone = true
		for _, x := range r.runs {
			r.end(x, "gone")
		}
		close(r.stop)
	}
	r.mu.Unlock()
	_ = r.server.Close()
}

// beat sends heartbeats until the runner leaves.
func (r *runner) beat() {
	client := &http.Client{Timeout: time.Second}
	acked := false
	for pause := time.Duration(0); ; {
		select {
		case <-r.stop:
			return
		case <-time.After(pause):
		}
		pause = beatInterval
		body, err := json.Marshal(r.heartbeat())
		if err != nil {
			panic(err)
		}
		resp, err := client.Post("http://"+r.control+wire.Beat+r.id, "application/json", bytes.NewReader(body))
		if err != nil {
			if !acked {
				pause = 100 * time.Millisecond // The machine is starting.
			}
			continue
		}
		acked = true
		_ = resp.Body.Close()
	}
}

// heartbeat returns the body of the next heartbeat.
func (r *runner) heartbeat() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	return map[string]any{
		"service": "ledger", "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": r.beats, "born": r.born,
		"capacity": map[string]int{"cpu": runnerCPU, "mem_mb": runnerMem, "gpu": 0}, "labels": []string{"a", r.rack}, "clock_ms": r.clock(),
	}
}

// tick ends the runs that are due until the runner leaves.
func (r *runner) tick() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
			r.mu.Lock()
			r.endDue()
			r.mu.Unlock()
		}
	}
}

// endDue ends the runs that are done or whose lease has ended. The caller holds the lock.
func (r *runner) endDue() {
	lapsed := r.clock() > r.lease
	for _, x := range r.runs {
		age := time.Since(x.startedAt)
		if x.save > 0 {
			if n := int64(age / x.save); n > 0 {
				x.saved = checkpoint(x, n)
			}
		}
		switch {
		case lapsed:
			r.end(x, "lapsed")
		case !x.lasts && age >= x.length:
			r.end(x, "done")
		}
	}
}

// checkpoint returns the name of the run's checkpoint with the number, in the form of a UUID.
func checkpoint(x *run, n int64) string {
	sum := sha256.Sum256(fmt.Append(nil, x.task, x.number, n))
	return fmt.Sprintf("%x-%x-%x-%x-%x", sum[:4], sum[4:6], sum[6:8], sum[8:10], sum[10:16])
}

// end ends a run. The caller holds the lock.
func (r *runner) end(x *run, how string) {
	delete(r.runs, x.task)
	r.ends = append(r.ends, runEnd{r.nextEnd, x, how})
	r.nextEnd++
	close(r.changed)
	r.changed = make(chan struct{})
	if !r.quiet {
		r.record.add("%s: %s run %d ends: %s", r.id, x.task, x.number, how)
	}
	l := r.ledger
	l.mu.Lock()
	l.running[x.task]--
	l.endedAt[x.task] = time.Now()
	l.done[x.task] = l.done[x.task] || how == "done"
	onEnd := l.onEnd
	l.mu.Unlock()
	if onEnd != nil {
		onEnd(x, how)
	}
}

// runnerCall is the body of a call to the runner.
type runnerCall struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Checkpoint string `json:"checkpoint"`
	Fence      int64  `json:"fencing_token"`
	Acked      int64  `json:"ack_seq"`
	Wait       int64  `json:"wait_ms"`
}

func (r *runner) serve(operation func(*runnerCall, map[string]any) int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get(wire.Instance) != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c runnerCall
		if json.NewDecoder(req.Body).Decode(&c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.await(req, &c)
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		body := map[string]any{"born": r.born}
		code := http.StatusConflict
		if c.Fence < r.fence {
			body["reason"] = "fence"
		} else {
			r.fence = c.Fence
			r.lease = max(r.lease, min(c.Deadline, r.clock()+holdMax))
			r.granted = r.granted || c.Deadline > 0
			r.endDue()
			code = operation(&c, body)
		}
		body["clock_ms"] = r.clock()
		r.mu.Unlock()
		reply(w, code, body)
	}
}

// await has a call wait for an end that it does not acknowledge.
func (r *runner) await(req *http.Request, c *runnerCall) {
	over := time.After(time.Duration(min(c.Wait, maxWait)) * time.Millisecond)
	for c.Wait > 0 {
		r.mu.Lock()
		ready := r.gone || (len(r.ends) > 0 && r.ends[len(r.ends)-1].number > c.Acked)
		changed := r.changed
		r.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-changed:
		case <-over:
			return
		case <-r.stop:
			return
		case <-req.Context().Done():
			return
		}
	}
}

// spec returns a word NAME=N of a spec, as a number of milliseconds.
func spec(text, name string) time.Duration {
	head, _, _ := strings.Cut(text, "|")
	for _, word := range strings.Fields(head) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return time.Duration(n) * time.Millisecond
		}
	}
	return 0
}

// length returns how long a task takes: ms, and up to spread more, which differs by task.
func length(c *runnerCall) time.Duration {
	span := max(spec(c.Spec, "ms"), time.Millisecond)
	if spread := spec(c.Spec, "spread"); spread > 0 {
		sum := sha256.Sum256([]byte(c.Task))
		span += time.Duration(binary.BigEndian.Uint32(sum[:4])) * time.Millisecond % spread
	}
	return span
}

func (r *runner) start(c *runnerCall, body map[string]any) int {
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		return http.StatusOK
	}
	switch {
	case c.Run <= r.highest[c.Task]:
		body["reason"] = "old"
		return http.StatusConflict
	case c.Deadline < r.clock():
		body["reason"] = "late"
		return http.StatusConflict
	}
	r.highest[c.Task] = c.Run
	x := &run{task: c.Task, number: c.Run, startedAt: time.Now(), length: length(c), save: spec(c.Spec, "save"), lasts: strings.HasPrefix(c.Spec, "lasts"), saved: c.Checkpoint}
	r.runs[c.Task] = x
	if !r.quiet {
		r.record.add("%s: %s run %d starts", r.id, c.Task, c.Run)
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[c.Task]++
	l.running[c.Task]++
	return http.StatusOK
}

func (r *runner) stopRun(c *runnerCall, _ map[string]any) int {
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		r.end(x, "stopped")
	}
	return http.StatusOK
}

func (r *runner) hold(c *runnerCall, body map[string]any) int {
	r.ends = slices.DeleteFunc(r.ends, func(e runEnd) bool { return e.number <= c.Acked })
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.number, x.saved, x.percent(), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListed)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, e.run.saved})
	}
	body["running"], body["ended_runs"] = running, ended
	return http.StatusOK
}

// isGranted reports whether the runner has ever got a lease.
func (r *runner) isGranted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.granted
}
