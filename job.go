package cowslipbend

import "fmt"

// Urgency is the precedence of a job in its queue.
type Urgency string

// The urgencies, from first to last.
const (
	// Urgent work may evict batch work to start in time.
	Urgent Urgency = "urgent"
	// Normal is the default.
	Normal Urgency = "normal"
	// Spare work runs only when no other work is queued.
	Spare Urgency = "spare"
)

// Job is a set of identical tasks that a team submits to a pool.
type Job struct {
	ID      JobID     `json:"id"`
	Pool    PoolID    `json:"pool"`
	Team    TeamID    `json:"team"`
	Class   Class     `json:"class"`
	Urgency Urgency   `json:"urgency,omitempty"`
	Tasks   int       `json:"tasks"`
	Size    Resources `json:"size"`
	// Length is the declared run time of one task; zero means unknown.
	Length Span `json:"length,omitempty"`
	// Work is passed to the worker unchanged.
	Work string `json:"work,omitempty"`
	// Service is set for the replicas of a latency-critical service.
	Service ServiceID `json:"service,omitempty"`
}

// Limits of a job.
const (
	maxTasks = 10000
	maxWork  = 4096 // bytes
)

// Check returns all faults of the job as KindInvalid errors.
func (j *Job) Check() error {
	var l Errors
	l.Add(CheckName("job.id", string(j.ID)))
	l.Add(CheckName("job.pool", string(j.Pool)))
	l.Add(CheckName("job.team", string(j.Team)))
	l.Add(CheckName("job.class", string(j.Class)))
	l.Add(j.Size.Check("job.size"))
	if j.Tasks < 1 || j.Tasks > maxTasks {
		l.Add(Invalid("job.tasks", fmt.Sprintf("%d is out of bounds", j.Tasks), "give 1 to 10000 and split larger jobs"))
	}
	if len(j.Work) > maxWork {
		l.Add(Invalid("job.work", "is longer than 4096 bytes", "put it in an object and name that"))
	}
	if j.Length < 0 {
		l.Add(Invalid("job.length", "is below zero", "give a run time such as 90s, or leave it out"))
	}
	switch j.Urgency {
	case "", Urgent, Normal, Spare:
	default:
		l.Add(Invalid("job.urgency", fmt.Sprintf("%q is unknown", j.Urgency), "use urgent, normal or spare"))
	}
	return l.Err()
}

// Batch reports whether the job is batch work rather than a service.
func (j *Job) Batch() bool { return j.Service == "" }

// Phase is the state of a task.
type Phase string

// The phases of a task. A parked task failed on several workers or fits on none;
// it is not tried again, and the reason is kept.
const (
	Queued    Phase = "queued"
	Assigned  Phase = "assigned"
	Running   Phase = "running"
	Finished  Phase = "finished"
	Cancelled Phase = "cancelled"
	Parked    Phase = "parked"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Finished || p == Cancelled || p == Parked }
