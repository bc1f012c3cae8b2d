package isolator

import (
	"cowslipbend.dev"
)

const (
	// promptAge is the age of the youngest run up to which a crash is attributed to
	// a start.
	promptAge = 250 * cowslipbend.Millisecond
	// ageTolerance is the difference of ages below which it is not known which of
	// two runs began later: starts are sent at the same time and overtake each other.
	ageTolerance = 50 * cowslipbend.Millisecond
	// minTrial is the shortest time for which a suspected task has to run to be
	// cleared.
	minTrial = 300 * cowslipbend.Millisecond
	// suspectCrashes is the number of crashes under young runs of a task from which it
	// is suspected although it is not a possible cause of them.
	suspectCrashes = 2
	// suspectOlder is the number of crashes under older runs of a task from which it is
	// suspected. Sound tasks are seldom hit so often in a row.
	suspectOlder = 3
	// giveUpBlamed is the number of crashes that no other flow can have caused from
	// which a task is given up.
	giveUpBlamed = 2
	// While hosts also crash for other causes it takes carefulBlamed such crashes, or
	// giveUpBlamed among at least carefulCrashes in all.
	carefulBlamed  = 3
	carefulCrashes = 4
	// giveUpNamed is the number of crashes as one of several possible causes from which
	// a task is given up. A fourth start after three crashes is allowed, and a fifth.
	giveUpNamed = 4
)

// Record is what is known of the crashes of hosts under one task since a run of it
// last proved to be harmless. The zero value is that of a task without any.
type Record struct {
	// Crashes counts the hosts that crashed under a young run of the task.
	Crashes int `json:"n,omitempty"`
	// Older counts those that crashed under an older run of it.
	Older int `json:"o,omitempty"`
	// Named counts those of them that it may have caused, Blamed those that no run of
	// another flow can have caused.
	Named  int `json:"c,omitempty"`
	Blamed int `json:"b,omitempty"`
	// Age is the age of its run at the last of these crashes.
	Age cowslipbend.Span `json:"a,omitempty"`
	// Suspect is set while the task is to be tried apart from other flows.
	Suspect bool `json:"s,omitempty"`
	// Life is the incarnation of the last of these crashes. An agent reports a crash to each
	// owner, and it counts once.
	Life cowslipbend.Incarnation `json:"l,omitempty"`
}

// IsValid reports whether the counts are possible.
func (r *Record) IsValid() bool {
	return r.Blamed >= 0 && r.Blamed <= r.Named && r.Named <= r.all() && r.Crashes >= 0 && r.Older >= 0 && r.Age >= 0
}

// all returns the number of crashes.
func (r *Record) all() int { return r.Crashes + r.Older }

// name counts a crash that the task may have caused, with the number of flows that may have.
func (r *Record) name(flows int) {
	r.Named++
	if flows == 1 {
		r.Blamed++
	}
}

// Trial returns how long a run of the task has to work to prove to be harmless: longer
// than its last one lived until the crash.
func (r *Record) Trial() cowslipbend.Span {
	if r.Older > 0 {
		return r.Age + max(r.Age/2, minTrial)
	}
	return min(2*r.Age, cowslipbend.YoungRunAge) + minTrial
}

// IsLost reports whether the task is to be given up. The flag is set while hosts also
// crash for other causes.
func (r *Record) IsLost(otherCauses bool) bool {
	switch {
	case r.Named >= giveUpNamed, r.Blamed >= carefulBlamed:
		return true
	case otherCauses:
		return r.Blamed >= giveUpBlamed && r.all() >= carefulCrashes
	}
	return r.Blamed >= giveUpBlamed
}

// Run is a run on a host that has crashed.
type Run struct {
	Flow   cowslipbend.JobID
	Age    cowslipbend.Span
	Record *Record
}

// Attribute updates the records of the young runs of a host that has crashed, and
// reports whether any of them may be the cause. The tasks of one flow need not be told
// apart, as any of them ends the flow.
func Attribute(runs []Run) bool {
	causes := findCauses(runs)
	flows := map[cowslipbend.JobID]bool{}
	suspected := true
	for i := range runs {
		if causes[i] {
			flows[runs[i].Flow] = true
			suspected = suspected && runs[i].Record.Suspect
		}
	}
	expected := len(flows) == 1 && suspected
	for i := range runs {
		record := runs[i].Record
		switch {
		case causes[i]:
			record.Crashes++
			record.Suspect = true
			record.name(len(flows))
		case expected:
			continue
		default:
			record.Crashes++
			record.Suspect = record.Suspect || record.Crashes >= suspectCrashes
		}
		record.Age = runs[i].Age
	}
	return len(flows) > 0
}

// AttributeOlder updates the records of the runs of a host that has crashed which were not
// young, and reports whether any of them may be the cause: those of suspected tasks. A task may
// crash its hosts some time after its start, and its runs are then among the others of each.
func AttributeOlder(runs []Run) bool {
	flows := map[cowslipbend.JobID]bool{}
	for i := range runs {
		if runs[i].Record.Suspect {
			flows[runs[i].Flow] = true
		}
	}
	for i := range runs {
		record := runs[i].Record
		record.Older++
		record.Age = runs[i].Age
		if !record.Suspect {
			record.Suspect = record.Older >= suspectOlder
			continue
		}
		record.name(len(flows))
	}
	return len(flows) > 0
}

// findCauses tells for each run whether it may be the cause: the youngest ones if they
// are young enough, otherwise those of suspected tasks.
func findCauses(runs []Run) []bool {
	youngest := cowslipbend.YoungRunAge
	for i := range runs {
		youngest = min(youngest, runs[i].Age)
	}
	causes := make([]bool, len(runs))
	for i := range runs {
		if youngest <= promptAge {
			causes[i] = runs[i].Age <= youngest+ageTolerance
		} else {
			causes[i] = runs[i].Record.Suspect
		}
	}
	return causes
}
