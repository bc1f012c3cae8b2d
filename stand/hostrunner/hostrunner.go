// Package hostrunner is a stand-in for the platform's runner on a host. It
// implements the published protocol for runs and heartbeats, and records what a
// scheduler must never do: start a task that is still running, unless its step
// allows a copy, whose end as done has been acknowledged, or whose preceding steps
// are not done.
package hostrunner

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
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

// PerpetualSpec is the spec of tasks that run until they are stopped.
const PerpetualSpec = "lasting"

// CrashSpec is the spec of jobs whose first task crashes each runner that starts it.
const CrashSpec = "crash"

// FailingSpec is the spec of jobs whose tasks last, but fail after a random time of
// minFailingTime and maxExtraFailingTime at most on top.
const (
	FailingSpec         = "failing"
	minFailingTime      = cowslipbend.Second
	maxExtraFailingTime = 6 * cowslipbend.Second
)

// LongSpec is the spec of jobs whose tasks run for longDuration on all runners.
const (
	LongSpec     = "long"
	longDuration = 4 * cowslipbend.Second
)

// listedEnds is the number of ends that a runner lists at a time.
const listedEnds = 500

// crashDelay is the time from the start of such a task to the crash.
const crashDelay = 10 * time.Millisecond

// A task that crashes runners may be started less than maxLateStarts times after
// maxTaskCrashes crashes.
const (
	maxTaskCrashes = 3
	maxLateStarts  = 3
)

// perpetualDuration is the duration of their runs, longer than any test.
const perpetualDuration = cowslipbend.Day

// Pool holds the state that all runners share. It records the starts and ends
// of all tasks, and thereby violations that span runners.
type Pool struct {
	mu sync.Mutex
	// running maps each running task to its runs. ackedDone holds when the agent
	// acknowledged the end of a task as done.
	running   map[string][]*run
	ackedDone map[string]cowslipbend.Time
	// copySteps maps each job with a step that allows copies to that step. copies
	// counts the second runs that were started beside the first.
	copySteps map[string]int
	copies    int
	// done holds the tasks that have ended as done. stepTasks is the number of
	// tasks in each step of every job; empty if the order is not checked.
	done      map[string]bool
	stepTasks []int
	// startedJobs holds the jobs with a task that has been started.
	startedJobs map[string]bool
	faults      []string
	starts      int
	// startsOn counts the starts by runner, startsOf by task. lastStarts holds the run of each
	// task that was started last.
	startsOn, startsOf map[string]int
	lastStarts         map[string]*run
	// noStartsFrom holds the failure domains in which no task may start from the
	// time on.
	noStartsFrom map[string]cowslipbend.Time
	// crashes counts the crashes by task, lateStarts the starts of a task after
	// maxTaskCrashes of them.
	crashes, lateStarts map[string]int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		running: map[string][]*run{}, ackedDone: map[string]cowslipbend.Time{}, done: map[string]bool{}, startedJobs: map[string]bool{}, copySteps: map[string]int{}, startsOn: map[string]int{}, startsOf: map[string]int{}, lastStarts: map[string]*run{}, noStartsFrom: map[string]cowslipbend.Time{},
		crashes: map[string]int{}, lateStarts: map[string]int{},
	}
}

// ExpectSteps enables the check that steps run in order. It expects every job
// to have steps with these numbers of tasks, each dependent on the step before.
func (p *Pool) ExpectSteps(stepTasks ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepTasks = stepTasks
}

// ForbidStarts records a fault for each task that starts in the failure domain from
// the time on, until AllowStarts is called.
func (p *Pool) ForbidStarts(domain string, from cowslipbend.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noStartsFrom[domain] = from
}

// AllowStarts ends the effect of ForbidStarts.
func (p *Pool) AllowStarts(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.noStartsFrom, domain)
}

// AllowCopies permits two runs at once, on different runners, of each task of one step
// of the job.
func (p *Pool) AllowCopies(job string, step int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copySteps[job] = step
}

// Copies returns the number of second runs that were started beside the first.
func (p *Pool) Copies() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copies
}

// Crashes returns the number of runners that a job has crashed.
func (p *Pool) Crashes(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes[job+".0.0.0"]
}

// recordCrash records that a task has crashed its runner.
func (p *Pool) recordCrash(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes[task]++
}

// JobStarted reports whether any task of the job has been started.
func (p *Pool) JobStarted(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedJobs[job]
}

