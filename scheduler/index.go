package scheduler

import (
	"sort"
	"strconv"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// index is what decisions read, kept beside the journal's state so that none
// of them walks all tasks.
//
// After each Apply it equals an index that is built anew from the state.
type index struct {
	opts  Options
	hosts []*cowslipbend.Host // by worker id
	byID  map[cowslipbend.WorkerID]*cowslipbend.Host
	total cowslipbend.Resources
	// on lists the tasks of each worker, pending those with an order to send.
	on       map[cowslipbend.WorkerID]map[cowslipbend.TaskID]*journaler.Task
	pending  map[cowslipbend.TaskID]*journaler.Task
	queue    *queuer.Queue
	replicas map[cowslipbend.ServiceID]map[cowslipbend.TaskID]*journaler.Task
	// next numbers replicas, so that no id is used twice.
	next map[cowslipbend.ServiceID]int
}

func newIndex(state *journaler.State, opts Options) *index {
	x := &index{
		opts: opts, byID: map[cowslipbend.WorkerID]*cowslipbend.Host{},
		on:      map[cowslipbend.WorkerID]map[cowslipbend.TaskID]*journaler.Task{},
		pending: map[cowslipbend.TaskID]*journaler.Task{}, queue: queuer.New(opts.Spare),
		replicas: map[cowslipbend.ServiceID]map[cowslipbend.TaskID]*journaler.Task{},
		next:     map[cowslipbend.ServiceID]int{},
	}
	for _, w := range state.Workers {
		x.host(w.Spec)
	}
	for _, t := range state.Tasks {
		x.add(state, t)
	}
	return x
}

// host adds a worker or takes what it says of itself now.
func (x *index) host(spec cowslipbend.WorkerSpec) {
	h, known := x.byID[spec.ID]
	if known {
		x.total = x.total.Minus(h.Spec.Size).Plus(spec.Size)
		h.Spec = spec
		return
	}
	h = &cowslipbend.Host{Spec: spec, Services: map[cowslipbend.ServiceID]int{}}
	x.byID[spec.ID] = h
	x.total = x.total.Plus(spec.Size)
	i := sort.Search(len(x.hosts), func(i int) bool { return x.hosts[i].Spec.ID >= spec.ID })
	x.hosts = append(x.hosts, nil)
	copy(x.hosts[i+1:], x.hosts[i:])
	x.hosts[i] = h
}

// worker takes a record that has been applied as far as it tells of workers.
func (x *index) worker(state *journaler.State, r cowslipbend.Record) {
	if r.Kind == cowslipbend.RecJoined {
		x.host(state.Workers[r.Worker.ID].Spec)
	}
}

// touched returns the tasks that a record is about to change.
func (x *index) touched(state *journaler.State, r cowslipbend.Record) []*journaler.Task {
	var list []*journaler.Task
	switch r.Kind {
	case cowslipbend.RecSubmitted:
		return nil
	case cowslipbend.RecCancelled:
		list = x.tasks(state, r.JobID)
		for _, id := range r.Jobs {
			list = append(list, x.tasks(state, id)...)
		}
	case cowslipbend.RecSilent:
		for _, t := range x.on[r.WorkerID] {
			list = append(list, t)
		}
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	default:
		if t, ok := state.Tasks[r.Task]; ok {
			list = append(list, t)
		}
	}
	return list
}

// tasks returns the tasks of a job, none for an unknown one.
func (x *index) tasks(state *journaler.State, id cowslipbend.JobID) []*journaler.Task {
	job, ok := state.Jobs[id]
	if !ok {
		return nil
	}
	list := make([]*journaler.Task, 0, job.Tasks)
	for i := range job.Tasks {
		list = append(list, state.Tasks[cowslipbend.MakeTaskID(id, i)])
	}
	return list
}

// add takes a task into the index.
func (x *index) add(state *journaler.State, t *journaler.Task) {
	job := state.Jobs[t.Job]
	if t.Phase == cowslipbend.Queued {
		x.queue.Add(job, t.Submitted, x.item(t))
	}
	if t.Worker != "" {
		x.reserve(t, job, 1)
		x.place(t)
	}
	if job.Batch() {
		return
	}
	x.number(job)
	if living(t) {
		if x.replicas[job.Service] == nil {
			x.replicas[job.Service] = map[cowslipbend.TaskID]*journaler.Task{}
		}
		x.replicas[job.Service][t.ID] = t
	}
}

// drop takes a task out of the index; the task must not have changed since
// add.
func (x *index) drop(state *journaler.State, t *journaler.Task) {
	job := state.Jobs[t.Job]
	if t.Phase == cowslipbend.Queued {
		x.queue.Remove(job, x.item(t))
	}
	if t.Worker != "" {
		x.reserve(t, job, -1)
		delete(x.on[t.Worker], t.ID)
		delete(x.pending, t.ID)
	}
	if !job.Batch() {
		delete(x.replicas[job.Service], t.ID)
	}
}

func (x *index) place(t *journaler.Task) {
	if x.on[t.Worker] == nil {
		x.on[t.Worker] = map[cowslipbend.TaskID]*journaler.Task{}
	}
	x.on[t.Worker][t.ID] = t
	if t.Phase == cowslipbend.Assigned || t.Cancelling() {
		x.pending[t.ID] = t
	}
}

// reserve takes (sign 1) or gives back (sign -1) a task's reservation.
func (x *index) reserve(t *journaler.Task, job *cowslipbend.Job, sign int) {
	h := x.byID[t.Worker]
	take(h, job, t.Size, sign)
	if !job.Batch() {
		return
	}
	if sign > 0 {
		x.queue.Charge(job.Team, t.Size)
		return
	}
	x.queue.Refund(job.Team, t.Size)
}

// take changes a host by one task of the job.
func take(h *cowslipbend.Host, job *cowslipbend.Job, size cowslipbend.Resources, sign int) {
	h.Reserved = h.Reserved.Plus(size.Times(int64(sign)))
	h.Change(job.Class, sign, size.CPU*cowslipbend.Millicores(sign))
	if job.Service == "" {
		return
	}
	h.Fixed = h.Fixed.Plus(size.Times(int64(sign)))
	h.Services[job.Service] += sign
	if h.Services[job.Service] == 0 {
		delete(h.Services, job.Service)
	}
}

func (x *index) item(t *journaler.Task) queuer.Item {
	return queuer.Item{Task: t.ID, Since: t.Since, Ready: t.Since.Add(x.opts.backoff(len(t.Failed)))}
}

// backoff returns the wait after so many failures.
func (o *Options) backoff(failures int) cowslipbend.Span {
	if failures == 0 {
		return 0
	}
	wait := o.Retry
	for i := 1; i < failures && wait < o.MaxRetry; i++ {
		wait *= 2
	}
	return min(wait, o.MaxRetry)
}

// living reports whether the replica counts for its service.
func living(t *journaler.Task) bool { return !t.Phase.Ended() && !t.Cancelling() }

// number keeps the highest number of a replica that was ever used.
func (x *index) number(job *cowslipbend.Job) {
	_, text, _ := strings.Cut(string(job.ID), replicaMark)
	if n, err := strconv.Atoi(text); err == nil {
		x.next[job.Service] = max(x.next[job.Service], n)
	}
}
