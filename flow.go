package cowslipbend

import (
	"fmt"
	"strconv"
	"strings"
)

// QueueID names a queue within the operator's current rules.
type QueueID string

// Flow is a job whose tasks form steps with dependencies.
type Flow struct {
	ID    JobID   `json:"id"`
	Queue QueueID `json:"queue"`
	// Spec is passed to the host unchanged with every task.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Rounds is how many times the steps run. Zero runs them once, without a due
	// time.
	Rounds int `json:"rounds,omitempty"`
	// FirstDueAt is the wall time at which round 0 is due, RoundInterval the time
	// between the due times of two rounds.
	FirstDueAt    Time `json:"first,omitempty"`
	RoundInterval Span `json:"every,omitempty"`
	// Policy is the policy of the queue when the flow was accepted. It applies
	// once the queue has been removed.
	Policy FlowPolicy `json:"policy,omitzero"`
	// AcceptedAt is the time of acceptance on the store's clock.
	AcceptedAt Time `json:"at,omitempty"`
}

// FlowPolicy holds the rules of a queue for its flows.
type FlowPolicy struct {
	// Service is the service whose hosts run the flows.
	Service  ServiceID `json:"service"`
	Priority int       `json:"priority,omitempty"`
	// MaxAttempts is the number of failures of one task at which its flow fails;
	// zero means no limit.
	MaxAttempts int `json:"attempts,omitempty"`
	// A flow should end within LatencyFactor times the length of its longest
	// chain of steps, plus LatencyAllowance, after its acceptance.
	LatencyFactor    float64 `json:"stretch,omitempty"`
	LatencyAllowance Span    `json:"target,omitempty"`
	// UsefulFactor is how many times that span after its acceptance a flow is still
	// useful to its caller. Zero means that there is no such bound.
	UsefulFactor float64 `json:"useful,omitempty"`
	// NeedsAdvice is set if an Advisor has to allow the hosts of each step.
	NeedsAdvice bool `json:"advised,omitempty"`
}

