package scheduler

import "cowslipbend.dev"

// history is what ran on a worker at its last heartbeats, oldest first.
type history []moment

type moment struct {
	at  cowslipbend.Time
	mix []cowslipbend.Load
}

// historyLength bounds a history, in heartbeats.
const historyLength = 32

// add appends a moment and drops the oldest beyond the bound.
func (h history) add(m moment) history {
	if len(h) == historyLength {
		copy(h, h[1:])
		h = h[:historyLength-1]
	}
	return append(h, m)
}

// then returns what ran at the moment, or nothing if that is not known.
func (h history) then(at cowslipbend.Time) []cowslipbend.Load {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].at <= at {
			return h[i].mix
		}
	}
	return nil
}

// measure takes what a heartbeat tells of running tasks: what runs without a
// reservation or beyond it, what runs together, and samples for the policy,
// joined with what ran when they were measured.
func (e *Engine) measure(s *seen, b *Beat, now cowslipbend.Time) {
	var strays, excess cowslipbend.Resources
	var mix cowslipbend.Host
	for _, r := range s.strays {
		if !lists(b.Running, r) {
			delete(s.sent, r)
		}
	}
	s.strays = s.strays[:0]
	for i := range b.Running {
		r := &b.Running[i]
		t, known := e.state.Tasks[r.Task]
		var job *cowslipbend.Job
		if known {
			job = e.state.Jobs[t.Job]
		}
		if e.current(b.Worker.ID, *r) == nil {
			s.strays = append(s.strays, Ref{r.Task, r.Attempt})
			size := r.Usage
			if job != nil {
				size = job.Size
			}
			strays = strays.Plus(size)
		} else {
			excess = excess.Plus(over(r.Usage, t.Size))
		}
		if job != nil {
			mix.Change(job.Class, 1, used(r, job))
		}
	}
	if h := e.index.byID[b.Worker.ID]; h != nil {
		h.Strays, h.Excess = strays, excess
	}
	s.past = s.past.add(moment{at: now, mix: mix.Mix})
	for i := range b.Running {
		e.learn(b.Worker.ID, &b.Running[i], s, now)
	}
}

func lists(running []cowslipbend.TaskStatus, r Ref) bool {
	for i := range running {
		if running[i].Task == r.Task && running[i].Attempt == r.Attempt {
			return true
		}
	}
	return false
}

func used(r *cowslipbend.TaskStatus, job *cowslipbend.Job) cowslipbend.Millicores {
	if r.Usage.CPU > 0 {
		return r.Usage.CPU
	}
	return job.Size.CPU
}

// over returns by how much the usage exceeds the reservation.
func over(usage, reserved cowslipbend.Resources) cowslipbend.Resources {
	d := usage.Minus(reserved)
	return cowslipbend.Resources{CPU: max(d.CPU, 0), Mem: max(d.Mem, 0), Accel: max(d.Accel, 0)}
}

// learn hands one measurement to the policy. A sample whose neighbours of the
// time are no longer known teaches nothing about them.
func (e *Engine) learn(worker cowslipbend.WorkerID, r *cowslipbend.TaskStatus, s *seen, now cowslipbend.Time) {
	t := e.current(worker, *r)
	if t == nil {
		return
	}
	job := e.state.Jobs[t.Job]
	at := now.Add(-cowslipbend.Span(r.Measured))
	mix := s.past.then(at)
	sample := cowslipbend.Sample{
		Task: r.Task, Class: job.Class, Service: job.Service, Declared: job.Size, Reserved: t.Size, Usage: r.Usage,
		Percent: r.Percent, Tail: r.Tail, Served: r.Served, Beside: mix, At: at,
	}
	if mix == nil {
		sample.Tail, sample.Served = 0, 0
	}
	e.policy.Learn(sample)
}
