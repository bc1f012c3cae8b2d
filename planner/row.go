package planner

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/isolator"
)

// Row is the stored progress of a flow.
type Row struct {
	State   cowslipbend.FlowState `json:"s,omitempty"`
	EndedAt cowslipbend.Time      `json:"e,omitempty"`
	Begun   bool                  `json:"b,omitempty"`
	// RoundsCompleted counts the complete rounds. NextRound is the number of
	// the first round that has not been opened.
	RoundsCompleted int        `json:"p,omitempty"`
	NextRound       int        `json:"n,omitempty"`
	Rounds          []RowRound `json:"r,omitempty"`
}

// RowRound is an open round.
type RowRound struct {
	Number int       `json:"k,omitempty"`
	Tasks  []RowTask `json:"t,omitempty"`
}

// RowTask is a task that has been placed at least once.
type RowTask struct {
	Step       int                     `json:"s,omitempty"`
	Index      int                     `json:"i,omitempty"`
	Done       bool                    `json:"d,omitempty"`
	Run        cowslipbend.Attempt     `json:"n,omitempty"`
	Failures   int                     `json:"f,omitempty"`
	Host       cowslipbend.Incarnation `json:"h,omitempty"`
	Checkpoint string                  `json:"c,omitempty"`
	// Other is the earlier one of two runs that have not ended.
	Other *RowRun `json:"o,omitempty"`
	// Crashes is what is known of the hosts that crashed under its runs.
	Crashes *isolator.Record `json:"x,omitempty"`
}

// expectHost returns the host, which it adds with the longest prior lease if it
// is unknown. The runner may have had that only since its last start; see replaceHost.
func (p *Planner) expectHost(life cowslipbend.Incarnation, now cowslipbend.Time) *host {
	h := p.hosts[life]
	if h == nil {
		h = newHost(life)
		h.leaseEnd = now.Add(max(p.opts.MaxPriorLease, withDrift(p.opts.MaxRunnerLease)))
		p.hosts[life] = h
	}
	return h
}

// DirtyFlows returns the flows whose progress has changed since TakeProgress
// last returned it.
func (p *Planner) DirtyFlows() []cowslipbend.JobID {
	ids := make([]cowslipbend.JobID, 0, len(p.dirtyFlows))
	for id := range p.dirtyFlows {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// TakeProgress returns the encoded progress of a flow, in at most MaxRow, and removes
// it from the dirty flows.
func (p *Planner) TakeProgress(id cowslipbend.JobID) ([]byte, error) {
	data, err := p.encodeProgress(p.flows[id])
	delete(p.dirtyFlows, id)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "progress of flow %s does not encode", id)
	}
	return data, nil
}

func (f *flow) row(detail RowDetail) Row {
	row := Row{State: f.finalState, EndedAt: f.endedAt, Begun: f.begun, RoundsCompleted: f.roundsCompleted, NextRound: f.nextRound}
	if f.finalState != "" {
		return row
	}
	for n, r := range f.rounds {
		rr := RowRound{Number: n}
		for i := range r.steps {
			for j := range r.steps[i].tasks {
				t := &r.steps[i].tasks[j]
				if t.run == 0 {
					continue
				}
				rr.Tasks = append(rr.Tasks, r.steps[i].row(j, detail))
			}
		}
		row.Rounds = append(row.Rounds, rr)
	}
	return row
}

// row returns the stored progress of a task. Of a done task little is stored, as
// each change writes the whole row and most tasks in it are done.
func (s *step) row(index int, detail RowDetail) RowTask {
	t := &s.tasks[index]
	row := RowTask{Step: s.index, Index: index, Run: t.run}
	if t.phase == phaseDone {
		row.Done = true
		if s.def.Compact {
			row.Host = t.host // The other tasks must run in its rack.
		}
		return row
	}
	row.Failures, row.Host, row.Other = t.failures, t.host, t.other.row()
	if detail == RowComplete || (detail == RowWithoutListed && t.phase == phaseWaiting) {
		row.Checkpoint = t.checkpoint
	}
	if t.crashes != (isolator.Record{}) {
		crashes := t.crashes
		row.Crashes = &crashes
	}
	return row
}

// Restore adds a flow with its stored progress. The runs that it names count as
// placed on their hosts until the hosts report or their leases have ended.
func (p *Planner) Restore(def *cowslipbend.Flow, data []byte, now cowslipbend.Time) error {
	row, err := DecodeRow(def.ID, data)
	if err != nil {
		return err
	}
	if err := row.check(def); err != nil {
		return err
	}
	f := newFlow(def)
	f.begun, f.finalState, f.endedAt, f.roundsCompleted, f.nextRound = row.Begun, row.State, row.EndedAt, row.RoundsCompleted, row.NextRound
	for _, rr := range row.Rounds {
		f.rounds[rr.Number] = newRound(def, rr.Number)
		for _, rt := range rr.Tasks {
			ref := def.Ref(rr.Number, rt.Step, rt.Index)
			t := f.task(ref)
			t.run, t.failures, t.host, t.checkpoint = rt.Run, rt.Failures, rt.Host, rt.Checkpoint
			if rt.Crashes != nil {
				t.crashes = *rt.Crashes
			}
			if rt.Done {
				t.phase = phaseDone
			} else {
				p.restoreRuns(f, t, ref, &rt, now)
			}
		}
	}
	f.updateCounts()
	p.flows[def.ID] = f
	if f.finalState == "" {
		p.liveFlows[def.ID] = f
	}
	return nil
}

// addInherited adds a run that an earlier owner ordered.
func (p *Planner) addInherited(f *flow, ref cowslipbend.RunRef, life cowslipbend.Incarnation, now cowslipbend.Time) {
	h := p.expectHost(life, now)
	pl := h.addRun(ref, f.step(ref.Task).def)
	pl.inherited = true
	if f.task(ref.Task).crashes.Suspect {
		h.beginTrial(f.def.ID, pl)
	}
}

// FlowState returns the state of the flow as callers see it.
func (r *Row) FlowState() cowslipbend.FlowState { return callerState(r.State, r.Begun) }
