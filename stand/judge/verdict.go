package judge

import (
	"fmt"
	"sort"

	"cowslipbend.dev"
)

// Verdict counts what must never happen.
type Verdict struct {
	// Wrong counts answers that were not whole or not the caller's own.
	Wrong int `json:"wrong"`
	// Twice counts runs of a non-idempotent request after its first.
	Twice int `json:"twice"`
	// Falsenot counts callers that were told not run for a request that ran.
	Falsenot int `json:"falsenot"`
	// Lost counts accepted tasks that neither finished nor were set aside.
	Lost int `json:"lost"`
	// Double counts attempts that ran beside or after a newer one, that
	// resumed from a superseded checkpoint, and tasks finished again.
	Double int `json:"double"`
	// Over counts the times that a worker or endpoint went over its capacity.
	Over int `json:"over"`
}

// Broken reports whether any count is above zero.
func (v Verdict) Broken() bool {
	return v.Wrong+v.Twice+v.Falsenot+v.Lost+v.Double+v.Over > 0
}

// History is a list of events in the order of their moments.
type History struct {
	Events []Event
	// Lives holds the last word of each worker's life that posts over HTTP.
	Lives map[string]Moment
}

func (h *History) sort() {
	sort.SliceStable(h.Events, func(a, b int) bool { return h.Events[a].At < h.Events[b].At })
}

// Verdict counts the faults. Lost is left at zero: it needs the list of
// accepted jobs.
func (h History) Verdict() Verdict {
	v := Verdict{Twice: len(h.twice()), Falsenot: len(h.falsenot()), Double: len(h.double())}
	for _, e := range h.Events {
		switch e.Kind {
		case Wrong:
			v.Wrong++
		case Over:
			v.Over++
		}
	}
	return v
}

// Fault is one thing that must never happen, with the counter it falls under.
type Fault struct {
	Counter string `json:"counter"`
	Why     string `json:"why"`
	Event   Event  `json:"event"`
}

// Faults lists what Verdict counts.
func (h History) Faults() []Fault {
	list := append(h.twice(), h.falsenot()...)
	list = append(list, h.double()...)
	for _, e := range h.Events {
		if e.Kind == Wrong || e.Kind == Over {
			list = append(list, Fault{string(e.Kind), e.Reason, e})
		}
	}
	return list
}

func (h History) twice() []Fault {
	runs := map[string]int{}
	var list []Fault
	for _, e := range h.Events {
		if e.Kind != Ran || e.ID == "" {
			continue
		}
		runs[e.ID]++
		if runs[e.ID] > 1 {
			list = append(list, Fault{"twice", "it had run before", e})
		}
	}
	return list
}

// falsenot lists false refusals. A sending that was told not run must never
// have run itself, at any moment. Of a request with an id, moreover, no
// sending may have begun to run before this one was sent. A run by another
// sending that began later is legal: the refusal may have been decided before
// it.
func (h History) falsenot() []Fault {
	byNonce := map[string]bool{}
	byID := map[string]Moment{}
	for _, e := range h.Events {
		if e.Kind != Ran {
			continue
		}
		byNonce[e.Nonce] = true
		if _, known := byID[e.ID]; !known && e.ID != "" {
			byID[e.ID] = e.At
		}
	}
	var list []Fault
	for _, e := range h.Events {
		if e.Kind != NotRun {
			continue
		}
		ran, known := byID[e.ID]
		switch {
		case byNonce[e.Nonce]:
			list = append(list, Fault{"falsenot", "this sending ran", e})
		case known && ran < e.From:
			list = append(list, Fault{"falsenot", "an earlier sending had run", e})
		}
	}
	return list
}

// run is a stretch of time in which an attempt ran.
type run struct {
	Event
	end Moment
}

// forever ends what still runs.
const forever = Moment(1<<63 - 1)

// double lists the faults of tasks.
func (h History) double() []Fault {
	byTask := map[cowslipbend.TaskID][]Event{}
	for _, e := range h.Events {
		if e.Task != "" {
			byTask[e.Task] = append(byTask[e.Task], e)
		}
	}
	var list []Fault
	for _, events := range byTask {
		list = append(list, overlaps(h.runs(events))...)
		list = append(list, stale(events)...)
		list = append(list, h.again(events)...)
	}
	return list
}

// runs joins the begin and the end of each stretch.
func (h History) runs(events []Event) []run {
	var runs []run
	for _, e := range events {
		switch e.Kind {
		case Began:
			end := forever
			if last, posts := h.Lives[e.Life]; posts {
				end = max(last, e.At)
			}
			runs = append(runs, run{Event: e, end: end})
		case Ended:
			for i := range runs {
				if runs[i].Worker == e.Worker && runs[i].Attempt == e.Attempt && runs[i].Life == e.Life && runs[i].end > e.At {
					runs[i].end = max(e.At, runs[i].At)
				}
			}
		}
	}
	return runs
}

