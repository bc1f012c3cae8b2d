package cowslipbend

import (
	"fmt"
	"strconv"
	"strings"
)

// QueueID names a queue within the rules in force.
type QueueID string

// Flow is a job whose tasks form steps with dependencies.
type Flow struct {
	ID    JobID   `json:"id"`
	Queue QueueID `json:"queue"`
	// Spec is handed to the host with every task as it is.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Rounds is how often the steps run; zero is once, without a due time.
	Rounds int `json:"rounds,omitempty"`
	// First is the wall time at which round 0 is due, Every the time between
	// two rounds.
	First Time `json:"first,omitempty"`
	Every Span `json:"every,omitempty"`
	// Policy is what the queue demanded when the flow was accepted; it holds
	// if the queue is removed.
	Policy FlowPolicy `json:"policy,omitzero"`
	// At is when the flow was accepted, on the store's clock.
	At Time `json:"at,omitempty"`
}

// FlowPolicy is what a queue demands of its flows.
type FlowPolicy struct {
	Service  ServiceID `json:"service"`
	Priority int       `json:"priority,omitempty"`
	Attempts int       `json:"attempts,omitempty"`
	Stretch  float64   `json:"stretch,omitempty"`
	Target   Span      `json:"target,omitempty"`
	Advised  bool      `json:"advised,omitempty"`
}

// Step is a set of equal tasks of a flow.
type Step struct {
	Count int       `json:"count"`
	Size  Resources `json:"size"`
	// Length is a rough estimate of one task's run time.
	Length Span `json:"length,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Saves is set if the tasks save checkpoints.
	Saves bool `json:"saves,omitempty"`
	// Gang tasks work only all together; one done means that all are.
	Gang bool `json:"gang,omitempty"`
	// Compact tasks run longer if they are spread over racks.
	Compact bool `json:"compact,omitempty"`
	// Label must be one of the host's labels.
	Label string `json:"label,omitempty"`
	// Near is the rack that holds the data.
	Near Rack `json:"near,omitempty"`
	// Spread is the most tasks of the step on one host; zero is no bound.
	Spread int `json:"spread,omitempty"`
	// Copies allows a task to run more than once at a time.
	Copies bool `json:"copies,omitempty"`
	// Lasting tasks run until the flow is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image groups tasks that behave alike.
	Image string `json:"image,omitempty"`
	// Target bounds the tail latency of a lasting task.
	Target Span `json:"target,omitempty"`
	// Fills marks tasks that use what processors the others leave idle. Their
	// processors are not reserved.
	Fills bool `json:"fills,omitempty"`
	// Missing is how many lasting tasks of the step may be away at a time
	// because of orders.
	Missing int `json:"missing,omitempty"`
}

// Reserved returns what a task of the step takes from its host's room.
func (s *Step) Reserved() Resources {
	if s.Fills {
		return Resources{Mem: s.Size.Mem, Accel: s.Size.Accel}
	}
	return s.Size
}

// Bounds of a flow.
const (
	maxSteps     = 100
	maxFlowTasks = 4000 // in one round, so that a flow's row stays small
	maxRounds    = 1000000
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
	if f.Rounds < 0 || f.Rounds > maxRounds || f.Every < 0 {
		l.Add(Invalid("rounds", "is out of bounds", "give up to 1000000 rounds and a time between them"))
	}
	total := 0
	for i := range f.Steps {
		total += max(f.Steps[i].Count, 0)
		l.Add(f.Steps[i].check(i))
	}
	if total > maxFlowTasks {
		l.Add(Invalid("steps", fmt.Sprintf("have %d tasks", total), "split the flow; 4000 tasks are the most"))
	}
	return l.Err()
}

func (s *Step) check(index int) error {
	var l Errors
	path := "steps." + strconv.Itoa(index)
	if s.Count < 1 {
		l.Add(Invalid(path+".count", fmt.Sprintf("%d is out of bounds", s.Count), "give one task or more"))
	}
	if s.Size.CPU < 0 || s.Size.Mem < 0 || s.Size.Accel < 0 || s.Length < 0 || s.Spread < 0 {
		l.Add(Invalid(path, "has a negative amount", "give zero or more"))
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			l.Add(Invalid(path+".after", fmt.Sprintf("names step %d", a), "name earlier steps only"))
		}
	}
	return l.Err()
}

// FlowState is what callers are told about a flow.
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
		return Invalid("task", strconv.Quote(string(b))+" is no task", "write it as job/round/step/index")
	}
	var nums [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Invalid("task", strconv.Quote(string(b))+" is no task", "write it as job/round/step/index")
		}
		nums[i] = n
	}
	*r = TaskRef{Job: JobID(parts[0]), Round: nums[0], Step: nums[1], Index: nums[2]}
	return nil
}
