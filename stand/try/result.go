package try

import (
	"encoding/json"
	"fmt"
	"io"
	"syscall"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/director"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/load"
)

// Result is the one line that a try ends with.
type Result struct {
	Firm    string  `json:"firm"`
	Case    string  `json:"case"`
	Policy  string  `json:"policy"`
	Routing string  `json:"routing,omitempty"`
	Guard   string  `json:"guard,omitempty"`
	Only    string  `json:"only,omitempty"`
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	load.Tally
	judge.Verdict
	// Submitted counts accepted tasks, Finished those that workers finished.
	Submitted int `json:"submitted"`
	Finished  int `json:"finished"`
	Parked    int `json:"parked"`
	Cancelled int `json:"cancelled"`
	// Impossible counts jobs that were refused for good at submission.
	Impossible int `json:"impossible"`
	// CPUSeconds is the processor time of batch under load that was not lost
	// again, in core-seconds.
	CPUSeconds float64 `json:"cpuseconds"`
	Evictions  int     `json:"evictions"`
	// Attempts counts attempts of batch, Failures those that failed, and
	// BadShare the share of failed ones on the worker with the most.
	Attempts int     `json:"attempts"`
	Failures int     `json:"failures"`
	BadShare float64 `json:"badshare"`
	// UrgentP99 is the time from the first submission of an urgent task to its
	// start, Longest the longest time without any start, in milliseconds.
	UrgentP99 float64 `json:"urgentp99"`
	Urgent    int     `json:"urgent"`
	Longest   float64 `json:"longestgap"`
	// Reads and Writes are those of the table in a second of load.
	Reads      float64 `json:"reads"`
	Writes     float64 `json:"writes"`
	SpreadP99  float64 `json:"spreadp99"` // milliseconds
	Publishes  int     `json:"publishes"`
	Processors float64 `json:"processors"` // seconds of this whole process under load
}

// usage is what was used up to a moment.
type usage struct {
	at            time.Time
	reads, writes int64
	processor     float64
	useful        float64
	moment        judge.Moment
}

func (s *System) usage() usage {
	u := usage{at: time.Now(), processor: processorTime(), moment: judge.Now()}
	u.reads, u.writes = s.platform.Table.Counts()
	u.useful, _ = s.Progress()
	return u
}

func (p *player) sum(jobs []director.Job, before, after usage) Result {
	o := p.opts
	seconds := after.at.Sub(before.at).Seconds()
	h := p.judge.Events()
	accepted := p.batch.Accepted()
	r := Result{
		Firm: o.Firm, Case: o.Case, Policy: o.Policy, Routing: o.Routing, Guard: o.Guard, Only: o.Only, Seed: o.Seed,
		Seconds: seconds, Tally: p.callers.Tally(), Verdict: h.Verdict(), Impossible: p.batch.Refused(),
		CPUSeconds: after.useful - before.useful, Processors: after.processor - before.processor,
		Reads: float64(after.reads-before.reads) / seconds, Writes: float64(after.writes-before.writes) / seconds,
	}
	for _, f := range h.Faults() {
		p.log.Error("an invariant is broken", "counter", f.Counter, "why", f.Why, "event", fmt.Sprintf("%+v", f.Event))
	}
	outcomes := load.Outcomes(jobs, accepted)
	r.Lost = h.Lost(outcomes)
	for _, out := range outcomes {
		r.Submitted += out.Tasks
		r.Parked += out.Parked
		r.Cancelled += out.Cancelled
	}
	for _, j := range jobs {
		if j.Batch() {
			r.Evictions += j.Evictions
		}
	}
	r.SpreadP99, r.Publishes = p.spreads.p99()
	r.fromHistory(h, accepted)
	r.Longest = longestGap(h, before.moment, after.moment)
	return r
}

// fromHistory fills in what the workers saw.
func (r *Result) fromHistory(h judge.History, accepted []load.Accepted) {
	for _, n := range h.FinishedByJob() {
		r.Finished += n
	}
	first := h.FirstBegan()
	var delays []time.Duration
	for _, a := range accepted {
		if at, began := first[cowslipbend.MakeTaskID(a.ID, 0)]; a.Urgent && began {
			delays = append(delays, time.Duration(at-a.Asked))
		}
	}
	r.Urgent, r.UrgentP99 = len(delays), quantile(delays, 0.99)
	r.attempts(h)
}

// attempts counts attempts and failures. Failures of jobs that fail anywhere
// are left out.
func (r *Result) attempts(h judge.History) {
	type attempt struct {
		task cowslipbend.TaskID
		n    cowslipbend.Attempt
	}
	seen := map[attempt]bool{}
	byWorker := map[cowslipbend.WorkerID]int{}
	for _, e := range h.Events {
		switch {
		case e.Kind == judge.Began:
			seen[attempt{e.Task, e.Attempt}] = true
		case e.Kind == judge.Failed && !load.Broken(e.Task):
			r.Failures++
			byWorker[e.Worker]++
		}
	}
	r.Attempts = len(seen)
	worst := 0
	for _, n := range byWorker {
		worst = max(worst, n)
	}
	if r.Attempts > 0 {
		r.BadShare = float64(worst) / float64(r.Attempts)
	}
}

// longestGap returns the longest time without any start of a task between two
// moments, in milliseconds.
func longestGap(h judge.History, from, to judge.Moment) float64 {
	last, longest := from, judge.Moment(0)
	for _, e := range h.Events {
		if e.Kind != judge.Began || e.At < from || e.At > to {
			continue
		}
		longest = max(longest, e.At-last)
		last = e.At
	}
	return float64(max(longest, to-last)) / float64(time.Millisecond)
}

// processorTime returns the seconds that this process has used.
func processorTime() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// Write writes the result as one line.
func (r Result) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