// overlaps lists stretches that began while another attempt ran, and those
// of an attempt that ran on after a newer one had begun.
func overlaps(runs []run) []Fault {
	var list []Fault
	for i, r := range runs {
		for _, earlier := range runs[:i] {
			same := earlier.Worker == r.Worker && earlier.Attempt == r.Attempt && earlier.Life == r.Life
			if !same && (earlier.end > r.At || earlier.Attempt > r.Attempt) {
				why := fmt.Sprintf("attempt %d on %s began at %d and ended at %d", earlier.Attempt, earlier.Worker, earlier.At, earlier.end)
				list = append(list, Fault{"double", why, r.Event})
				break
			}
		}
	}
	return list
}

// stale lists attempts that resumed from elsewhere than the last
// acknowledged checkpoint or one written since.
func stale(events []Event) []Fault {
	saved := map[cowslipbend.Attempt]string{}
	valid := map[string]bool{"": true}
	first := map[cowslipbend.Attempt]bool{}
	var list []Fault
	for _, e := range events {
		switch e.Kind {
		case Saved:
			saved[e.Attempt] = e.Checkpoint
			valid[e.Checkpoint] = true
		case Acked:
			if name, wrote := saved[e.Attempt]; wrote {
				valid = since(saved, e.Attempt)
				valid[name] = true
			}
		case Began:
			if !first[e.Attempt] && !valid[e.Checkpoint] {
				list = append(list, Fault{"double", "resumed from a superseded checkpoint", e})
			}
			first[e.Attempt] = true
		}
	}
	return list
}

// since returns the checkpoints of attempts newer than the given one.
func since(saved map[cowslipbend.Attempt]string, attempt cowslipbend.Attempt) map[string]bool {
	names := map[string]bool{}
	for a, name := range saved {
		if a > attempt {
			names[name] = true
		}
	}
	return names
}

// again lists the ends of a task after its first. An end that died with its
// worker before it was acknowledged does not count as the first: nobody else
// could know of it, so that running the task again is the only way to finish
// it.
func (h History) again(events []Event) []Fault {
	var list []Fault
	var first *Event
	for i, e := range events {
		if e.Kind != Finished {
			continue
		}
		if first != nil && !h.forgotten(*first, e.At, events) {
			list = append(list, Fault{"double", "it had finished before", e})
		}
		first = &events[i]
	}
	return list
}

// forgotten reports whether the worker of an end died, before the moment,
// without an acknowledgement of that end.
func (h History) forgotten(end Event, before Moment, events []Event) bool {
	for _, e := range events {
		if e.Kind == Acked && e.Attempt == end.Attempt && e.Worker == end.Worker && e.At < before {
			return false
		}
	}
	if last, posts := h.Lives[end.Life]; posts {
		return last < before
	}
	for _, e := range h.Events {
		if e.Kind == Died && e.Worker == end.Worker && e.At > end.At && e.At < before {
			return true
		}
	}
	return false
}

// Outcome is what the system says about an accepted job.
type Outcome struct {
	Job   cowslipbend.JobID
	Tasks int
	// Finished, Parked and Cancelled are counts of its tasks, as listed by
	// the system; Parked counts only tasks with a reason.
	Finished, Parked, Cancelled int
}

// Lost counts the tasks of accepted jobs that the system does not account
// for, and those that it calls finished without a worker having finished
// them.
func (h History) Lost(jobs []Outcome) int {
	truly := h.FinishedByJob()
	n := 0
	for _, j := range jobs {
		n += max(j.Tasks-j.Finished-j.Parked-j.Cancelled, 0)
		n += max(j.Finished-truly[j.Job], 0)
	}
	return n
}

// FinishedByJob counts the tasks that workers finished.
func (h History) FinishedByJob() map[cowslipbend.JobID]int {
	seen := map[cowslipbend.TaskID]bool{}
	n := map[cowslipbend.JobID]int{}
	for _, e := range h.Events {
		if e.Kind != Finished || seen[e.Task] {
			continue
		}
		seen[e.Task] = true
		n[jobOf(e.Task)]++
	}
	return n
}

// jobOf returns the job of a task.
func jobOf(task cowslipbend.TaskID) cowslipbend.JobID {
	for i := len(task) - 1; i > 0; i-- {
		if task[i] == '/' {
			return cowslipbend.JobID(task[:i])
		}
	}
	return cowslipbend.JobID(task)
}

// FirstBegan returns when a task first ran.
func (h History) FirstBegan() map[cowslipbend.TaskID]Moment {
	first := map[cowslipbend.TaskID]Moment{}
	for _, e := range h.Events {
		if _, known := first[e.Task]; e.Kind == Began && !known {
			first[e.Task] = e.At
		}
	}
	return first
}