// RunningTasks returns the names of the running tasks, sorted.
func (p *Pool) RunningTasks() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.running))
}

// recordStart records the start of a run in a failure domain, and a fault for each
// invariant that it violates. The request to start it arrived at the time; what the
// runner delays after that is not the scheduler's fault.
func (p *Pool) recordStart(x *run, domain string, arrivedAt cowslipbend.Time, contact func() bool) {
	if from, out := p.noStartsFrom[domain]; out && arrivedAt >= from {
		p.addFault("%s %s after starts in domain %s had to end", x.startText(), arrivedAt.Sub(from), domain)
	}
	p.checkCrashes(x)
	p.starts++
	p.startsOn[x.runner]++
	p.startsOf[x.task]++
	p.lastStarts[x.task] = x
	job, round, step, ok := splitTaskName(x.task)
	if others := p.running[x.task]; len(others) > 0 {
		if p.allowsCopies(x.task) && len(others) == 1 && others[0].runner != x.runner {
			p.copies++
		} else {
			p.addFault("%s while %s", x.startText(), runningText(others))
		}
	}
	if ackedAt, acked := p.ackedDone[x.task]; acked && p.mustKnowEnd(x.task, ackedAt, contact) {
		p.addFault("%s %s after its end as done was acknowledged", x.startText(), timer.Host{}.Now().Sub(ackedAt))
	}
	p.running[x.task] = append(p.running[x.task], x)
	p.startedJobs[job] = true
	for i := range step {
		if !ok || i >= len(p.stepTasks) {
			return
		}
		for n := range p.stepTasks[i] {
			if predecessor := fmt.Sprintf("%s.%s.%d.%d", job, round, i, n); !p.done[predecessor] {
				p.addFault("%s before %s is done", x.startText(), predecessor)
			}
		}
	}
}

// addFault records a fault. The caller holds the lock.
func (p *Pool) addFault(format string, args ...any) {
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// maxEndNews is how long a copy may start after the end of the other run was acknowledged.
const maxEndNews = cowslipbend.Second

// mustKnowEnd reports whether the task may not start after the end. A task that may have
// two runs may, for maxEndNews and where the sender of the start was out of contact.
func (p *Pool) mustKnowEnd(task string, ackedAt cowslipbend.Time, contact func() bool) bool {
	if !p.allowsCopies(task) {
		return true
	}
	return timer.Host{}.Now().Sub(ackedAt) > maxEndNews && (contact == nil || contact())
}

// recordAck records that an end was acknowledged, and a fault if the task was started again
// after that end as done. The caller holds the lock.
func (p *Pool) recordAck(e *endedRun) {
	if e.reason != "done" || e.leaseLapsed {
		return
	}
	if p.ackedDone[e.run.task] == 0 {
		p.ackedDone[e.run.task] = timer.Host{}.Now()
	}
	if p.startsOf[e.run.task] > e.starts && !p.allowsCopies(e.run.task) {
		p.addFault("%s after the end of %s as done, which is acknowledged now", p.lastStarts[e.run.task].startText(), &e.run)
	}
}

// allowsCopies reports whether the task may have two runs.
func (p *Pool) allowsCopies(task string) bool {
	job, _, step, ok := splitTaskName(task)
	copyStep, allowed := p.copySteps[job]
	return ok && allowed && step == copyStep
}

// checkCrashes records a fault if a task that crashes runners is started too often.
func (p *Pool) checkCrashes(x *run) {
	if p.crashes[x.task] < maxTaskCrashes {
		return
	}
	if p.lateStarts[x.task]++; p.lateStarts[x.task] == maxLateStarts {
		p.addFault("%s for the %dth time after its task has crashed %d runners", x.startText(), maxLateStarts, maxTaskCrashes)
	}
}

// splitTaskName splits a name of the form job.round.step.index. For any other
// name it returns the whole name as the job, and false.
func splitTaskName(task string) (job, round string, step int, ok bool) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return task, "", 0, false
	}
	step, err := strconv.Atoi(p[2])
	return p[0], p[1], step, err == nil
}

// Faults describes each violation recorded so far.
func (p *Pool) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.faults...)
}

// Starts returns the number of runs started.
func (p *Pool) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// StartsOn returns the number of runs started by the runner with the name.
func (p *Pool) StartsOn(runner string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startsOn[runner]
}

