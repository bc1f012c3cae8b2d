package scheduler

import (
	"fmt"
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// replicaMark stands between a service's name and the number of a replica in
// the id of the replica's job.
const replicaMark = ".replica-"

// replacing is how many replicas of a service on workers that are emptied are
// replaced at once.
const replacing = 2

// services submits the replicas that declared services lack, and cancels
// those that are too many. A lost replica is replaced by one with a new id;
// one on a worker that is emptied goes only once its replacement runs.
func (e *Engine) services(wall cowslipbend.Time) []cowslipbend.Record {
	var recs []cowslipbend.Record
	declared := map[cowslipbend.ServiceID]bool{}
	for i := range e.set.Services {
		s := &e.set.Services[i]
		if s.Pool != e.pool {
			continue
		}
		declared[s.Name] = true
		recs = append(recs, e.service(s, wall)...)
	}
	if len(e.set.Pools) == 0 {
		return recs
	}
	for _, name := range e.undeclared(declared) {
		recs = append(recs, cancel(e.sorted(name), wall)...)
	}
	return recs
}

// undeclared returns the services that have replicas but are not declared.
func (e *Engine) undeclared(declared map[cowslipbend.ServiceID]bool) []cowslipbend.ServiceID {
	var names []cowslipbend.ServiceID
	for name, list := range e.index.replicas {
		if !declared[name] && len(list) > 0 {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// sorted returns the living replicas of a service, oldest first.
func (e *Engine) sorted(name cowslipbend.ServiceID) []*journaler.Task {
	list := make([]*journaler.Task, 0, len(e.index.replicas[name]))
	for _, t := range e.index.replicas[name] {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// service compares one service with its declaration.
func (e *Engine) service(s *cowslipbend.Service, wall cowslipbend.Time) []cowslipbend.Record {
	var stay, leave []*journaler.Task
	run := 0
	for _, t := range e.sorted(s.Name) {
		if t.Worker != "" && e.goes(t.Worker) {
			leave = append(leave, t)
			continue
		}
		stay = append(stay, t)
		if t.Phase == cowslipbend.Running {
			run++
		}
	}
	lack := s.Replicas - len(stay)
	if len(leave) > 0 {
		lack = min(lack, s.Replicas-run-len(leave)+replacing-(len(stay)-run))
	}
	var recs []cowslipbend.Record
	for range max(lack, 0) {
		recs = append(recs, cowslipbend.Record{Kind: cowslipbend.RecSubmitted, Job: e.replica(s), At: wall})
	}
	if n := len(stay) - s.Replicas; n > 0 {
		recs = append(recs, cancel(stay[s.Replicas:], wall)...)
	}
	if n := min(run+len(leave)-s.Replicas, len(leave)); n > 0 {
		recs = append(recs, cancel(leave[:n], wall)...)
	}
	return recs
}

func cancel(list []*journaler.Task, wall cowslipbend.Time) []cowslipbend.Record {
	if len(list) == 0 {
		return nil
	}
	r := cowslipbend.Record{Kind: cowslipbend.RecCancelled, At: wall}
	for _, t := range list {
		r.Jobs = append(r.Jobs, t.Job)
	}
	return []cowslipbend.Record{r}
}

func (e *Engine) replica(s *cowslipbend.Service) *cowslipbend.Job {
	e.index.next[s.Name]++
	class := s.Class
	if class == "" {
		class = cowslipbend.Class(s.Name)
	}
	return &cowslipbend.Job{
		ID:   cowslipbend.JobID(fmt.Sprintf("%s%s%06d", s.Name, replicaMark, e.index.next[s.Name])),
		Pool: s.Pool, Team: s.Team, Class: class, Tasks: 1, Size: s.Size, Work: s.Work, Service: s.Name,
	}
}
