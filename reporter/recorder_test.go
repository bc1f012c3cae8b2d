package reporter

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

// faultyTable is a table whose store can be out or lose the answers of
// commits.
type faultyTable struct {
	keeper.Table
	out  bool
	lose bool
}

func (t *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	if t.out {
		return nil, cowslipbend.Fail(cowslipbend.KindDown, "store is out", "wait")
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *faultyTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	if t.out {
		return 0, cowslipbend.Fail(cowslipbend.KindDown, "store is out", "wait")
	}
	v, err := t.Table.Commit(ctx, txn)
	if t.lose {
		return 0, cowslipbend.Fail(cowslipbend.KindUnknown, "answer was lost", "look")
	}
	return v, err
}

var declared = &cowslipbend.Set{Services: []cowslipbend.Service{{
	Name: "settle", Objective: cowslipbend.Objective{P99: 40, Good: 0.99},
}}}

func newRecorder(entry cowslipbend.EntryID, table cowslipbend.Table, clock cowslipbend.Clock) *Recorder {
	r := NewRecorder(entry, "life", table, clock, hclog.NewNullLogger())
	r.Declare(declared)
	return r
}

func count(r *Recorder, n int, outcome cowslipbend.Outcome, kind cowslipbend.Kind, took time.Duration) {
	for range n {
		r.Count("settle", outcome, kind, took)
	}
}

func assertLast(t *testing.T, r *Recorder, want Counts) {
	t.Helper()
	report := r.Report(context.Background(), declared)
	assert.Equal(t, len(report.Services), 1)
	windows := report.Services[0].Windows
	assert.Equal(t, windows[len(windows)-1].Counts, want)
}

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome cowslipbend.Outcome
		kind    cowslipbend.Kind
		took    time.Duration
		want    Cause
	}{
		{"in time", cowslipbend.Ran, "", 40 * time.Millisecond, Good},
		{"late", cowslipbend.Ran, "", 41 * time.Millisecond, Late},
		{"endpoint failed", cowslipbend.Ran, cowslipbend.KindBroken, 0, Failed},
		{"may have run", cowslipbend.Uncertain, cowslipbend.KindUnknown, 0, Unknown},
		{"no room", cowslipbend.NotRun, cowslipbend.KindBusy, 0, Refused},
		{"deadline passed first", cowslipbend.NotRun, cowslipbend.KindLate, 0, Refused},
		{"over its limit", cowslipbend.NotRun, cowslipbend.KindLimited, 0, Limited},
		{"wrong request", cowslipbend.NotRun, cowslipbend.KindInvalid, 0, none},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Classify(c.outcome, c.kind, c.took, 40), c.want)
		})
	}
}

