package judge

import (
	"fmt"
	"sort"

	"cowslipbend.dev"
)

// Verdict counts violations of invariants.
type Verdict struct {
	// Wrong counts answers that were incomplete or belonged to another request.
	Wrong int `json:"wrong"`
	// Twice counts runs of a non-idempotent request after its first.
	Twice int `json:"twice"`
	// Falsenot counts false refusals: the outcome NotRun for a request that ran.
	Falsenot int `json:"falsenot"`
	// Lost counts accepted tasks that were neither finished, parked nor cancelled,
	// and those that the system lists as finished although no worker finished them.
	Lost int `json:"lost"`
	// Double counts attempts that ran at the same time as another or after a newer
	// one, attempts that resumed from a superseded checkpoint, and tasks that
	// finished again.
	Double int `json:"double"`
	// Over counts how often a worker or endpoint exceeded its capacity.
	Over int `json:"over"`
}

// Broken reports whether there is any violation.
func (v Verdict) Broken() bool {
	return v.Wrong+v.Twice+v.Falsenot+v.Lost+v.Double+v.Over > 0
}

// History is a list of events in the order of their times.
type History struct {
	Events []Event
	// Lives holds the time of the last post of each process that posts over HTTP, by
	// its incarnation.
	Lives map[string]Moment
}

func (h *History) sort() {
	sort.SliceStable(h.Events, func(a, b int) bool { return h.Events[a].At < h.Events[b].At })
}

// Verdict counts the violations, except for Lost, which needs the outcomes of the
// accepted jobs.
func (h History) Verdict() Verdict {
	v := Verdict{Twice: len(h.repeatedRuns()), Falsenot: len(h.falseRefusals()), Double: len(h.taskFaults())}
	for _, e := range h.Events {
		switch e.Kind {
		case WrongAnswer:
			v.Wrong++
		case OverCapacity:
			v.Over++
		}
	}
	return v
}

// Fault is one violation, with the counter of the Verdict that includes it.
type Fault struct {
	Counter string `json:"counter"`
	Why     string `json:"why"`
	Event   Event  `json:"event"`
}

// Faults lists the violations that Verdict counts.
func (h History) Faults() []Fault {
	list := append(h.repeatedRuns(), h.falseRefusals()...)
	list = append(list, h.taskFaults()...)
	for _, e := range h.Events {
		if e.Kind == WrongAnswer || e.Kind == OverCapacity {
			list = append(list, Fault{string(e.Kind), e.Reason, e})
		}
	}
	return list
}

