package supervisor

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

// report returns what is known now. The caller holds the lock.
func (w *Supervisor) report() cowslipbend.HostReport {
	w.number++
	r := cowslipbend.HostReport{
		Agent: w.settings.Life, URL: w.settings.URL, Number: w.number, Fence: w.fence, Running: w.running, Ends: w.ends,
		ListAge:      w.clock.Now().Sub(w.answered),
		PairsVersion: w.version, LostLife: w.lost,
	}
	if w.host != nil && w.synced {
		spec := *w.host
		r.Host = &spec
	}
	return r
}

// reports tells the owner what has changed, and all now and then.
func (w *Supervisor) reports(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.kicked:
		case <-w.clock.After(reportEvery):
		}
		if !w.tell(ctx) {
			w.pause(ctx, w.kicked, reportPause)
			w.kick()
		}
	}
}

// tell reports to the owner, and looks for it if there is no answer. It
// reports whether the owner took the report.
func (w *Supervisor) tell(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.redirect = cancel
	r := w.report()
	r.Results = w.results
	w.results = nil
	owner := w.owner
	w.mu.Unlock()
	if owner != "" && w.tellTo(ctx, owner, &r) {
		return true
	}
	if w.seek(ctx, owner, &r) {
		return true
	}
	w.keep(r.Results)
	return false
}

// keep takes back results that nobody took.
func (w *Supervisor) keep(results []cowslipbend.RunResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(results, w.results...)
}

// seek reports to the other entries until one is the owner.
func (w *Supervisor) seek(ctx context.Context, owner string, r *cowslipbend.HostReport) bool {
	w.mu.Lock()
	entries := append([]string(nil), w.entries...)
	if w.owner == owner {
		w.owner = ""
	}
	w.mu.Unlock()
	for _, url := range entries {
		if url != owner && w.tellTo(ctx, url, r) {
			return true
		}
		w.mu.Lock()
		found := w.owner
		w.mu.Unlock()
		if found != "" && found != owner && found != url {
			return w.tellTo(ctx, found, r)
		}
	}
	if found := w.find(ctx); found != "" && found != owner {
		return w.tellTo(ctx, found, r)
	}
	return false
}

// tellTo reports to one entry and reports whether it is the owner.
func (w *Supervisor) tellTo(ctx context.Context, url string, r *cowslipbend.HostReport) bool {
	sent := w.clock.Now()
	var reply cowslipbend.ReportReply
	if err := w.caller.Call(ctx, url+conductor.PathReport, r, &reply, reportTime); err != nil {
		w.log.Debug("report was not taken", "entry", url, "error", err)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(reply.Entries) > 0 {
		w.entries = reply.Entries
	}
	if reply.Epoch < w.epoch {
		return false
	}
	fresh := reply.Epoch > w.epoch
	w.epoch = reply.Epoch
	if reply.Owner != "" {
		w.owner = reply.Owner
	}
	if reply.Owner != url {
		return false
	}
	if fresh {
		w.release()
	}
	if reply.PairsVersion != w.version {
		w.version = reply.PairsVersion
		w.model.UpdatePairs(reply.Pairs)
	}
	if w.host != nil && reply.Life == w.host.Life {
		w.granted(sent, &reply)
	}
	return true
}

// granted takes the lease and the acknowledgement of an answer.
func (w *Supervisor) granted(sent cowslipbend.Time, reply *cowslipbend.ReportReply) {
	if reply.LeaseGrant > 0 {
		w.lease = max(w.lease, sent.Add(min(reply.LeaseGrant, w.settings.Hold)))
	}
	if reply.AckedThrough <= w.acked {
		return
	}
	w.acked = reply.AckedThrough
	var kept []cowslipbend.RunEnd
	for _, e := range w.ends {
		if e.Number > w.acked {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	w.release()
}
