package cowslipbend

import "context"

// Start asks a worker to run one attempt of a task.
type Start struct {
	Task    TaskID    `json:"task"`
	Attempt Attempt   `json:"attempt"`
	Epoch   Epoch     `json:"epoch"`
	Class   Class     `json:"class"`
	Team    TeamID    `json:"team"`
	Size    Resources `json:"size"`
	Service ServiceID `json:"service,omitempty"`
	Work    string    `json:"work,omitempty"`
	// From names the checkpoint object to resume from. If it is empty, the
	// task starts from the beginning.
	From string `json:"from,omitempty"`
	// Until is the end of the lease on the host's monotonic clock, at which the
	// worker freezes the task. It is zero for services, which are never frozen.
	Until Time `json:"until,omitempty"`
}

// TaskStatus is what a worker reports about one task.
type TaskStatus struct {
	Task    TaskID    `json:"task"`
	Attempt Attempt   `json:"attempt"`
	Class   Class     `json:"class"`
	Service ServiceID `json:"service,omitempty"`
	Size    Resources `json:"size"`
	// Phase is running, finished, or queued if the task was evicted.
	Phase      Phase  `json:"phase"`
	Failed     bool   `json:"failed,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Usage is the resource use measured at Measured, on the host's clock.
	Usage    Resources `json:"usage"`
	Measured Time      `json:"measured"`
	CPU      CPUTime   `json:"used"`
	// Percent is the throttle: the share of its processors that the task may use.
	Percent int `json:"percent"`
	// Tail is the 99th percentile of a service's recent response times in
	// microseconds, Served the number of responses that it covers.
	Tail   int64 `json:"tail,omitempty"`
	Served int64 `json:"served,omitempty"`
}

// MachineStatus is what a worker reports about itself.
type MachineStatus struct {
	Size  Resources    `json:"size"`
	Tasks []TaskStatus `json:"tasks"`
}

// Machine is the platform's worker on the agent's host.
type Machine interface {
	// Start runs an attempt. It is idempotent by task and attempt.
	Start(ctx context.Context, s Start) error
	// Lease sets the lease ends of tasks. A task whose lease has ended freezes.
	Lease(ctx context.Context, until map[TaskID]Time) error
	// Throttle limits a task to a percentage of its processors.
	Throttle(ctx context.Context, task TaskID, percent int) error
	// Evict checkpoints a task to the object store and stops it. Its
	// status then has phase queued and names the checkpoint.
	Evict(ctx context.Context, task TaskID, attempt Attempt) error
	// Stop ends a task without a checkpoint.
	Stop(ctx context.Context, task TaskID, attempt Attempt) error
	// Forget drops the status of an ended attempt.
	Forget(ctx context.Context, task TaskID, attempt Attempt) error
	// Status returns all running tasks and ended ones not yet forgotten.
	Status(ctx context.Context) (MachineStatus, error)
}
