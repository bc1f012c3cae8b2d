package supervisor

import (
	"context"
	"slices"
	"sync"

	"cowslipbend.dev"
)

// Orders carries out what the owner wants and returns a report.
func (w *Supervisor) Orders(ctx context.Context, o *cowslipbend.HostOrders) (cowslipbend.HostReport, error) {
	w.mu.Lock()
	if o.Epoch < w.epoch {
		defer w.mu.Unlock()
		return cowslipbend.HostReport{}, cowslipbend.Fail(cowslipbend.KindStale, "another owner has taken the flows", "step down")
	}
	fresh := o.Epoch > w.epoch
	w.epoch, w.owner = o.Epoch, o.Owner
	life := cowslipbend.Incarnation("")
	if w.host != nil {
		life = w.host.Life
	}
	draining := w.host != nil && w.host.Draining
	for i := range o.KnownRuns {
		w.know(&o.KnownRuns[i])
	}
	redirect := w.redirect
	w.mu.Unlock()
	if fresh {
		// The runner must refuse earlier owners before its lists are told.
		if err := w.hold(ctx, false); err != nil {
			w.log.Warn("runner was not told of the new owner", "epoch", o.Epoch, "error", err)
		}
		if redirect != nil {
			redirect()
		}
		w.kick()
	}
	var results []cowslipbend.RunResult
	switch {
	case o.Life == "" || o.Life == life:
		results = w.carryOut(o, life, draining)
	case life != "" && older(o.Life, life):
		results = refuseAll(o, cowslipbend.Absent, "runner has started again")
	default:
		// An agent that does not know its runner yet cannot tell what became
		// of runs that an earlier process of it began.
		w.log.Info("orders for a runner that is not known", "life", o.Life, "known", life)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.report()
	r.Results = results
	return r, nil
}

func (w *Supervisor) know(s *cowslipbend.RunStart) {
	if w.runs[s.RunRef] == nil {
		w.runs[s.RunRef] = &run{image: s.Image, fills: s.Fills, target: s.TailTarget, cpu: s.CPU, percent: 100}
	}
}

func refuseAll(o *cowslipbend.HostOrders, kind cowslipbend.ResultKind, reason string) []cowslipbend.RunResult {
	var results []cowslipbend.RunResult
	for i := range o.Starts {
		results = append(results, cowslipbend.RunResult{RunRef: o.Starts[i].RunRef, Kind: kind, Reason: reason})
	}
	for _, ref := range o.Stops {
		results = append(results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Absent, Reason: reason})
	}
	return results
}

// carryOut starts and stops runs, all at the same time.
func (w *Supervisor) carryOut(o *cowslipbend.HostOrders, life cowslipbend.Incarnation, draining bool) []cowslipbend.RunResult {
	if o.Resent {
		results := w.settle(o, life)
		w.stops(o, life)
		return results
	}
	if draining {
		starts := &cowslipbend.HostOrders{Starts: o.Starts}
		results := refuseAll(starts, cowslipbend.Refused, "draining")
		w.stops(o, life)
		return results
	}
	var mu sync.Mutex
	var results []cowslipbend.RunResult
	var wait sync.WaitGroup
	for i := range o.Starts {
		wait.Add(1)
		began := w.spawn(func(ctx context.Context) {
			defer wait.Done()
			res := w.start(ctx, &o.Starts[i], o.Epoch, life)
			w.settings.Gauge.RecordStartResult(res)
			if res != nil {
				mu.Lock()
				results = append(results, *res)
				mu.Unlock()
			}
		})
		if !began {
			wait.Done()
		}
	}
	w.stops(o, life)
	wait.Wait()
	return results
}

// settle answers for starts whose first order had no answer. A run that the
// runner does not list is kept from ever beginning, and told as absent then.
func (w *Supervisor) settle(o *cowslipbend.HostOrders, life cowslipbend.Incarnation) []cowslipbend.RunResult {
	var results []cowslipbend.RunResult
	for i := range o.Starts {
		s := &o.Starts[i]
		w.mu.Lock()
		w.know(s)
		there := w.lists(s.RunRef)
		w.mu.Unlock()
		if there {
			results = append(results, cowslipbend.RunResult{RunRef: s.RunRef, Kind: cowslipbend.Started})
			continue
		}
		w.spawn(func(ctx context.Context) { w.stop(ctx, s.RunRef, o.Epoch, life) })
	}
	return results
}

