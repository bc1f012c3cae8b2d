package planner

import (
	"encoding/json"
	"sort"

	"cowslipbend.dev"
)

// Row is a flow's progress as it is stored.
type Row struct {
	State cowslipbend.FlowState `json:"s,omitempty"`
	Ended cowslipbend.Time      `json:"e,omitempty"`
	Begun bool                  `json:"b,omitempty"`
	// Passed counts the complete rounds, Next is the first that is not open.
	Passed int        `json:"p,omitempty"`
	Next   int        `json:"n,omitempty"`
	Rounds []RowRound `json:"r,omitempty"`
}

// RowRound is an open round.
type RowRound struct {
	Number int       `json:"k,omitempty"`
	Tasks  []RowTask `json:"t,omitempty"`
}

// RowTask is a task that has been placed at least once.
type RowTask struct {
	Step  int                     `json:"s,omitempty"`
	Index int                     `json:"i,omitempty"`
	Done  bool                    `json:"d,omitempty"`
	Run   cowslipbend.Attempt     `json:"n,omitempty"`
	Fails int                     `json:"f,omitempty"`
	Host  cowslipbend.Incarnation `json:"h,omitempty"`
	Saved string                  `json:"c,omitempty"`
}

// AgentRow is an agent as it is stored: where it listens, and the life of its
// runner on which runs may have been placed.
type AgentRow struct {
	URL  string                  `json:"u"`
	Host cowslipbend.Incarnation `json:"h,omitempty"`
}

// Joined reports whether the agents have changed since it was last called.
func (p *Planner) Joined() bool {
	joined := p.joined
	p.joined = false
	return joined
}

// Agents returns the known agents in the order of their URLs.
func (p *Planner) Agents() []AgentRow {
	rows := make([]AgentRow, 0, len(p.agents))
	for url, a := range p.agents {
		rows = append(rows, AgentRow{URL: url, Host: a.host})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].URL < rows[j].URL })
	return rows
}

// Expect takes the agents of an earlier owner. One that reports another life
// of its runner shows that all runs of the old one have ended.
func (p *Planner) Expect(rows []AgentRow, now cowslipbend.Time) {
	for _, row := range rows {
		if p.agents[row.URL] != nil {
			continue
		}
		p.agents[row.URL] = &agent{url: row.URL, host: row.Host, retired: map[cowslipbend.Incarnation]bool{}}
		if row.Host != "" {
			p.expect(row.Host, now)
		}
	}
}

// expect returns a host that is yet to be heard of.
func (p *Planner) expect(life cowslipbend.Incarnation, now cowslipbend.Time) *host {
	h := p.hosts[life]
	if h == nil {
		h = newHost(life)
		h.granted = now.Add(p.opts.Inherited)
		p.hosts[life] = h
	}
	return h
}

// Dirty returns the flows whose progress has changed and is not taken yet.
func (p *Planner) Dirty() []cowslipbend.JobID {
	ids := make([]cowslipbend.JobID, 0, len(p.dirty))
	for id := range p.dirty {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Take returns the encoded progress of a flow and marks it as taken.
func (p *Planner) Take(id cowslipbend.JobID) ([]byte, error) {
	delete(p.dirty, id)
	data, err := json.Marshal(p.flows[id].row())
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "progress of %s does not encode", id)
	}
	return data, nil
}

func (f *flow) row() Row {
	row := Row{State: f.final, Ended: f.ended, Begun: f.begun, Passed: f.passed, Next: f.next}
	if f.final != "" {
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
				rr.Tasks = append(rr.Tasks, RowTask{
					Step: i, Index: j, Done: t.phase == phaseDone, Run: t.run, Fails: t.fails, Host: t.host, Saved: t.saved,
				})
			}
		}
		row.Rounds = append(row.Rounds, rr)
	}
	return row
}

// Restore takes a flow with its stored progress. Runs that it names may be on
// their hosts until these are heard of or their leases have lapsed.
func (p *Planner) Restore(def *cowslipbend.Flow, data []byte, now cowslipbend.Time) error {
	var row Row
	if err := json.Unmarshal(data, &row); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the flow's row", "progress of %s does not decode", def.ID)
	}
	f := newFlow(def)
	f.begun, f.final, f.ended, f.passed, f.next = row.Begun, row.State, row.Ended, row.Passed, row.Next
	for _, rr := range row.Rounds {
		f.rounds[rr.Number] = newRound(def, rr.Number)
		for _, rt := range rr.Tasks {
			ref := def.Ref(rr.Number, rt.Step, rt.Index)
			t := f.task(ref)
			if t == nil {
				return cowslipbend.Fail(cowslipbend.KindBroken, "progress names task "+ref.String()+", which the flow lacks", "restore the flow's row")
			}
			t.run, t.fails, t.host, t.saved = rt.Run, rt.Fails, rt.Host, rt.Saved
			switch {
			case rt.Done:
				t.phase = phaseDone
			case rt.Host != "":
				t.phase, t.since = phasePlaced, now
				p.inherit(f, cowslipbend.RunRef{Task: ref, Run: rt.Run}, rt.Host, now)
			}
		}
	}
	f.recount()
	p.flows[def.ID] = f
	if f.final == "" {
		p.live[def.ID] = f
	}
	return nil
}

// inherit notes a run of an earlier owner.
func (p *Planner) inherit(f *flow, ref cowslipbend.RunRef, life cowslipbend.Incarnation, now cowslipbend.Time) {
	p.expect(life, now).add(ref, f.step(ref.Task).def).inherited = true
}

// Shown returns the state that callers are told.
func (r *Row) Shown() cowslipbend.FlowState { return shown(r.State, r.Begun) }
