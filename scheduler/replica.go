package scheduler

import (
	"fmt"
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// replicaInfix separates a service's name from the number of a replica in the
// id of the replica's job.
const replicaInfix = ".replica-"

// maxReplacements is the number of replicas of a service on draining workers
// that are replaced at once.
const maxReplacements = 2

// reconcileServices submits the missing replicas of declared services and
// cancels excess ones. A lost replica is replaced by one with a new id; one on
// a draining worker is cancelled only once its replacement runs.
func (e *Engine) reconcileServices(wall cowslipbend.Time) []cowslipbend.Record {
	var recs []cowslipbend.Record
	declared := map[cowslipbend.ServiceID]bool{}
	for i := range e.set.Services {
		s := &e.set.Services[i]
		if s.Pool != e.pool {
			continue
		}
		declared[s.Name] = true
		recs = append(recs, e.reconcileService(s, wall)...)
	}
	if len(e.set.Pools) == 0 {
		return recs
	}
	for _, name := range e.undeclaredServices(declared) {
		recs = append(recs, cancelRecords(e.liveReplicas(name), wall)...)
	}
	return recs
}

// undeclaredServices returns the services that have replicas but are not
// declared.
func (e *Engine) undeclaredServices(declared map[cowslipbend.ServiceID]bool) []cowslipbend.ServiceID {
	var names []cowslipbend.ServiceID
	for name, list := range e.index.replicas {
		if !declared[name] && len(list) > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// liveReplicas returns the live replicas of a service, oldest first.
func (e *Engine) liveReplicas(name cowslipbend.ServiceID) []*journaler.Task {
	list := make([]*journaler.Task, 0, len(e.index.replicas[name]))
	for _, t := range e.index.replicas[name] {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// reconcileService returns the records that bring one service to its declared
// number of replicas.
func (e *Engine) reconcileService(s *cowslipbend.Service, wall cowslipbend.Time) []cowslipbend.Record {
	var staying, leaving []*journaler.Task
	running := 0
	for _, t := range e.liveReplicas(s.Name) {
		if t.Worker != "" && e.isReplaced(t.Worker) {
			leaving = append(leaving, t)
			continue
		}
		staying = append(staying, t)
		if t.Phase == cowslipbend.Running {
			running++
		}
	}
	lacking := s.Replicas - len(staying)
	if len(leaving) > 0 {
		lacking = min(lacking, s.Replicas-running-len(leaving)+maxReplacements-(len(staying)-running))
	}
	var recs []cowslipbend.Record
	for range max(lacking, 0) {
		recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecSubmitted, Job: e.newReplica(s), At: wall})
	}
	if n := len(staying) - s.Replicas; n > 0 {
		recs = append(recs, cancelRecords(staying[s.Replicas:], wall)...)
	}
	if n := min(running+len(leaving)-s.Replicas, len(leaving)); n > 0 {
		recs = append(recs, cancelRecords(leaving[:n], wall)...)
	}
	return recs
}

func cancelRecords(list []*journaler.Task, wall cowslipbend.Time) []cowslipbend.Record {
	if len(list) == 0 {
		return nil
	}
	r := cowslipbend.Record{Kind: cowslipbend.RecCancelled, At: wall}
	for _, t := range list {
		r.Jobs = append(r.Jobs, t.Job)
	}
	return []cowslipbend.Record{r}
}

func (e *Engine) newReplica(s *cowslipbend.Service) *cowslipbend.Job {
	e.index.lastReplica[s.Name]++
	class := s.Class
	if class == "" {
		class = cowslipbend.Class(s.Name)
	}
	return &cowslipbend.Job{
		ID:   cowslipbend.JobID(fmt.Sprintf("%s%s%06d", s.Name, replicaInfix, e.index.lastReplica[s.Name])),
		Pool: s.Pool, Team: s.Team, Class: class, Tasks: 1, Size: s.Size, Work: s.Work, Service: s.Name,
	}
}