func TestRecorder(t *testing.T) {
	ctx := context.Background()
	t.Run("another entry reports what a lost one had written", func(t *testing.T) {
		table, clock := &faultyTable{}, &timer.Manual{}
		clock.Advance(100 * cowslipbend.Hour)
		lost := newRecorder("e1", table, clock)
		count(lost, 3, cowslipbend.Ran, "", 0)
		lost.Write(ctx)
		other := newRecorder("e2", table, clock)
		count(other, 2, cowslipbend.NotRun, cowslipbend.KindBusy, 0)
		assertLast(t, other, Counts{Good: 3, Refused: 2})
	})
	t.Run("a later life of an entry does not overwrite an earlier one", func(t *testing.T) {
		table, clock := &faultyTable{}, &timer.Manual{}
		first := newRecorder("e1", table, clock)
		count(first, 3, cowslipbend.Ran, "", 0)
		first.Write(ctx)
		second := NewRecorder("e1", "next", table, clock, hclog.NewNullLogger())
		second.Declare(declared)
		count(second, 1, cowslipbend.Ran, "", 0)
		second.Write(ctx)
		assertLast(t, second, Counts{Good: 4})
	})
	t.Run("counts of a store outage are written later", func(t *testing.T) {
		table, clock := &faultyTable{out: true}, &timer.Manual{}
		r := newRecorder("e1", table, clock)
		count(r, 1, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		clock.Advance(2 * cowslipbend.Hour)
		count(r, 1, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		assert.Assert(t, r.Report(ctx, declared).Partial != "")
		table.out = false
		r.Write(ctx)
		assertLast(t, newRecorder("e2", table, clock), Counts{Good: 2})
	})
	t.Run("a lost answer counts nothing twice", func(t *testing.T) {
		table, clock := &faultyTable{lose: true}, &timer.Manual{}
		r := newRecorder("e1", table, clock)
		count(r, 5, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		table.lose = false
		r.Write(ctx)
		assertLast(t, newRecorder("e2", table, clock), Counts{Good: 5})
	})
	t.Run("requests of services that are not declared are not kept", func(t *testing.T) {
		r := newRecorder("e1", &faultyTable{}, &timer.Manual{})
		assert.Equal(t, r.Count("nosuch", cowslipbend.Ran, "", 0), none)
		assert.Equal(t, len(r.pages), 0)
	})
}

func TestRetention(t *testing.T) {
	ctx := context.Background()
	table, clock := &faultyTable{}, &timer.Manual{}
	r := newRecorder("e1", table, clock)
	const hours = 100
	for range hours * 60 {
		count(r, 1, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		clock.Advance(cowslipbend.Minute)
	}
	rows, err := table.Table.Scan(ctx, prefix, "", maxPages*pageRows)
	assert.NilError(t, err)
	t.Run("rows are bounded in number", func(t *testing.T) { assert.Assert(t, len(rows) <= keep+2, "%d", len(rows)) })
	t.Run("old rows are coarse and keep their sums", func(t *testing.T) {
		b, err := decode(rows[5].Key, rows[5].Value)
		assert.NilError(t, err)
		assert.Equal(t, len(b["settle"]), 60/coarsePart)
		total := int64(0)
		for _, c := range b["settle"] {
			total += c.Good
		}
		assert.Equal(t, total, int64(60))
	})
	t.Run("one write a call and one scan an hour", func(t *testing.T) {
		_, writes := table.Counts()
		assert.Assert(t, writes <= hours*60, "%d", writes)
		reads, _ := table.Counts()
		assert.Assert(t, reads <= hours+2, "%d", reads)
	})
	t.Run("the longest window holds three days", func(t *testing.T) {
		report := r.Report(ctx, declared)
		n := report.Services[0].Windows[3].Good
		assert.Assert(t, n > 71*60 && n <= 72*60, "%d", n)
	})
}

func TestAlerts(t *testing.T) {
	// play counts requests of which each nth is refused, in every minute of
	// the span, and returns what was raised then and after an hour without.
	play := func(span cowslipbend.Span, requests, bad int) (during, after []Alert) {
		clock := &timer.Manual{}
		clock.Advance(100 * cowslipbend.Hour)
		r := newRecorder("e1", &faultyTable{}, clock)
		minutes := func(span cowslipbend.Span, bad int) []Alert {
			for range span / cowslipbend.Minute {
				count(r, requests-bad, cowslipbend.Ran, "", 0)
				count(r, bad, cowslipbend.NotRun, cowslipbend.KindBusy, 0)
				clock.Advance(cowslipbend.Minute)
			}
			return r.Report(context.Background(), declared).Services[0].Alerts
		}
		during = minutes(span, bad)
		return during, minutes(cowslipbend.Hour, 0)
	}
	t.Run("a fast burn pages and stops soon after it ended", func(t *testing.T) {
		during, after := play(2*cowslipbend.Hour, 100, 50)
		assert.Assert(t, during[0].Page && during[0].Burn == 14.4)
		for _, a := range after {
			assert.Assert(t, !a.Page, "%v", a)
		}
	})
	t.Run("a slow burn is a ticket", func(t *testing.T) {
		during, _ := play(6*cowslipbend.Hour, 100, 2)
		assert.Equal(t, len(during), 1)
		assert.Assert(t, !during[0].Page)
	})
	t.Run("what the objective allows raises nothing", func(t *testing.T) {
		during, _ := play(6*cowslipbend.Hour, 200, 1)
		assert.Equal(t, len(during), 0)
	})
}

func FuzzDecode(f *testing.F) {
	const key = "burn/0000000002/e1/life"
	f.Add([]byte(`{"settle":[[120,1,0,0,0,0,0]]}`))
	f.Add([]byte(`{"settle":[[1,1,0,0,0,0,0]]}`))
	f.Add([]byte(`{"settle":[[120,-1]]}`))
	f.Add([]byte(`{"settle":`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decode(key, data)
		if err != nil {
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBroken)
			return
		}
		again, err := decode(key, encode(b))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, b)
	})
}
