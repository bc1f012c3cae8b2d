package supervisor

import (
	"context"
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
	"cowslipbend.dev/pacer"
)

// holds renews the lease and learns of ends, again and again.
func (w *Supervisor) holds(ctx context.Context) error {
	for ctx.Err() == nil {
		w.mu.Lock()
		released, unacked, host := w.released, len(w.ends) > 0, w.host
		w.mu.Unlock()
		if host == nil {
			w.pause(ctx, released, holdWait)
			continue
		}
		if unacked {
			w.pause(ctx, released, holdPause)
		}
		if err := w.hold(ctx, true); err != nil {
			w.log.Warn("runner did not confirm the lease", "life", host.Life, "error", err)
			w.lapse(host.Life, cowslipbend.KindOf(err))
			w.pause(ctx, nil, holdPause)
			continue
		}
		w.steer(ctx)
	}
	return nil
}

// lapse gives a runner up that nobody listens for, or that has not answered
// until its lease lapsed: all that it ran has ended. It is known again by its
// next heartbeat.
func (w *Supervisor) lapse(life cowslipbend.Incarnation, kind cowslipbend.Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.host == nil || w.host.Life != life {
		return
	}
	if w.absent++; kind != cowslipbend.KindMissing {
		w.absent = 0
	}
	lapsed := w.given > 0 && w.clock.Now() > w.given
	if w.absent < maxAbsent && !lapsed {
		return
	}
	w.log.Warn("runner lost", "life", life, "lapsed", lapsed)
	w.host, w.lost = nil, life
	w.settings.Gauge.RecordLostRunner()
	w.kick()
}

// pause waits until the channel is closed or the span has passed.
func (w *Supervisor) pause(ctx context.Context, released <-chan struct{}, s cowslipbend.Span) {
	select {
	case <-ctx.Done():
	case <-released:
	case <-w.clock.After(s):
	}
}

// hold renews the lease once and takes the runner's lists. One that waits
// returns when a run ends.
func (w *Supervisor) hold(ctx context.Context, wait bool) error {
	w.mu.Lock()
	if w.host == nil {
		w.mu.Unlock()
		return nil
	}
	life, until, acked, epoch := w.host.Life, w.until(w.lease), w.acked, w.epoch
	span := cowslipbend.Span(0)
	if wait && w.synced && len(w.ends) == 0 {
		if span = holdWait; w.serves() {
			span = holdPace
		}
	}
	w.held++
	number := w.held
	w.mu.Unlock()
	list, err := w.runner.RenewLeases(ctx, life, until, acked, span, epoch)
	w.settings.Gauge.RecordLeaseRenewal(err)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.host == nil || w.host.Life != life || list.Life != life || number < w.listed {
		return nil
	}
	w.listed = number
	w.offset, w.synced = list.Clock.Sub(w.clock.Now()), true
	w.answered, w.absent = w.clock.Now(), 0
	w.fence = max(w.fence, epoch)
	w.running = w.withStarted(list, number)
	w.take(list.Ends)
	return nil
}

// withStarted returns the runs of a list, and those that the runner has taken
// since the hold began.
func (w *Supervisor) withStarted(list cowslipbend.RunList, number int64) []cowslipbend.RunState {
	there := make(map[cowslipbend.RunRef]bool, len(list.Running)+len(list.Ends))
	for i := range list.Running {
		there[list.Running[i].RunRef] = true
	}
	for i := range list.Ends {
		there[list.Ends[i].RunRef] = true
	}
	running := list.Running
	for ref, r := range w.runs {
		if r.started && r.since >= number && !there[ref] {
			running = append(running, cowslipbend.RunState{RunRef: ref})
		}
	}
	return running
}

