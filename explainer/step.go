package explainer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cowslipbend.dev"
)

// Step tells where the time of one step of a flow went.
type Step struct {
	Round int `json:"round"`
	Step  int `json:"step"`
	// Wait is the time from when the step was ready until its first start, Spread from
	// then until the first start of the last of its tasks, and Finish from then until
	// the end of the step.
	Wait   cowslipbend.Span `json:"wait"`
	Spread cowslipbend.Span `json:"spread"`
	Finish cowslipbend.Span `json:"finish"`
	// Repeats is the number of starts of tasks that had been started before.
	Repeats int `json:"repeats"`
	// Reasons lists why the owner said that the step waited.
	Reasons []string `json:"reasons,omitempty"`
	// Open is set if no line shows the end of one of the started tasks. Finish is then
	// the time until the last end that is known.
	Open bool `json:"open,omitempty"`
}

// stepID names a step within its flow.
type stepID struct{ round, step int }

// stepTimes holds the moments of one step.
type stepTimes struct {
	id stepID
	// started and done hold the first start and the last end by task.
	started, done map[int]time.Time
	starts        int
	reasons       []string
}

// stepTable holds the moments of the steps of a flow.
type stepTable map[stepID]*stepTimes

// splitSteps returns where the time of the steps went, in the order of their first
// starts. Events are in the order of time. The logs don't name the steps on which
// another depends: a step counts as ready once those that ended before its first start
// had ended.
func splitSteps(events []Event) []Step {
	steps, accepted := stepTable{}, events[0].At
	for i := range events {
		ev := &events[i]
		switch ev.Message {
		case "flow submission", "submit":
			if ev.Fields["outcome"] == "accepted" && len(steps) == 0 {
				accepted = ev.At
			}
		case "start ordered", "start", "run ended":
			steps.addRun(ev)
		case "flow waits":
			steps.addReason(ev)
		}
	}
	return orderSteps(steps, accepted)
}

// addRun adds the start or the end of a run.
func (t stepTable) addRun(ev *Event) {
	var task cowslipbend.TaskRef
	if err := task.UnmarshalText([]byte("/" + ev.Fields["task"])); err != nil { // Events leave out the flow.
		return
	}
	s := t.step(stepID{task.Round, task.Step})
	switch {
	case ev.Message != "run ended":
		s.starts++
		if _, known := s.started[task.Index]; !known {
			s.started[task.Index] = ev.At
		}
	case ev.Fields["how"] == "done":
		s.done[task.Index] = ev.At
	}
}

// addReason adds why the owner said that a step waited.
func (t stepTable) addReason(ev *Event) {
	var id stepID
	if _, err := fmt.Sscan(ev.Fields["round"]+" "+ev.Fields["step"], &id.round, &id.step); err != nil {
		return
	}
	s := t.step(id)
	if reason := ev.Fields["reason"]; reason != "" && !slices.Contains(s.reasons, reason) {
		s.reasons = append(s.reasons, reason)
	}
}

func (t stepTable) step(id stepID) *stepTimes {
	s := t[id]
	if s == nil {
		s = &stepTimes{id: id, started: map[int]time.Time{}, done: map[int]time.Time{}}
		t[id] = s
	}
	return s
}

// orderSteps returns the steps that have started, in that order.
func orderSteps(steps stepTable, accepted time.Time) []Step {
	var started []*stepTimes
	for _, s := range steps {
		if len(s.started) > 0 {
			started = append(started, s)
		}
	}
	slices.SortFunc(started, func(a, b *stepTimes) int {
		return cmp.Or(a.firstStart().Compare(b.firstStart()), cmp.Compare(a.id.round, b.id.round), cmp.Compare(a.id.step, b.id.step))
	})
	list := make([]Step, 0, len(started))
	for _, s := range started {
		first, last := s.firstStart(), latest(s.started)
		ready := accepted
		for _, other := range started {
			if end := latest(other.done); other.id.round == s.id.round && end.After(ready) && !end.After(first) {
				ready = end
			}
		}
		split := Step{
			Round: s.id.round, Step: s.id.step, Wait: spanBetween(ready, first), Spread: spanBetween(first, last),
			Repeats: s.starts - len(s.started), Reasons: s.reasons, Open: len(s.done) < len(s.started),
		}
		if end := latest(s.done); end.After(last) {
			split.Finish = spanBetween(last, end)
		}
		list = append(list, split)
	}
	return list
}

func (s *stepTimes) firstStart() time.Time {
	return slices.MinFunc(slices.Collect(maps.Values(s.started)), time.Time.Compare)
}

// latest returns the latest of the moments, or zero if there are none.
func latest(moments map[int]time.Time) time.Time {
	var last time.Time
	for _, at := range moments {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func spanBetween(from, to time.Time) cowslipbend.Span { return cowslipbend.SpanOf(to.Sub(from)) }
