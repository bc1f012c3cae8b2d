package scheduler

import (
	"sort"
	"strconv"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/queuer"
)

// index holds the derived data that decisions read, so that none of them
// iterates over all tasks.
//
// After each Apply it equals an index that is built from the journal's state.
type index struct {
	opts  Options
	hosts []*cowslipbend.Host // by worker id
	byID  map[cowslipbend.WorkerID]*cowslipbend.Host
	total cowslipbend.Resources
	// tasksByWorker lists the tasks of each worker; pending lists the tasks for
	// which a start or stop order is to be sent.
	tasksByWorker map[cowslipbend.WorkerID]map[cowslipbend.TaskID]*journaler.Task
	pending       map[cowslipbend.TaskID]*journaler.Task
	queue         *queuer.Queue
	replicas      map[cowslipbend.ServiceID]map[cowslipbend.TaskID]*journaler.Task
	// lastReplica is the highest replica number used by each service, so that no
	// replica id is used twice.
	lastReplica map[cowslipbend.ServiceID]int
}

func newIndex(state *journaler.State, opts Options) *index {
	x := &index{
		opts: opts, byID: map[cowslipbend.WorkerID]*cowslipbend.Host{},
		tasksByWorker: map[cowslipbend.WorkerID]map[cowslipbend.TaskID]*journaler.Task{},
		pending:       map[cowslipbend.TaskID]*journaler.Task{}, queue: queuer.New(opts.PromoteSpareAfter),
		replicas:    map[cowslipbend.ServiceID]map[cowslipbend.TaskID]*journaler.Task{},
		lastReplica: map[cowslipbend.ServiceID]int{},
	}
	for _, w := range state.Workers {
		x.putWorker(w.Spec)
	}
	for _, t := range state.Tasks {
		x.addTask(state, t)
	}
	return x
}

// putWorker adds a worker or updates its spec.
func (x *index) putWorker(spec cowslipbend.WorkerSpec) {
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

// applyJoined updates the workers after a record has been applied.
func (x *index) applyJoined(state *journaler.State, r cowslipbend.Record) {
	if r.Kind == cowslipbend.RecJoined {
		x.putWorker(state.Workers[r.Worker.ID].Spec)
	}
}

// affectedTasks returns the tasks that a record is about to change.
func (x *index) affectedTasks(state *journaler.State, r cowslipbend.Record) []*journaler.Task {
	var list []*journaler.Task
	switch r.Kind {
	case cowslipbend.RecSubmitted:
		return nil
	case cowslipbend.RecCancelled:
		list = x.jobTasks(state, r.JobID)
		for _, id := range r.Jobs {
			list = append(list, x.jobTasks(state, id)...)
		}
	case cowslipbend.RecSilent:
		for _, t := range x.tasksByWorker[r.WorkerID] {
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

// jobTasks returns the tasks of a job, none for an unknown job.
func (x *index) jobTasks(state *journaler.State, id cowslipbend.JobID) []*journaler.Task {
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

// addTask adds a task to the index.
func (x *index) addTask(state *journaler.State, t *journaler.Task) {
	job := state.Jobs[t.Job]
	if t.Phase == cowslipbend.Queued {
		x.queue.Add(job, t.Submitted, x.item(t))
	}
	if t.Worker != "" {
		x.changeReservation(t, job, 1)
		x.placeTask(t)
	}
	if job.Batch() {
		return
	}
	x.recordReplicaNumber(job)
	if isLive(t) {
		if x.replicas[job.Service] == nil {
			x.replicas[job.Service] = map[cowslipbend.TaskID]*journaler.Task{}
		}
		x.replicas[job.Service][t.ID] = t
	}
}

// removeTask removes a task from the index; the task must not have changed
// since addTask.
func (x *index) removeTask(state *journaler.State, t *journaler.Task) {
	job := state.Jobs[t.Job]
	if t.Phase == cowslipbend.Queued {
		x.queue.Remove(job, x.item(t))
	}
	if t.Worker != "" {
		x.changeReservation(t, job, -1)
		delete(x.tasksByWorker[t.Worker], t.ID)
		delete(x.pending, t.ID)
	}
	if !job.Batch() {
		delete(x.replicas[job.Service], t.ID)
	}
}

func (x *index) placeTask(t *journaler.Task) {
	if x.tasksByWorker[t.Worker] == nil {
		x.tasksByWorker[t.Worker] = map[cowslipbend.TaskID]*journaler.Task{}
	}
	x.tasksByWorker[t.Worker][t.ID] = t
	if t.Phase == cowslipbend.Assigned || t.Cancelling() {
		x.pending[t.ID] = t
	}
}

// changeReservation makes (sign 1) or releases (sign -1) a task's reservation.
func (x *index) changeReservation(t *journaler.Task, job *cowslipbend.Job, sign int) {
	h := x.byID[t.Worker]
	changeHost(h, job, t.Size, sign)
	if !job.Batch() {
		return
	}
	if sign > 0 {
		x.queue.Charge(job.Team, t.Size)
		return
	}
	x.queue.Refund(job.Team, t.Size)
}

// changeHost adds (sign 1) or removes (sign -1) one task of the job on a host.
func changeHost(h *cowslipbend.Host, job *cowslipbend.Job, size cowslipbend.Resources, sign int) {
	h.Reserved = h.Reserved.Plus(size.Times(int64(sign)))
	h.Change(job.Class, sign, size.CPU*cowslipbend.Millicores(sign))
	if job.Service == "" {
		return
	}
	h.ServiceReserved = h.ServiceReserved.Plus(size.Times(int64(sign)))
	h.Services[job.Service] += sign
	if h.Services[job.Service] == 0 {
		delete(h.Services, job.Service)
	}
}

func (x *index) item(t *journaler.Task) queuer.Item {
	return queuer.Item{Task: t.ID, WaitingSince: t.PhaseSince, ReadyAt: t.PhaseSince.Add(x.opts.backoff(len(t.FailedWorkers)))}
}

// backoff returns the back-off after the given number of failures.
func (o *Options) backoff(failures int) cowslipbend.Span {
	if failures == 0 {
		return 0
	}
	wait := o.RetryBackoff
	for i := 1; i < failures && wait < o.MaxRetryBackoff; i++ {
		wait *= 2
	}
	return min(wait, o.MaxRetryBackoff)
}

// isLive reports whether the replica counts towards its service.
func isLive(t *journaler.Task) bool { return !t.Phase.Ended() && !t.Cancelling() }

// recordReplicaNumber raises lastReplica to the number of a replica's job.
func (x *index) recordReplicaNumber(job *cowslipbend.Job) {
	_, text, _ := strings.Cut(string(job.ID), replicaInfix)
	if n, err := strconv.Atoi(text); err == nil {
		x.lastReplica[job.Service] = max(x.lastReplica[job.Service], n)
	}
}