// Step is a set of identical tasks of a flow.
type Step struct {
	Count int       `json:"count"`
	Size  Resources `json:"size"`
	// Length is a rough estimate of the run time of one task.
	Length Span `json:"length,omitempty"`
	// DependsOn lists the indexes of earlier steps that must be done first.
	DependsOn []int `json:"after,omitempty"`
	// SavesCheckpoints is set if the tasks save checkpoints.
	SavesCheckpoints bool `json:"saves,omitempty"`
	// Gang is set if the tasks work only while all of them run. When one is done,
	// all are.
	Gang bool `json:"gang,omitempty"`
	// Compact is set if the tasks run longer when spread over several racks.
	Compact bool `json:"compact,omitempty"`
	// Label, if not empty, must be among the labels of the host.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the input data.
	DataRack Rack `json:"near,omitempty"`
	// MaxPerHost limits the tasks of the step on one host; zero means no limit.
	MaxPerHost int `json:"spread,omitempty"`
	// AllowsCopies is set if a task may run several times at once.
	AllowsCopies bool `json:"copies,omitempty"`
	// Lasting is set if the tasks run until the flow is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image names a group of tasks with similar load and interference.
	Image string `json:"image,omitempty"`
	// TailTarget is the upper limit for the tail latency of a lasting task.
	TailTarget Span `json:"target,omitempty"`
	// Fills is set if the tasks use only processors that other tasks leave idle.
	// No processors are reserved for them.
	Fills bool `json:"fills,omitempty"`
	// MaxMissing is how many lasting tasks of the step may be down at once
	// because they were ordered to stop or to move.
	MaxMissing int `json:"missing,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its host.
func (s *Step) Reserved() Resources {
	if s.Fills {
		return Resources{Mem: s.Size.Mem, Accel: s.Size.Accel}
	}
	return s.Size
}

// Limits of a flow.
const (
	maxSteps     = 100
	maxFlowTasks = 4000 // in one round; bounds the size of a flow's row
	maxRounds    = 1000000
	// The bounds of sizes and times keep their sums and products from overflowing.
	maxFlowCPU    = 1_000_000_000 * Core
	maxFlowMem    = 1 << 20 * GB
	maxFlowAccels = 1_000_000
	maxFlowSpan   = 3650 * Day
	maxFirstDueAt = Time(1 << 50) // milliseconds; some 35,000 years
)

// Check returns all faults of the flow as KindInvalid errors.
func (f *Flow) Check() error {
	var l Errors
	if len(f.Spec) > maxWork {
		l.Add(Invalid("spec", "is longer than 4096 bytes", "put it in an object and name that"))
	}
	if len(f.Steps) == 0 || len(f.Steps) > maxSteps {
		l.Add(Invalid("steps", fmt.Sprintf("%d is out of bounds", len(f.Steps)), "give 1 to 100 steps"))
	}
	if f.Rounds < 0 || f.Rounds > maxRounds || f.RoundInterval < 0 || f.RoundInterval > maxFlowSpan {
		l.Add(Invalid("rounds", "is out of bounds", "give up to 1000000 rounds and an interval from zero to ten years"))
	}
	if f.FirstDueAt < -maxFirstDueAt || f.FirstDueAt > maxFirstDueAt {
		l.Add(Invalid("first", "is out of bounds", "give milliseconds since 1970"))
	}
	total := 0
	for i := range f.Steps[:min(len(f.Steps), maxSteps)] { // The fault above covers the rest.
		total += min(max(f.Steps[i].Count, 0), maxFlowTasks+1)
		l.Add(f.Steps[i].check(i))
	}
	if total > maxFlowTasks {
		l.Add(Invalid("steps", fmt.Sprintf("have %d tasks in all", total), "split the flow; 4000 tasks are the most"))
	}
	return l.Err()
}

func (s *Step) check(index int) error {
	var l Errors
	path := "steps." + strconv.Itoa(index)
	if s.Count < 1 || s.Count > maxFlowTasks {
		l.Add(Invalid(path+".count", fmt.Sprintf("%d is out of bounds", s.Count), "give 1 to 4000 tasks"))
	}
	if s.Size.CPU < 0 || s.Size.Mem < 0 || s.Size.Accel < 0 || s.Length < 0 || s.MaxPerHost < 0 {
		l.Add(Invalid(path, "has a negative size, length or number of tasks on one host", "give zero or more"))
	}
	if s.Size.CPU > maxFlowCPU || s.Size.Mem > maxFlowMem || s.Size.Accel > maxFlowAccels || s.Length > maxFlowSpan {
		l.Add(Invalid(path, "has a size or length that no host can have", "give the size and the run time of one task"))
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= index {
			l.Add(Invalid(path+".after", fmt.Sprintf("step %d is not an earlier step", a), "name earlier steps only"))
			break
		}
	}
	return l.Err()
}

// FlowState is the state of a flow as callers see it.
type FlowState string

// The states of a flow.
const (
	FlowQueued    FlowState = "queued"
	FlowRunning   FlowState = "running"
	FlowDone      FlowState = "done"
	FlowFailed    FlowState = "failed"
	FlowCancelled FlowState = "cancelled"
)

// Ended reports whether the state is final.
func (s FlowState) Ended() bool { return s == FlowDone || s == FlowFailed || s == FlowCancelled }

// HasLastingStep reports whether any step of the flow runs until the flow is
// cancelled.
func (f *Flow) HasLastingStep() bool {
	for i := range f.Steps {
		if f.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Ref returns the task's reference.
func (f *Flow) Ref(round, step, index int) TaskRef {
	return TaskRef{Job: f.ID, Round: round, Step: step, Index: index}
}

// TaskRef names a task of a flow.
type TaskRef struct {
	Job   JobID
	Round int
	Step  int
	Index int
}

// String returns the reference as "job/round/step/index".
func (r TaskRef) String() string {
	return string(r.Job) + "/" + strconv.Itoa(r.Round) + "/" + strconv.Itoa(r.Step) + "/" + strconv.Itoa(r.Index)
}

// MarshalText writes the reference as String does.
func (r TaskRef) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads what MarshalText writes.
func (r *TaskRef) UnmarshalText(b []byte) error {
	parts := strings.Split(string(b), "/")
	if len(parts) != 4 {
		return Invalid("task", strconv.Quote(string(b))+" is not a task reference", "write it as job/round/step/index")
	}
	var nums [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Invalid("task", strconv.Quote(string(b))+" is not a task reference", "write it as job/round/step/index")
		}
		nums[i] = n
	}
	*r = TaskRef{Job: JobID(parts[0]), Round: nums[0], Step: nums[1], Index: nums[2]}
	return nil
}