func (w *Supervisor) stops(o *cowslipbend.HostOrders, life cowslipbend.Incarnation) {
	for _, ref := range o.Stops {
		w.spawn(func(ctx context.Context) { w.stop(ctx, ref, o.Epoch, life) })
	}
}

// start begins one run. It returns nil if it is not known whether the run is
// there; a stop then settles it.
func (w *Supervisor) start(ctx context.Context, s *cowslipbend.RunStart, epoch cowslipbend.Epoch, life cowslipbend.Incarnation) *cowslipbend.RunResult {
	w.mu.Lock()
	until := w.until(min(w.lease, w.clock.Now().Add(startWithin)))
	w.know(s)
	w.mu.Unlock()
	res := &cowslipbend.RunResult{RunRef: s.RunRef}
	if until == 0 {
		res.Kind, res.Reason = cowslipbend.Refused, "no lease"
		w.forget(s.RunRef)
		return res
	}
	_, err := w.runner.Start(ctx, life, *s, until, epoch)
	switch cowslipbend.KindOf(err) {
	case "":
		res.Kind = cowslipbend.Started
		w.taken(s.RunRef, life)
		if s.Fills {
			w.spawn(func(ctx context.Context) { w.admit(ctx, s.RunRef) })
		}
	case cowslipbend.KindUnknown:
		w.log.Warn("start was not answered", "flow", s.Task.Job, "task", s.Task.String(), "run", s.Run, "error", err)
		w.spawn(func(ctx context.Context) { w.stop(ctx, s.RunRef, epoch, life) })
		return nil
	default:
		res.Kind, res.Reason = cowslipbend.Refused, cowslipbend.AsError(err).What
		w.forget(s.RunRef)
		w.log.Info("start refused", "flow", s.Task.Job, "task", s.Task.String(), "run", s.Run, "reason", res.Reason)
	}
	return res
}

// taken notes that the runner has a run, which its next list may still lack.
func (w *Supervisor) taken(ref cowslipbend.RunRef, life cowslipbend.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[ref]
	if r == nil || w.host == nil || w.host.Life != life {
		return // It has ended already, or with its runner.
	}
	r.started, r.since = true, w.held
	if !w.lists(ref) {
		w.running = append(slices.Clip(w.running), cowslipbend.RunState{RunRef: ref})
	}
}

func (w *Supervisor) forget(ref cowslipbend.RunRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.runs, ref)
}

// stop ends a run, however often it must be asked, and reports it as absent if
// the runner does not list it afterwards.
func (w *Supervisor) stop(ctx context.Context, ref cowslipbend.RunRef, epoch cowslipbend.Epoch, life cowslipbend.Incarnation) {
	for ctx.Err() == nil {
		w.mu.Lock()
		current := w.host != nil && w.host.Life == life && w.epoch == epoch
		w.mu.Unlock()
		if !current {
			return
		}
		err := w.runner.Stop(ctx, life, ref, epoch)
		if !unsettled(err) {
			break
		}
		w.log.Warn("stop was not answered", "flow", ref.Task.Job, "task", ref.Task.String(), "run", ref.Run, "error", err)
		w.pause(ctx, nil, stopPause)
	}
	if err := w.hold(ctx, false); err != nil {
		return // The owner asks again.
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.host == nil || w.host.Life != life || w.lists(ref) {
		return
	}
	w.results = append(w.results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Absent, Reason: "stopped before it began"})
	w.kick()
}

// unsettled reports whether an order may not have reached the runner, or only
// without an effect: a start of the same run could then still begin.
func unsettled(err error) bool {
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindUnknown, cowslipbend.KindDown, cowslipbend.KindLimited:
		return true
	}
	return false
}

// lists reports whether the runner lists the run as running or ended.
func (w *Supervisor) lists(ref cowslipbend.RunRef) bool {
	for i := range w.running {
		if w.running[i].RunRef == ref {
			return true
		}
	}
	for i := range w.ends {
		if w.ends[i].RunRef == ref {
			return true
		}
	}
	return false
}
