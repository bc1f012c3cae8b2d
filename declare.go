package cowslipbend

import "fmt"

// Set is a complete configuration. It is checked and published as a whole.
type Set struct {
	Pools    []Pool    `json:"pools,omitempty"`
	Teams    []Team    `json:"teams,omitempty"`
	Limits   []Limit   `json:"limits,omitempty"`
	Services []Service `json:"services,omitempty"`
	Jobs     []Job     `json:"jobs,omitempty"`
}

// Pool declares a unit of scheduling: workers with one queue and one journal.
type Pool struct {
	Name PoolID `json:"name"`
	// Weights set the relative importance of the goals of placement.
	Weights Weights `json:"weights,omitzero"`
	// Spare is the share of each worker, in percent, kept free for urgent work.
	Spare int `json:"spare,omitempty"`
	// Policy names the placement policy; empty means guarded.
	Policy string `json:"policy,omitempty"`
}

// Weights are the relative weights of a low tail latency of services, of batch
// throughput and of few evictions. All zero means 1 each.
type Weights struct {
	Tail  float64 `json:"tail,omitempty"`
	Batch float64 `json:"batch,omitempty"`
	Evict float64 `json:"evict,omitempty"`
}

// Team declares an owner of jobs and services.
type Team struct {
	Name TeamID `json:"name"`
	// Quota limits the resources that the team's batch work has reserved at once
	// in each pool.
	Quota Resources `json:"quota,omitzero"`
	// Share is the team's weight in fair sharing; zero means 1.
	Share float64 `json:"share,omitempty"`
}

// Limit declares a rate limit on requests of a team, to a service, or both.
type Limit struct {
	Name    string    `json:"name"`
	Team    TeamID    `json:"team,omitempty"`
	Service ServiceID `json:"service,omitempty"`
	// Rate is in requests a second over all entries.
	Rate float64 `json:"rate"`
	// Burst is in requests; zero means the requests of one second.
	Burst float64 `json:"burst,omitempty"`
}

// Service declares a latency-critical service.
type Service struct {
	Name     ServiceID `json:"name"`
	Pool     PoolID    `json:"pool"`
	Team     TeamID    `json:"team"`
	Class    Class     `json:"class,omitempty"`
	Replicas int       `json:"replicas"`
	Size     Resources `json:"size"`
	// Slots is the number of requests that one endpoint processes at once, Conns
	// the number of connections that it accepts.
	Slots int `json:"slots,omitempty"`
	Conns int `json:"conns,omitempty"`
	// Work is passed to the worker unchanged.
	Work string `json:"work,omitempty"`
	// Objective is the service level objective.
	Objective Objective `json:"objective"`
	// Timeout limits requests that have no deadline; zero means no limit.
	Timeout Span `json:"timeout,omitempty"`
	// Queue limits the requests that wait in one entry.
	Queue int `json:"queue,omitempty"`
}

// Objective is a service level objective.
type Objective struct {
	// P99 limits the 99th percentile of the response time.
	P99 Span `json:"p99"`
	// Good is the share of requests that must be answered in time, such as 0.999.
	Good float64 `json:"good"`
}

// Limits of declarations.
const (
	maxReplicas = 10000
	maxSpare    = 90 // percent
)

// Check returns all faults of the pool.
func (p *Pool) Check(path string) error {
	var l Errors
	l.Add(CheckName(path+".name", string(p.Name)))
	if p.Spare < 0 || p.Spare > maxSpare {
		l.Add(Invalid(path+".spare", fmt.Sprintf("%d is out of bounds", p.Spare), "give 0 to 90 percent"))
	}
	if p.Weights.Tail < 0 || p.Weights.Batch < 0 || p.Weights.Evict < 0 {
		l.Add(Invalid(path+".weights", "has a negative weight", "give relative weights such as tail: 3"))
	}
	switch p.Policy {
	case "", "guarded", "firstfit", "leastloaded":
	default:
		l.Add(Invalid(path+".policy", fmt.Sprintf("%q is unknown", p.Policy), "use guarded, firstfit or leastloaded"))
	}
	return l.Err()
}

// Check returns all faults of the team.
func (t *Team) Check(path string) error {
	var l Errors
	l.Add(CheckName(path+".name", string(t.Name)))
	if t.Quota != (Resources{}) {
		l.Add(t.Quota.Check(path + ".quota"))
	}
	if t.Share < 0 {
		l.Add(Invalid(path+".share", "is below zero", "give a weight such as 1"))
	}
	return l.Err()
}

// Check returns all faults of the limit.
func (m *Limit) Check(path string) error {
	var l Errors
	l.Add(CheckName(path+".name", m.Name))
	if m.Team == "" && m.Service == "" {
		l.Add(Invalid(path, "names neither team nor service", "name at least one of them"))
	}
	if m.Rate <= 0 {
		l.Add(Invalid(path+".rate", "must be above zero", "give requests a second"))
	}
	if m.Burst < 0 {
		l.Add(Invalid(path+".burst", "is below zero", "give a count of requests"))
	}
	return l.Err()
}

// Check returns all faults of the service.
func (s *Service) Check(path string) error {
	var l Errors
	l.Add(CheckName(path+".name", string(s.Name)))
	l.Add(CheckName(path+".pool", string(s.Pool)))
	l.Add(CheckName(path+".team", string(s.Team)))
	l.Add(s.Size.Check(path + ".size"))
	if s.Replicas < 1 || s.Replicas > maxReplicas {
		l.Add(Invalid(path+".replicas", fmt.Sprintf("%d is out of bounds", s.Replicas), "give 1 to 10000"))
	}
	if s.Objective.P99 <= 0 {
		l.Add(Invalid(path+".objective.p99", "must be above zero", "give a time such as 50ms"))
	}
	if s.Objective.Good <= 0 || s.Objective.Good >= 1 {
		l.Add(Invalid(path+".objective.good", "must lie between 0 and 1", "give a share such as 0.999"))
	}
	if s.Timeout < 0 || s.Queue < 0 || s.Slots < 0 || s.Conns < 0 {
		l.Add(Invalid(path, "has a negative timeout, queue, slots or conns", "leave it out or give a positive value"))
	}
	return l.Err()
}
