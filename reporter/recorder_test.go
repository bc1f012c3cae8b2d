package reporter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

// faultyTable is a table that can be unavailable or lose the responses to
// commits.
type faultyTable struct {
	keeper.Table
	unavailable   bool
	loseResponses bool
}

func (t *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	if t.unavailable {
		return nil, cowslipbend.Fail(cowslipbend.KindDown, "store is unavailable", "wait")
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *faultyTable) Commit(ctx context.Context, txn cowslipbend.Txn) (int64, error) {
	if t.unavailable {
		return 0, cowslipbend.Fail(cowslipbend.KindDown, "store is unavailable", "wait")
	}
	v, err := t.Table.Commit(ctx, txn)
	if t.loseResponses {
		return 0, cowslipbend.Fail(cowslipbend.KindUnknown, "answer was lost", "look")
	}
	return v, err
}

var testSet = &cowslipbend.Set{Services: []cowslipbend.Service{{
	Name: "settle", Objective: cowslipbend.Objective{P99: 40, Good: 0.99},
}}}

func newRecorder(entry cowslipbend.EntryID, table cowslipbend.Table, clock cowslipbend.Clock) *Recorder {
	r := NewRecorder(entry, "life", table, clock, hclog.NewNullLogger())
	r.SetServices(testSet)
	return r
}

func countRequests(r *Recorder, n int, outcome cowslipbend.Outcome, kind cowslipbend.Kind, latency time.Duration) {
	for range n {
		r.Count("settle", outcome, kind, latency)
	}
}

func assertLongestWindow(t *testing.T, r *Recorder, want Counts) {
	t.Helper()
	report := r.Report(context.Background(), testSet)
	assert.Equal(t, len(report.Services), 1)
	windows := report.Services[0].Windows
	assert.Equal(t, windows[len(windows)-1].Counts, want)
}

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome cowslipbend.Outcome
		kind    cowslipbend.Kind
		latency time.Duration
		want    Cause
	}{
		{"in time", cowslipbend.Ran, "", 40 * time.Millisecond, Good},
		{"late", cowslipbend.Ran, "", 41 * time.Millisecond, Late},
		{"error of the endpoint", cowslipbend.Ran, cowslipbend.KindBroken, 0, Failed},
		{"may have run", cowslipbend.Uncertain, cowslipbend.KindUnknown, 0, Unknown},
		{"no capacity", cowslipbend.NotRun, cowslipbend.KindBusy, 0, Refused},
		{"deadline passed before it ran", cowslipbend.NotRun, cowslipbend.KindLate, 0, Refused},
		{"over a rate limit", cowslipbend.NotRun, cowslipbend.KindLimited, 0, Limited},
		{"invalid request", cowslipbend.NotRun, cowslipbend.KindInvalid, 0, notCounted},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Classify(c.outcome, c.kind, c.latency, 40), c.want)
		})
	}
}

func TestRecorder(t *testing.T) {
	ctx := context.Background()
	t.Run("a report includes the rows of an entry that is gone", func(t *testing.T) {
		table, clock := &faultyTable{}, &timer.Manual{}
		clock.Advance(100 * cowslipbend.Hour)
		stopped := newRecorder("e1", table, clock)
		countRequests(stopped, 3, cowslipbend.Ran, "", 0)
		stopped.Write(ctx)
		other := newRecorder("e2", table, clock)
		countRequests(other, 2, cowslipbend.NotRun, cowslipbend.KindBusy, 0)
		assertLongestWindow(t, other, Counts{Good: 3, Refused: 2})
	})
	t.Run("a later incarnation of an entry does not overwrite the rows of an earlier one", func(t *testing.T) {
		table, clock := &faultyTable{}, &timer.Manual{}
		first := newRecorder("e1", table, clock)
		countRequests(first, 3, cowslipbend.Ran, "", 0)
		first.Write(ctx)
		second := NewRecorder("e1", "next", table, clock, hclog.NewNullLogger())
		second.SetServices(testSet)
		countRequests(second, 1, cowslipbend.Ran, "", 0)
		second.Write(ctx)
		assertLongestWindow(t, second, Counts{Good: 4})
	})
	t.Run("counts made during a store outage are written after it", func(t *testing.T) {
		table, clock := &faultyTable{unavailable: true}, &timer.Manual{}
		r := newRecorder("e1", table, clock)
		countRequests(r, 1, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		clock.Advance(2 * cowslipbend.Hour)
		countRequests(r, 1, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		assert.Assert(t, r.Report(ctx, testSet).PartialReason != "")
		table.unavailable = false
		r.Write(ctx)
		assertLongestWindow(t, newRecorder("e2", table, clock), Counts{Good: 2})
	})
	t.Run("a repeated write after a lost response counts nothing twice", func(t *testing.T) {
		table, clock := &faultyTable{loseResponses: true}, &timer.Manual{}
		r := newRecorder("e1", table, clock)
		countRequests(r, 5, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		table.loseResponses = false
		r.Write(ctx)
		assertLongestWindow(t, newRecorder("e2", table, clock), Counts{Good: 5})
	})
	t.Run("requests of undeclared services are not counted", func(t *testing.T) {
		r := newRecorder("e1", &faultyTable{}, &timer.Manual{})
		assert.Equal(t, r.Count("nosuch", cowslipbend.Ran, "", 0), notCounted)
		assert.Equal(t, len(r.hours), 0)
	})
}

func TestForeignRows(t *testing.T) {
	// More rows than one write may delete have keys that are no hours, and come
	// before the expired one.
	table, clock := &faultyTable{}, &timer.Manual{}
	clock.Advance(200 * cowslipbend.Hour)
	r := newRecorder("e1", table, clock)
	expired := r.rowKey(minuteOf(clock.Wall()).hour() - retention - 1)
	txn := cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: expired, Value: []byte("{}")}}}
	for i := range maxDeletes + 10 {
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: fmt.Sprintf("%s!%d", keyPrefix, i), Value: []byte("x")})
	}
	_, err := table.Commit(t.Context(), txn)
	assert.NilError(t, err)
	r.Write(t.Context())
	row, err := table.Get(t.Context(), expired)
	assert.NilError(t, err)
	assert.Equal(t, row.Version, int64(0), "the expired row is still there")
}

