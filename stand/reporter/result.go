// Package reporter sums up what callers, batch and the judge saw in one line.
package reporter

import (
	"encoding/json"
	"io"
	"sort"
	"syscall"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
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

// Usage is what was used up to a moment.
type Usage struct {
	At            judge.Moment
	Reads, Writes int64
	// Processor is the time that this process has used, Useful that which
	// batch got and did not lose, both in seconds.
	Processor float64
	Useful    float64
}

// Input is what a result is made from.
type Input struct {
	Firm, Case, Policy, Routing, Guard, Only string
	Seed                                     uint64
	Tally                                    load.Tally
	History                                  judge.History
	Jobs                                     []administrator.Job
	Accepted                                 []load.Accepted
	Impossible                               int
	Before, After                            Usage
	// Spreads are the times that published sets took to be in force.
	Spreads []time.Duration
}

// Sum returns the result.
func Sum(in Input) Result {
	seconds := time.Duration(in.After.At - in.Before.At).Seconds()
	r := Result{
		Firm: in.Firm, Case: in.Case, Policy: in.Policy, Routing: in.Routing, Guard: in.Guard, Only: in.Only, Seed: in.Seed,
		Seconds: seconds, Tally: in.Tally, Verdict: in.History.Verdict(), Impossible: in.Impossible,
		CPUSeconds: in.After.Useful - in.Before.Useful, Processors: in.After.Processor - in.Before.Processor,
		Reads: float64(in.After.Reads-in.Before.Reads) / seconds, Writes: float64(in.After.Writes-in.Before.Writes) / seconds,
		SpreadP99: Quantile(in.Spreads, 0.99), Publishes: len(in.Spreads),
	}
	outcomes := load.Outcomes(in.Jobs, in.Accepted)
	r.Lost = in.History.Lost(outcomes)
	for _, out := range outcomes {
		r.Submitted += out.Tasks
		r.Parked += out.Parked
		r.Cancelled += out.Cancelled
	}
	for _, j := range in.Jobs {
		if j.Batch() {
			r.Evictions += j.Evictions
		}
	}
	r.fromHistory(in.History, in.Accepted)
	r.Longest = longestGap(in.History, in.Before.At, in.After.At)
	return r
}

// Quantile returns a quantile of the durations in milliseconds, 0 for none.
func Quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), list...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a] < sorted[b] })
	i := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / microsPerMilli
}

// microsPerMilli converts microseconds.
const microsPerMilli = 1000

// fromHistory fills in what the workers saw.
func (r *Result) fromHistory(h judge.History, accepted []load.Accepted) {
	for _, n := range h.FinishedByJob() {
		r.Finished += n
	}
	first := h.FirstStarts()
	var delays []time.Duration
	for _, a := range accepted {
		if at, began := first[cowslipbend.MakeTaskID(a.ID, 0)]; a.Urgent && began {
			delays = append(delays, time.Duration(at-a.SubmittedAt))
		}
	}
	r.Urgent, r.UrgentP99 = len(delays), Quantile(delays, 0.99)
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
		case e.Kind == judge.Failed && !load.AlwaysFails(e.Task):
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

// ProcessorTime returns the seconds that this process has used.
func ProcessorTime() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// Write writes the result as one line.
func (r Result) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