type run struct {
	task   string
	number int64
	// runner and bornAt are the incarnation that carries it out, startedAt is the wall time. late
	// is how long after its arrival the start was carried out.
	runner    string
	bornAt    int64
	startedAt time.Time
	late      cowslipbend.Span
	endsAt    cowslipbend.Time
	// duration is the run time at full speed.
	duration cowslipbend.Span
	// ending is how it ends by itself.
	ending string
}

// String returns the name of the run, with its incarnation as the logs of the programs have it.
func (x *run) String() string {
	return fmt.Sprintf("run %d on %s@%d", x.number, x.runner, x.bornAt)
}

// startText tells of the start of the run.
func (x *run) startText() string {
	return fmt.Sprintf("%s %s starts at %s%s", x.task, x, clockText(x.startedAt), x.lateText())
}

// lateText tells how late the start was carried out, if it was.
func (x *run) lateText() string {
	if x.late == 0 {
		return ""
	}
	return fmt.Sprintf(" (carried out %s after its arrival)", x.late)
}

// runningText tells of runs that go on.
func runningText(runs []*run) string {
	texts := make([]string, len(runs))
	for i, x := range runs {
		texts[i] = fmt.Sprintf("%s runs since %s%s", x, clockText(x.startedAt), x.lateText())
	}
	return strings.Join(texts, " and ")
}

