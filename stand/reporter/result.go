// Package reporter summarises the records of callers, batch jobs and the judge
// in one result line.
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

// Result is the line that a try or a load prints at its end.
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
	// AcceptedTasks is the number of tasks in accepted jobs, Finished the number of
	// tasks that workers finished.
	AcceptedTasks int `json:"submitted"`
	Finished      int `json:"finished"`
	Parked        int `json:"parked"`
	Cancelled     int `json:"cancelled"`
	// RefusedJobs is the number of jobs that were refused for good when they were
	// submitted.
	RefusedJobs int `json:"impossible"`
	// CPUSeconds is the processor time, in core-seconds, that batch tasks used
	// during the load and did not lose. A load on other processes counts only tasks
	// that finished.
	CPUSeconds float64 `json:"cpuseconds"`
	Evictions  int     `json:"evictions"`
	// Attempts is the number of attempts of batch tasks that began, Failures the
	// number that failed, and BadShare the failures on the worker with the most
	// of them as a share of all attempts.
	Attempts int     `json:"attempts"`
	Failures int     `json:"failures"`
	BadShare float64 `json:"badshare"`
	// UrgentP99 is the 99th percentile of the time from the first submission of
	// an urgent job to the start of its first task, over the UrgentJobs that
	// started. LongestStartGap is the longest time without the start of any
	// task. Both are in milliseconds.
	UrgentP99       float64 `json:"urgentp99"`
	UrgentJobs      int     `json:"urgent"`
	LongestStartGap float64 `json:"longestgap"`
	// Reads and Writes are the requests to the table per second of load.
	// PublishP99 is the 99th percentile of the times from a publish until all
	// entries and agents applied it, over the number of publishes in Publishes.
	Reads      float64 `json:"reads"`
	Writes     float64 `json:"writes"`
	PublishP99 float64 `json:"spreadp99"` // milliseconds
	Publishes  int     `json:"publishes"`
	ProcessCPU float64 `json:"processors"` // CPU seconds of this process during the load
}

// Usage is the cumulative use of resources at a moment.
type Usage struct {
	At            judge.Moment
	Reads, Writes int64
	// ProcessCPU is the CPU time of this process, BatchCPU that which batch tasks
	// used and did not lose, both in seconds.
	ProcessCPU float64
	BatchCPU   float64
}

// Input is the data that a result summarises.
type Input struct {
	Firm, Case, Policy, Routing, Guard, Only string
	Seed                                     uint64
	Tally                                    load.Tally
	History                                  judge.History
	Jobs                                     []administrator.Job
	Accepted                                 []load.AcceptedJob
	RefusedJobs                              int
	Before, After                            Usage
	// PublishLatencies are the times that published sets took to take effect.
	PublishLatencies []time.Duration
}

// Summarise computes the result.
func Summarise(in Input) Result {
	seconds := time.Duration(in.After.At - in.Before.At).Seconds()
	r := Result{
		Firm: in.Firm, Case: in.Case, Policy: in.Policy, Routing: in.Routing, Guard: in.Guard, Only: in.Only, Seed: in.Seed,
		Seconds: seconds, Tally: in.Tally, Verdict: in.History.Verdict(), RefusedJobs: in.RefusedJobs,
		CPUSeconds: in.After.BatchCPU - in.Before.BatchCPU, ProcessCPU: in.After.ProcessCPU - in.Before.ProcessCPU,
		Reads: float64(in.After.Reads-in.Before.Reads) / seconds, Writes: float64(in.After.Writes-in.Before.Writes) / seconds,
		PublishP99: Quantile(in.PublishLatencies, 0.99), Publishes: len(in.PublishLatencies),
	}
	outcomes := load.JobOutcomes(in.Jobs, in.Accepted)
	r.Lost = in.History.Lost(outcomes)
	for _, out := range outcomes {
		r.AcceptedTasks += out.Tasks
		r.Parked += out.Parked
		r.Cancelled += out.Cancelled
	}
	for _, j := range in.Jobs {
		if j.Batch() {
			r.Evictions += j.Evictions
		}
	}
	r.addHistory(in.History, in.Accepted)
	r.LongestStartGap = longestStartGap(in.History, in.Before.At, in.After.At)
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

const microsPerMilli = 1000

// addHistory adds the figures that follow from the events of workers.
func (r *Result) addHistory(h judge.History, accepted []load.AcceptedJob) {
	for _, n := range h.FinishedByJob() {
		r.Finished += n
	}
	startedAt := h.FirstStarts()
	var delays []time.Duration
	for _, a := range accepted {
		if start, began := startedAt[cowslipbend.MakeTaskID(a.ID, 0)]; a.Urgent && began {
			delays = append(delays, time.Duration(start-a.SubmittedAt))
		}
	}
	r.UrgentJobs, r.UrgentP99 = len(delays), Quantile(delays, 0.99)
	r.countAttempts(h)
}

// countAttempts counts attempts and failures. It leaves out the failures of
// jobs that are made to fail on every worker.
func (r *Result) countAttempts(h judge.History) {
	type attempt struct {
		task cowslipbend.TaskID
		n    cowslipbend.Attempt
	}
	begun := map[attempt]bool{}
	byWorker := map[cowslipbend.WorkerID]int{}
	for _, e := range h.Events {
		switch {
		case e.Kind == judge.Began:
			begun[attempt{e.Task, e.Attempt}] = true
		case e.Kind == judge.Failed && !load.AlwaysFails(e.Task):
			r.Failures++
			byWorker[e.Worker]++
		}
	}
	r.Attempts = len(begun)
	mostFailures := 0
	for _, n := range byWorker {
		mostFailures = max(mostFailures, n)
	}
	if r.Attempts > 0 {
		r.BadShare = float64(mostFailures) / float64(r.Attempts)
	}
}

// longestStartGap returns the longest time without any start of a task between
// two moments, in milliseconds.
func longestStartGap(h judge.History, from, to judge.Moment) float64 {
	lastStart, longest := from, judge.Moment(0)
	for _, e := range h.Events {
		if e.Kind != judge.Began || e.At < from || e.At > to {
			continue
		}
		longest = max(longest, e.At-lastStart)
		lastStart = e.At
	}
	return float64(max(longest, to-lastStart)) / float64(time.Millisecond)
}

// ProcessorTime returns the CPU time of this process in seconds, or 0 if it
// cannot be read.
func ProcessorTime() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// Write writes the result as one line of JSON.
func (r Result) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