func TestRetention(t *testing.T) {
	ctx := context.Background()
	table, clock := &faultyTable{}, &timer.Manual{}
	r := newRecorder("e1", table, clock)
	const hours = 100
	for range hours * 60 {
		countRequests(r, 1, cowslipbend.Ran, "", 0)
		r.Write(ctx)
		clock.Advance(cowslipbend.Minute)
	}
	rows, err := table.Table.Scan(ctx, keyPrefix, "", maxScans*scanRows)
	assert.NilError(t, err)
	t.Run("rows are bounded in number", func(t *testing.T) { assert.Assert(t, len(rows) <= retention+2, "%d", len(rows)) })
	t.Run("old rows have coarse intervals with the same totals", func(t *testing.T) {
		b, err := decode(rows[5].Key, rows[5].Value)
		assert.NilError(t, err)
		assert.Equal(t, len(b["settle"]), 60/coarseMinutes)
		total := int64(0)
		for _, c := range b["settle"] {
			total += c.Good
		}
		assert.Equal(t, total, int64(60))
	})
	t.Run("there is at most one commit per call and one scan per hour", func(t *testing.T) {
		_, writes := table.Counts()
		assert.Assert(t, writes <= hours*60, "%d", writes)
		reads, _ := table.Counts()
		assert.Assert(t, reads <= hours+2, "%d", reads)
	})
	t.Run("the longest window holds three days", func(t *testing.T) {
		report := r.Report(ctx, testSet)
		n := report.Services[0].Windows[3].Good
		assert.Assert(t, n > 71*60 && n <= 72*60, "%d", n)
	})
}

func TestAlerts(t *testing.T) {
	// simulate counts requests in every minute of the span, of which bad are
	// refused. It returns the alerts at the end of the span and after another
	// hour without refusals.
	simulate := func(span cowslipbend.Span, requests, bad int) (during, after []Alert) {
		clock := &timer.Manual{}
		clock.Advance(100 * cowslipbend.Hour)
		r := newRecorder("e1", &faultyTable{}, clock)
		countMinutes := func(span cowslipbend.Span, bad int) []Alert {
			for range span / cowslipbend.Minute {
				countRequests(r, requests-bad, cowslipbend.Ran, "", 0)
				countRequests(r, bad, cowslipbend.NotRun, cowslipbend.KindBusy, 0)
				clock.Advance(cowslipbend.Minute)
			}
			return r.Report(context.Background(), testSet).Services[0].Alerts
		}
		during = countMinutes(span, bad)
		return during, countMinutes(cowslipbend.Hour, 0)
	}
	t.Run("a high burn rate raises a page that ends soon after its cause", func(t *testing.T) {
		during, after := simulate(2*cowslipbend.Hour, 100, 50)
		assert.Assert(t, during[0].Page && during[0].Threshold == 14.4)
		for _, a := range after {
			assert.Assert(t, !a.Page, "%v", a)
		}
	})
	t.Run("a low burn rate raises a ticket", func(t *testing.T) {
		during, _ := simulate(6*cowslipbend.Hour, 100, 2)
		assert.Equal(t, len(during), 1)
		assert.Assert(t, !during[0].Page)
	})
	t.Run("errors within the objective raise no alert", func(t *testing.T) {
		during, _ := simulate(6*cowslipbend.Hour, 200, 1)
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
		decoded, err := decode(key, encode(b))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, b)
	})
}