// take keeps the ends that are not acknowledged and reports new ones at once.
func (w *Supervisor) take(ends []cowslipbend.RunEnd) {
	last := w.acked
	if n := len(w.ends); n > 0 {
		last = w.ends[n-1].Number
	}
	fresh := false
	var kept []cowslipbend.RunEnd
	for _, e := range ends {
		if e.Number <= w.acked {
			continue
		}
		kept = append(kept, e)
		if e.Number > last {
			fresh = true
			delete(w.runs, e.RunRef)
			w.settings.Gauge.RecordRunEnd(e.Kind)
			w.log.Info("run ended", "flow", e.Task.Job, "task", e.Task.String(), "run", e.Run, "how", e.Kind, "number", e.Number)
		}
	}
	w.ends = kept
	if fresh {
		w.kick()
	}
}

// serves reports whether any run serves: its tail is followed also before
// filling work begins beside it.
func (w *Supervisor) serves() bool {
	for _, r := range w.runs {
		if r.target > 0 {
			return true
		}
	}
	return false
}

// steerEvery is the time between two changes of the pace: a tail is a figure
// of the last half second.
const steerEvery = 450 * cowslipbend.Millisecond

// steer sets the pace of the filling runs.
func (w *Supervisor) steer(ctx context.Context) {
	w.mu.Lock()
	if w.host == nil || w.clock.Now().Sub(w.steered) < steerEvery {
		w.mu.Unlock()
		return
	}
	w.steered = w.clock.Now()
	life, epoch := w.host.Life, w.epoch
	changes := w.paces()
	w.mu.Unlock()
	for ref, percent := range changes {
		w.setPace(ctx, life, ref, percent, epoch)
	}
}

func (w *Supervisor) setPace(ctx context.Context, life cowslipbend.Incarnation, ref cowslipbend.RunRef, percent int, epoch cowslipbend.Epoch) {
	if err := w.runner.SetPace(ctx, life, ref, percent, epoch); err != nil {
		w.log.Warn("run was not paced", "task", ref.Task.String(), "run", ref.Run, "percent", percent, "error", err)
		return
	}
	w.settings.Gauge.RecordPaceChange()
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[ref]; r != nil {
		r.percent = percent
	}
}

// admit sets the pace of a filling run that has just begun.
func (w *Supervisor) admit(ctx context.Context, ref cowslipbend.RunRef) {
	w.mu.Lock()
	r := w.runs[ref]
	if r == nil || w.host == nil {
		w.mu.Unlock()
		return
	}
	life, epoch := w.host.Life, w.epoch
	_, filling := w.sides()
	percent, changes := w.pace.Admit(ref, filling)
	w.mu.Unlock()
	if changes {
		w.setPace(ctx, life, ref, percent, epoch)
	}
}

// paces returns the filling runs whose pace must change.
func (w *Supervisor) paces() map[cowslipbend.RunRef]int {
	serving, filling := w.sides()
	if w.log.IsDebug() {
		w.log.Debug("look", "life", w.host.Life, "runs", w.describe())
	}
	return w.pace.Decide(serving, filling)
}

// sides lists what serves and what fills on the host.
func (w *Supervisor) sides() (serving []estimator.Serving, filling []pacer.Run) {
	size := float64(max(w.host.Size.CPU, 1))
	for i := range w.running {
		s := &w.running[i]
		r := w.runs[s.RunRef]
		switch {
		case r == nil:
		case r.fills:
			filling = append(filling, pacer.Run{
				Ref: s.RunRef, Image: r.image, Share: float64(r.cpu) / size, Used: float64(s.TailOrCPU) / size, Pace: r.percent,
			})
		case r.target > 0 && s.Percent == 100:
			serving = append(serving, estimator.Serving{
				Image: r.image, Group: string(s.Task.Job), Tail: float64(s.TailOrCPU), Target: float64(r.target),
			})
		}
	}
	return serving, filling
}

// describe lists the serving and filling runs for the log.
func (w *Supervisor) describe() []string {
	var list []string
	for i := range w.running {
		s := &w.running[i]
		if r := w.runs[s.RunRef]; r != nil && (r.fills || r.target > 0) {
			list = append(list, fmt.Sprintf("%s target=%d cpu=%d percent=%d tail=%d pace=%d", r.image, r.target, int64(r.cpu), s.Percent, s.TailOrCPU, r.percent))
		}
	}
	return list
}