// repeatedRuns lists the runs of each non-idempotent request after its first.
func (h History) repeatedRuns() []Fault {
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

// falseRefusals lists false refusals. A transmission that was answered with NotRun
// must not run at any time, before or after the answer. If the request has an id,
// no other transmission of it may have begun to run before this one was sent. A
// run by another transmission that began later is allowed, as the refusal may have
// been decided before it.
func (h History) falseRefusals() []Fault {
	nonceRan := map[string]bool{}
	firstRunByID := map[string]Moment{}
	for _, e := range h.Events {
		if e.Kind != Ran {
			continue
		}
		nonceRan[e.Nonce] = true
		if _, known := firstRunByID[e.ID]; !known && e.ID != "" {
			firstRunByID[e.ID] = e.At
		}
	}
	var list []Fault
	for _, e := range h.Events {
		if e.Kind != NotRun {
			continue
		}
		ran, known := firstRunByID[e.ID]
		switch {
		case nonceRan[e.Nonce]:
			list = append(list, Fault{"falsenot", "this transmission ran", e})
		case known && ran < e.From:
			list = append(list, Fault{"falsenot", "an earlier transmission had run", e})
		}
	}
	return list
}

// runSpan is a period in which an attempt ran. Its Event, of kind Began, marks the
// beginning.
type runSpan struct {
	Event
	end Moment
}

// noEnd is the end of a period that has not ended.
const noEnd = Moment(1<<63 - 1)

// taskFaults lists the violations that Verdict.Double counts.
func (h History) taskFaults() []Fault {
	byTask := map[cowslipbend.TaskID][]Event{}
	for _, e := range h.Events {
		if e.Task != "" {
			byTask[e.Task] = append(byTask[e.Task], e)
		}
	}
	var list []Fault
	for _, events := range byTask {
		list = append(list, overlappingRuns(h.runSpans(events))...)
		list = append(list, staleResumes(events)...)
		list = append(list, h.repeatedFinishes(events)...)
	}
	return list
}

// runSpans pairs the beginning and the end of each period in which an attempt of
// the task ran. A period whose end was not recorded lasts until the last post of
// its process, or has no end if that process does not post over HTTP.
func (h History) runSpans(events []Event) []runSpan {
	var runs []runSpan
	for _, e := range events {
		switch e.Kind {
		case Began:
			end := noEnd
			if lastContact, isRemote := h.Lives[e.Life]; isRemote {
				end = max(lastContact, e.At)
			}
			runs = append(runs, runSpan{Event: e, end: end})
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

// overlappingRuns lists the periods that began while another attempt ran, and
// those of an attempt that began after a newer attempt had begun.
func overlappingRuns(runs []runSpan) []Fault {
	var list []Fault
	for i, r := range runs {
		for _, earlier := range runs[:i] {
			sameAttempt := earlier.Worker == r.Worker && earlier.Attempt == r.Attempt && earlier.Life == r.Life
			if !sameAttempt && (earlier.end > r.At || earlier.Attempt > r.Attempt) {
				why := fmt.Sprintf("attempt %d on %s began at %d and ended at %d", earlier.Attempt, earlier.Worker, earlier.At, earlier.end)
				list = append(list, Fault{"double", why, r.Event})
				break
			}
		}
	}
	return list
}

// staleResumes lists the attempts that started neither from the last acknowledged
// checkpoint nor from one of a newer attempt. Until a checkpoint is acknowledged, a
// start without one is valid too.
func staleResumes(events []Event) []Fault {
	saved := map[cowslipbend.Attempt]string{}
	valid := map[string]bool{"": true}
	hasBegun := map[cowslipbend.Attempt]bool{}
	var list []Fault
	for _, e := range events {
		switch e.Kind {
		case CheckpointSaved:
			saved[e.Attempt] = e.Checkpoint
			valid[e.Checkpoint] = true
		case EndAcked:
			if name, wrote := saved[e.Attempt]; wrote {
				valid = savedAfter(saved, e.Attempt)
				valid[name] = true
			}
		case Began:
			if !hasBegun[e.Attempt] && !valid[e.Checkpoint] {
				list = append(list, Fault{"double", "resumed from a superseded checkpoint", e})
			}
			hasBegun[e.Attempt] = true
		}
	}
	return list
}

// savedAfter returns the checkpoints of attempts that are newer than the given one.
func savedAfter(saved map[cowslipbend.Attempt]string, attempt cowslipbend.Attempt) map[string]bool {
	names := map[string]bool{}
	for a, name := range saved {
		if a > attempt {
			names[name] = true
		}
	}
	return names
}

// repeatedFinishes lists each finish of a task after its first. A finish that was
// not acknowledged before its worker died does not count as the first: no other
// process could know of it, so the task had to run again.
func (h History) repeatedFinishes(events []Event) []Fault {
	var list []Fault
	var first *Event
	for i, e := range events {
		if e.Kind != Finished {
			continue
		}
		if first != nil && !h.lostBeforeAck(*first, e.At, events) {
			list = append(list, Fault{"double", "it had finished before", e})
		}
		first = &events[i]
	}
	return list
}

// lostBeforeAck reports whether the worker of a finished attempt died before the
// given time without an acknowledgement of the attempt's end.
func (h History) lostBeforeAck(end Event, before Moment, events []Event) bool {
	for _, e := range events {
		if e.Kind == EndAcked && e.Attempt == end.Attempt && e.Worker == end.Worker && e.At < before {
			return false
		}
	}
	if lastContact, isRemote := h.Lives[end.Life]; isRemote {
		return lastContact < before
	}
	for _, e := range h.Events {
		if e.Kind == WorkerDied && e.Worker == end.Worker && e.At > end.At && e.At < before {
			return true
		}
	}
	return false
}

// JobOutcome is the state of an accepted job as the system lists it.
type JobOutcome struct {
	Job   cowslipbend.JobID
	Tasks int
	// Finished, Parked and Cancelled count tasks of the job in these phases.
	// Parked counts only tasks for which a reason is listed.
	Finished, Parked, Cancelled int
}

// Lost counts the tasks of accepted jobs that the system lists as neither
// finished, parked nor cancelled, and those that it lists as finished although no
// worker finished them.
func (h History) Lost(jobs []JobOutcome) int {
	finishedByJob := h.FinishedByJob()
	n := 0
	for _, j := range jobs {
		n += max(j.Tasks-j.Finished-j.Parked-j.Cancelled, 0)
		n += max(j.Finished-finishedByJob[j.Job], 0)
	}
	return n
}

// FinishedByJob counts the distinct tasks of each job that workers finished.
func (h History) FinishedByJob() map[cowslipbend.JobID]int {
	counted := map[cowslipbend.TaskID]bool{}
	n := map[cowslipbend.JobID]int{}
	for _, e := range h.Events {
		if e.Kind != Finished || counted[e.Task] {
			continue
		}
		counted[e.Task] = true
		n[jobOf(e.Task)]++
	}
	return n
}

// jobOf returns the job of a task, which is its id up to the last slash.
func jobOf(task cowslipbend.TaskID) cowslipbend.JobID {
	for i := len(task) - 1; i > 0; i-- {
		if task[i] == '/' {
			return cowslipbend.JobID(task[:i])
		}
	}
	return cowslipbend.JobID(task)
}

// FirstStarts returns the time at which each task first ran.
func (h History) FirstStarts() map[cowslipbend.TaskID]Moment {
	first := map[cowslipbend.TaskID]Moment{}
	for _, e := range h.Events {
		if _, known := first[e.Task]; e.Kind == Began && !known {
			first[e.Task] = e.At
		}
	}
	return first
}
