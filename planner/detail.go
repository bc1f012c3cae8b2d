package planner

import (
	"slices"
	"strings"

	"cowslipbend.dev"
)

// RowDetail is how much of the progress of a flow its row holds.
type RowDetail string

// The details of rows, from the most to the least.
const (
	// RowComplete is a row with all progress.
	RowComplete RowDetail = "complete"
	// RowWithoutListed lacks the checkpoints of runs that have not ended, which their hosts list.
	RowWithoutListed RowDetail = "without checkpoints of runs"
	// RowWithoutCheckpoints lacks all checkpoints: under the next owner, tasks that wait begin
	// anew.
	RowWithoutCheckpoints RowDetail = "without checkpoints"
	// RowFailed is the row of a flow that failed as no other row of it fits.
	RowFailed RowDetail = "failed"
)

// RowEvent tells that the row of a flow holds more or less than the one before.
type RowEvent struct {
	Flow   cowslipbend.JobID
	Detail RowDetail
	// Size is that of the row with all progress, MaxSize the largest that the store takes.
	Size, MaxSize cowslipbend.Bytes
}

// TakeRowEvents returns the events since its last call.
func (p *Planner) TakeRowEvents() []RowEvent { return p.rowEvents.take() }

func (p *Planner) fits(data []byte) bool {
	return p.opts.MaxRow == 0 || cowslipbend.Bytes(len(data)) <= p.opts.MaxRow
}

// encodeProgress encodes the progress of a flow in as much detail as fits into a row. The flow
// fails if that is too little to go on with.
func (p *Planner) encodeProgress(f *flow) ([]byte, error) {
	row := f.row(RowComplete)
	complete, err := p.rows.encode(&row)
	if err != nil || p.fits(complete) {
		p.setDetail(f, RowComplete, complete)
		return complete, err
	}
	for _, detail := range []RowDetail{RowComplete, RowWithoutListed, RowWithoutCheckpoints} {
		row := f.row(detail)
		data, err := p.rows.encodeCompactly(&row)
		if err != nil || p.fits(data) {
			p.setDetail(f, detail, complete)
			return data, err
		}
	}
	p.setDetail(f, RowFailed, complete)
	p.GiveUp(f.def.ID)
	row = f.row(RowComplete)
	return p.rows.encode(&row)
}

func (p *Planner) setDetail(f *flow, detail RowDetail, complete []byte) {
	if f.detail == detail || (f.detail == "" && detail == RowComplete) || f.finalState != "" {
		return
	}
	f.detail = detail
	p.rowEvents.add(RowEvent{Flow: f.def.ID, Detail: detail, Size: cowslipbend.Bytes(len(complete)), MaxSize: p.opts.MaxRow})
}

// GiveUp ends a flow as failed, as its progress can't be stored. What the current decision starts
// of it is not sent, and its runs are stopped by the next one.
func (p *Planner) GiveUp(id cowslipbend.JobID) {
	f := p.flows[id]
	if f == nil || f.finalState != "" {
		return
	}
	for _, h := range p.hosts {
		for ref, pl := range h.runs {
			if ref.Task.Job == id && pl.orderedAt == 0 && !pl.confirmed && !pl.inherited {
				h.removeRun(ref)
			}
		}
	}
	p.finish(f, cowslipbend.FlowFailed)
}

// sortByHost sorts the tasks by their hosts, so that the names of the hosts compress well.
func (r *Row) sortByHost() {
	for i := range r.Rounds {
		slices.SortStableFunc(r.Rounds[i].Tasks, func(a, b RowTask) int { return strings.Compare(string(a.Host), string(b.Host)) })
	}
}