// clockText returns the time of day as the logs of the programs have it.
func clockText(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// percent returns the progress of the run at the time on a runner that is slowed
// down. A task that runs until it is stopped is at work, which is 100.
func (x *run) percent(now cowslipbend.Time, slowdown cowslipbend.Span) cowslipbend.Span {
	if x.duration == perpetualDuration {
		return 100
	}
	return 100 - min(max(100*x.endsAt.Sub(now)/(slowdown*x.duration), 1), 100)
}

// Runner is one incarnation of a runner.
type Runner struct {
	pool         *Pool
	name         string
	bornAt       int64
	taskDuration cowslipbend.Span
	domain       string

	mu sync.Mutex
	// clockStart is when the runner's clock began, on the host's clock; zero if it is that
	// one. The times of leases and runs are on the runner's clock.
	clockStart cowslipbend.Time
	// maxLease is the longest lease; zero if there is no limit.
	maxLease     cowslipbend.Span
	fence        int64
	leaseUntil   cowslipbend.Time
	runs         map[string]*run
	highestRuns  map[string]int64
	endedRuns    []endedRun
	nextEnd      int64
	heartbeatSeq int64
	address      string
	dropsAnswers bool
	// slowdown is the factor by which tasks take longer.
	slowdown cowslipbend.Span
	crashed  bool
	// onCrash is called when a task has crashed the runner; it may be nil.
	onCrash func()
	// contact is set by SetContact; it may be nil.
	contact func() bool
}

type endedRun struct {
	number int64
	run    run
	reason string
	// starts counts the starts of the task until then.
	starts int
	// leaseLapsed is set if the lease has lapsed since. The acknowledgement does not count
	// then, as the run may have been given up.
	leaseLapsed bool
}

// New returns a runner whose tasks are done after the given duration.
func New(pool *Pool, name string, taskDuration cowslipbend.Span) *Runner {
	return &Runner{
		pool: pool, name: name, bornAt: time.Now().UnixMilli(), taskDuration: taskDuration, domain: "z", address: "127.0.0.1:1", slowdown: 1,
		runs: map[string]*run{}, highestRuns: map[string]int64{}, nextEnd: 1,
	}
}

// SetAddress sets the address that the heartbeats name. It must be called before the
// first heartbeat.
func (r *Runner) SetAddress(address string) { r.address = address }

// SetDomain sets the failure domain of the runner. It must be called before the
// first heartbeat.
func (r *Runner) SetDomain(domain string) { r.domain = domain }

// SetContact sets what tells whether the agent of the runner has been in contact with the
// other processes for some time. It must be called before the first request.
func (r *Runner) SetContact(f func() bool) { r.contact = f }

// StartClock has the runner's clock begin anew, as that of each incarnation does. Without it,
// the clock is that of the host. It must be called before the first request.
func (r *Runner) StartClock() { r.clockStart = timer.Host{}.Now() }

// SetMaxLease sets the longest lease. Longer ones are shortened. It must be called before the
// first request.
func (r *Runner) SetMaxLease(span cowslipbend.Span) { r.maxLease = span }

// now returns the time on the runner's clock.
func (r *Runner) now() cowslipbend.Time { return timer.Host{}.Now() - r.clockStart }

// extendLease extends the lease of all runs to the time, and no further than maxLease. The
// caller holds the lock.
func (r *Runner) extendLease(until cowslipbend.Time) {
	if r.maxLease > 0 {
		until = min(until, r.now().Add(r.maxLease))
	}
	r.leaseUntil = max(r.leaseUntil, until)
}

// OnCrash sets what is called when a task has crashed the runner. It must be called
// before the first request.
func (r *Runner) OnCrash(f func()) { r.onCrash = f }

// crashBy crashes the runner because of a task, if the run is still there.
func (r *Runner) crashBy(task string, number int64) {
	r.mu.Lock()
	x := r.runs[task]
	hit := !r.crashed && x != nil && x.number == number
	r.mu.Unlock()
	if !hit {
		return
	}
	r.pool.recordCrash(task)
	r.Crash()
	if r.onCrash != nil {
		r.onCrash()
	}
}

// SetDropAnswers makes the runner execute requests and break the connection
// instead of answering.
func (r *Runner) SetDropAnswers(drop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropsAnswers = drop
}

// SetSlowdown makes the tasks take longer by a factor, from 1 on, from now on.
func (r *Runner) SetSlowdown(factor int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endDueRuns()
	now := r.now()
	for _, x := range r.runs {
		x.endsAt = now.Add(x.endsAt.Sub(now) * cowslipbend.Span(factor) / r.slowdown)
	}
	r.slowdown = cowslipbend.Span(factor)
}

type request struct {
	Task     string `json:"task"`
	Spec     string `json:"spec"`
	Run      int64  `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Acked    int64  `json:"ack_seq"`
	Wait     int64  `json:"wait_ms"`

	// arrivedAt is when the runner carries the call out, late how long after its arrival at the host.
	arrivedAt cowslipbend.Time
	late      cowslipbend.Span
}

// arrivalKey is the key of the time at which a call that is carried out late arrived.
type arrivalKey struct{}

// WithArrival returns a context for a call that is carried out late. Faults tell how long
// after the time of its arrival that was.
func WithArrival(ctx context.Context, at cowslipbend.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// Handler serves the agent's requests.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, operation := range map[string]func(*request, map[string]any) int{
		"run-start": r.start, "run-stop": r.stop, "hold": r.hold, "pace": func(*request, map[string]any) int { return http.StatusOK },
	} {
		mux.HandleFunc("POST /-/"+path, func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, operation) })
	}
	return mux
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request, operation func(*request, map[string]any) int) {
	c := request{arrivedAt: timer.Host{}.Now()}
	if at, late := req.Context().Value(arrivalKey{}).(cowslipbend.Time); late {
		c.late = max(c.arrivedAt.Sub(at), 1)
	}
	if req.Header.Get("X-Cowslipbend-Expect-Instance") != r.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.waitForEnd(req.Context(), &c)
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.endDueRuns()
	body := map[string]any{"clock_ms": r.now(), "born": r.bornAt}
	code := http.StatusConflict
	if c.Fence < r.fence {
		body["reason"] = "fence"
	} else {
		r.fence = c.Fence
		code = operation(&c, body)
	}
	drop := r.dropsAnswers
	r.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // The agent retries if the answer is lost.
}

// waitPollInterval is the interval at which a waiting request checks for ended
// runs.
const waitPollInterval = 5 * time.Millisecond

// waitForEnd returns once a run has ended whose end the request does not
// acknowledge, the runner has crashed, or the wait that the request asks for is
// over.
func (r *Runner) waitForEnd(ctx context.Context, c *request) {
	for end := time.Now().Add(time.Duration(c.Wait) * time.Millisecond); time.Now().Before(end); {
		r.mu.Lock()
		r.endDueRuns()
		ended := r.crashed || len(r.endedRuns) > 0 && r.endedRuns[len(r.endedRuns)-1].number > c.Acked
		r.mu.Unlock()
		if ended {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(waitPollInterval):
		}
	}
}

// endDueRuns ends the runs that are done, and those that were still running
// when the lease lapsed. The lock must be held.
func (r *Runner) endDueRuns() {
	now := r.now()
	if r.leaseUntil < now {
		for i := range r.endedRuns {
			r.endedRuns[i].leaseLapsed = true
		}
	}
	for _, x := range r.runs {
		switch {
		case r.leaseUntil < min(now, x.endsAt):
			r.endRun(x, "lapsed")
		case now >= x.endsAt:
			r.endRun(x, x.ending)
		}
	}
}

// EndDueRuns ends the runs that are due. The caller must call it regularly, as
// otherwise runs end only when a request arrives.
func (r *Runner) EndDueRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endDueRuns()
}

// Crash ends all runs and breaks the connection of every later request.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endDueRuns()
	for _, x := range r.runs {
		r.endRun(x, "lapsed")
	}
	r.crashed = true
}

func (r *Runner) endRun(x *run, reason string) {
	delete(r.runs, x.task)
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.endedRuns = append(r.endedRuns, endedRun{number: r.nextEnd, run: *x, reason: reason, starts: r.pool.startsOf[x.task]})
	r.nextEnd++
	runs := slices.DeleteFunc(r.pool.running[x.task], func(y *run) bool { return y == x })
	if r.pool.running[x.task] = runs; len(runs) == 0 {
		delete(r.pool.running, x.task)
	}
	r.pool.done[x.task] = r.pool.done[x.task] || reason == "done"
}

func (r *Runner) start(c *request, body map[string]any) int {
	now := r.now()
	r.extendLease(cowslipbend.Time(c.Deadline))
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		return http.StatusOK
	}
	switch {
	case c.Run <= r.highestRuns[c.Task]:
		body["reason"] = "old"
		return http.StatusConflict
	case cowslipbend.Time(c.Deadline) < now:
		body["reason"] = "late"
		return http.StatusConflict
	}
	r.highestRuns[c.Task] = c.Run
	duration, length, ending := r.taskDuration, cowslipbend.Span(0), "done"
	switch c.Spec {
	case FailingSpec:
		duration, ending = perpetualDuration, "failed"
		length = minFailingTime + cowslipbend.Span(rand.Int64N(int64(maxExtraFailingTime)))
	case PerpetualSpec:
		duration = perpetualDuration
	case LongSpec:
		duration = longDuration
	}
	x := &run{task: c.Task, number: c.Run, runner: r.name, bornAt: r.bornAt, startedAt: time.Now(), late: c.late, endsAt: now.Add(cmp.Or(length, duration) * r.slowdown), duration: duration, ending: ending}
	r.runs[c.Task] = x
	if c.Spec == CrashSpec && strings.HasSuffix(c.Task, ".0.0.0") {
		time.AfterFunc(crashDelay, func() { r.crashBy(c.Task, c.Run) })
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.recordStart(x, r.domain, c.arrivedAt, r.contact)
	return http.StatusOK
}

func (r *Runner) stop(c *request, _ map[string]any) int {
	r.highestRuns[c.Task] = max(r.highestRuns[c.Task], c.Run)
	if x := r.runs[c.Task]; x != nil && x.number == c.Run {
		r.endRun(x, "stopped")
	}
	return http.StatusOK
}

func (r *Runner) hold(c *request, body map[string]any) int {
	r.extendLease(cowslipbend.Time(c.Deadline))
	running, ended := [][]any{}, [][]any{}
	now := r.now()
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.number, "", int(x.percent(now, r.slowdown)), 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	var unacked []endedRun
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for _, e := range r.endedRuns {
		if e.number <= c.Acked {
			r.pool.recordAck(&e)
			continue
		}
		if unacked = append(unacked, e); len(ended) < listedEnds {
			ended = append(ended, []any{e.number, e.run.task, e.run.number, e.reason, ""})
		}
	}
	r.endedRuns = unacked
	body["running"], body["ended_runs"] = running, ended
	return http.StatusOK
}

// heartbeatTimeout is how long a runner waits for the answer to a heartbeat.
const heartbeatTimeout = time.Second

// SendHeartbeat sends one heartbeat to the agent at the address.
func (r *Runner) SendHeartbeat(control, service string, draining bool) error {
	r.mu.Lock()
	r.heartbeatSeq++
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": service, "address": r.address, "zone": r.domain, "version": "v1", "slots": 8, "state": state, "sequence": r.heartbeatSeq, "born": r.bornAt,
		"capacity": map[string]int{"cpu": 4000, "mem_mb": 8192}, "labels": []string{"a", "r1"}, "clock_ms": r.now(),
	})
	r.mu.Unlock()
	if err != nil {
		return err
	}
	client := http.Client{Timeout: heartbeatTimeout}
	resp, err := client.Post("http://"+control+"/-/Instances.Heartbeat/"+r.name, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
