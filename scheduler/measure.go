package scheduler

import "cowslipbend.dev"

// mixHistory lists what ran on a worker at its last heartbeats, oldest first.
type mixHistory []mixSample

type mixSample struct {
	at  cowslipbend.Time
	mix []cowslipbend.Load
}

// maxMixSamples is the number of heartbeats in a mixHistory.
const maxMixSamples = 32

// add appends a sample and drops the oldest one beyond the limit.
func (h mixHistory) add(sample mixSample) mixHistory {
	if len(h) == maxMixSamples {
		copy(h, h[1:])
		h = h[:maxMixSamples-1]
	}
	return append(h, sample)
}

// mixAt returns what ran at the given time, or nil if that is not known.
func (h mixHistory) mixAt(at cowslipbend.Time) []cowslipbend.Load {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].at <= at {
			return h[i].mix
		}
	}
	return nil
}

// observeRunning processes the running tasks of a heartbeat: it updates the
// resources used without or beyond a reservation and the history of what runs
// together, and passes measurements, joined with what ran when they were taken,
// to the policy.
func (e *Engine) observeRunning(s *workerContact, b *Heartbeat, now cowslipbend.Time) {
	var orphanUsage, excess cowslipbend.Resources
	var mix cowslipbend.Host
	for _, r := range s.orphans {
		if !includesAttempt(b.Running, r) {
			delete(s.orderedAt, r)
		}
	}
	s.orphans = s.orphans[:0]
	for i := range b.Running {
		r := &b.Running[i]
		t, known := e.state.Tasks[r.Task]
		var job *cowslipbend.Job
		if known {
			job = e.state.Jobs[t.Job]
		}
		if e.currentTask(b.Worker.ID, *r) == nil {
			s.orphans = append(s.orphans, Ref{r.Task, r.Attempt})
			size := r.Usage
			if job != nil {
				size = job.Size
			}
			orphanUsage = orphanUsage.Plus(size)
		} else {
			excess = excess.Plus(excessUsage(r.Usage, t.Size))
		}
		if job != nil {
			mix.Change(job.Class, 1, cpuDemand(r, job))
		}
	}
	if h := e.index.byID[b.Worker.ID]; h != nil {
		h.OrphanUsage, h.Excess = orphanUsage, excess
	}
	s.mixes = s.mixes.add(mixSample{at: now, mix: mix.Mix})
	for i := range b.Running {
		e.learnSample(b.Worker.ID, &b.Running[i], s, now)
	}
}

func includesAttempt(running []cowslipbend.TaskStatus, r Ref) bool {
	for i := range running {
		if running[i].Task == r.Task && running[i].Attempt == r.Attempt {
			return true
		}
	}
	return false
}

func cpuDemand(r *cowslipbend.TaskStatus, job *cowslipbend.Job) cowslipbend.Millicores {
	if r.Usage.CPU > 0 {
		return r.Usage.CPU
	}
	return job.Size.CPU
}

// excessUsage returns how much the usage exceeds the reservation.
func excessUsage(usage, reserved cowslipbend.Resources) cowslipbend.Resources {
	d := usage.Minus(reserved)
	return cowslipbend.Resources{CPU: max(d.CPU, 0), Mem: max(d.Mem, 0), Accel: max(d.Accel, 0)}
}

// learnSample passes one measurement to the policy. A sample whose neighbours
// at the time are not known carries no latency.
func (e *Engine) learnSample(worker cowslipbend.WorkerID, r *cowslipbend.TaskStatus, s *workerContact, now cowslipbend.Time) {
	t := e.currentTask(worker, *r)
	if t == nil {
		return
	}
	job := e.state.Jobs[t.Job]
	at := now.Add(-cowslipbend.Span(r.Measured))
	mix := s.mixes.mixAt(at)
	sample := cowslipbend.Sample{
		Task: r.Task, Class: job.Class, Service: job.Service, Declared: job.Size, Reserved: t.Size, Usage: r.Usage,
		Percent: r.Percent, Tail: r.Tail, Served: r.Served, Neighbours: mix, At: at,
	}
	if mix == nil {
		sample.Tail, sample.Served = 0, 0
	}
	e.policy.Learn(sample)
}
