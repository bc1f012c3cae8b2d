package conductor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/planner"
	"cowslipbend.dev/timer"
)

// fakeHost is an agent with a runner that starts all that it is told to.
type fakeHost struct {
	url string
	// checkpoint is the length of the checkpoints of its runs.
	checkpoint int

	mu      sync.Mutex
	number  int64
	running []cowslipbend.RunState
	ends    []cowslipbend.RunEnd
}

func newFakeHost(t *testing.T, checkpoint int) *fakeHost {
	t.Helper()
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	h := &fakeHost{url: srv.URL, checkpoint: checkpoint}
	caller.Handle(mux, conductor.PathOrders, func(_ context.Context, o *cowslipbend.HostOrders) (cowslipbend.HostReport, error) {
		return h.carryOut(o), nil
	})
	return h
}

func (h *fakeHost) carryOut(o *cowslipbend.HostOrders) cowslipbend.HostReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := cowslipbend.HostReport{Agent: "a", URL: h.url, BriefFor: o.Life}
	for i := range o.Starts {
		ref := o.Starts[i].RunRef
		text := make([]byte, h.checkpoint)
		for j := range text {
			text[j] = byte('a' + rand.IntN(26))
		}
		h.running = append(h.running, cowslipbend.RunState{RunRef: ref, Percent: 10, Checkpoint: string(text)})
		r.Results = append(r.Results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Started})
	}
	for _, ref := range o.Stops {
		h.end(ref, cowslipbend.EndStopped)
	}
	return r
}

// end ends a run. The caller holds the lock.
func (h *fakeHost) end(ref cowslipbend.RunRef, kind cowslipbend.EndKind) {
	n := len(h.running)
	h.running = slices.DeleteFunc(h.running, func(s cowslipbend.RunState) bool { return s.RunRef == ref })
	if len(h.running) < n {
		h.ends = append(h.ends, cowslipbend.RunEnd{RunRef: ref, Number: int64(len(h.ends) + 1), Kind: kind})
	}
}

// finish ends all runs of the flow as done and returns their number.
func (h *fakeHost) finish(id cowslipbend.JobID) (count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range slices.Clone(h.running) {
		if s.Task.Job == id {
			h.end(s.RunRef, cowslipbend.EndDone)
			count++
		}
	}
	return count
}

// report sends a report of the host.
func (h *fakeHost) report(t *testing.T, o *owner) {
	t.Helper()
	h.mu.Lock()
	h.number++
	r := cowslipbend.HostReport{
		Agent: "a", URL: h.url, Number: h.number, Fence: o.Epoch(), Running: slices.Clone(h.running), Ends: slices.Clone(h.ends),
		Host: &cowslipbend.HostSpec{Life: "h@1", Runner: "h", Service: "ledger", Size: cowslipbend.Resources{CPU: 1000 * cowslipbend.Core, Mem: 1000 * cowslipbend.GB}},
	}
	h.mu.Unlock()
	waitFor(t, "a report is accepted", func() bool {
		_, err := o.Report(t.Context(), &r)
		return err == nil
	})
}

// submit stores flows with tasks that save checkpoints, and tells the owner.
func (o *owner) submit(t *testing.T, table cowslipbend.Table, count int, ids ...cowslipbend.JobID) {
	t.Helper()
	for _, id := range ids {
		f := &cowslipbend.Flow{
			ID: id, Queue: "q", Policy: cowslipbend.FlowPolicy{Service: "ledger"},
			Steps: []cowslipbend.Step{{Count: count, Size: cowslipbend.Resources{CPU: 100}, Length: cowslipbend.Second, SavesCheckpoints: true}},
		}
		value, err := json.Marshal(f)
		assert.NilError(t, err)
		_, err = table.Commit(t.Context(), cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: conductor.WorkKey(id), Value: value}}})
		assert.NilError(t, err)
		o.NotifyAccepted(f)
	}
}

// play has the host report until the flow has the state. Its runs are done as soon as they
// were listed, all at once.
func (h *fakeHost) play(t *testing.T, o *owner, id cowslipbend.JobID, want cowslipbend.FlowState) {
	t.Helper()
	waitFor(t, fmt.Sprintf("flow %s is %s", id, want), func() bool {
		select {
		case <-o.Done():
			t.Fatal("the owner has ended")
		default:
		}
		h.report(t, o)
		h.finish(id)
		state, _ := o.State(id)
		return state == want
	})
}

// usualOptions are options without short times.
func usualOptions() planner.Options {
	return planner.Options{MaxLease: 5 * cowslipbend.Second, MaxPriorLease: 5 * cowslipbend.Second, FlowRetention: cowslipbend.Minute}
}

// TestRowThatDoesNotFit guards against a row that the store refuses which ends the owners of all
// flows, one after the other.
func TestRowThatDoesNotFit(t *testing.T) {
	const large, other = "00000000000000aa", "00000000000000bb"
	// awaitRuns has the host report until it has that many runs.
	awaitRuns := func(t *testing.T, h *fakeHost, o *owner, count int) {
		t.Helper()
		waitFor(t, "all runs have started", func() bool {
			h.report(t, o)
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.running) == count
		})
		h.report(t, o)
	}
	t.Run("checkpoints that make it too large are left out", func(t *testing.T) {
		table := &limitedTable{maxRow: 4 << 10}
		opts := usualOptions()
		opts.MaxRow = 4 << 10
		o, h := newOwnerWith(t, table, opts), newFakeHost(t, 200)
		h.report(t, o)
		o.submit(t, table, 60, large)
		awaitRuns(t, h, o, 60)
		o.submit(t, table, 1, other)
		h.play(t, o, other, cowslipbend.FlowDone)
		h.play(t, o, large, cowslipbend.FlowDone)
		assert.Assert(t, o.log.contains("flow="+large))
	})
	t.Run("one that is too large without them fails its flow only", func(t *testing.T) {
		table := &limitedTable{maxRow: 512}
		opts := usualOptions()
		opts.MaxRow = 512
		o, h := newOwnerWith(t, table, opts), newFakeHost(t, 0)
		h.report(t, o)
		o.submit(t, table, 2000, large)
		o.submit(t, table, 1, other)
		h.play(t, o, other, cowslipbend.FlowDone)
		waitFor(t, "the flow has failed", func() bool {
			h.report(t, o)
			state, _ := o.State(large)
			return state == cowslipbend.FlowFailed
		})
		assert.Equal(t, h.finish(large), 0, "no task of it has been started without its row")
		assert.Assert(t, o.log.contains("flow="+large))
	})
	t.Run("one that the store refuses for another reason fails its flow only", func(t *testing.T) {
		table := &limitedTable{maxRow: 64}
		o, h := newOwnerWith(t, table, usualOptions()), newFakeHost(t, 100)
		h.report(t, o)
		o.submit(t, table, 1, large, other)
		awaitRuns(t, h, o, 2)
		waitFor(t, "both flows have failed, and their runs are stopped", func() bool {
			h.report(t, o)
			h.mu.Lock()
			defer h.mu.Unlock()
			first, _ := o.State(large)
			second, _ := o.State(other)
			return first == cowslipbend.FlowFailed && second == cowslipbend.FlowFailed && len(h.running) == 0
		})
		h.checkpoint = 0
		o.submit(t, table, 1, "00000000000000cc")
		h.play(t, o, "00000000000000cc", cowslipbend.FlowDone)
	})
	t.Run("an owner ends if the store refuses everything", func(t *testing.T) {
		table := &limitedTable{maxRow: 1 << 10}
		settings := conductor.Settings{URL: "http://e", Planner: usualOptions()}
		rules := func() *cowslipbend.Rules { return nil }
		o := &owner{Conductor: conductor.New(settings, takeOver(t, table), table, table, caller.New(nil), rules, timer.Host{}, hclog.NewNullLogger())}
		var g errgroup.Group
		g.Go(func() error { return o.Run(t.Context()) })
		h := newFakeHost(t, 0)
		h.report(t, o)
		table.refuseAll.Store(true)
		o.submit(t, table, 1, large)
		assert.Equal(t, cowslipbend.KindOf(g.Wait()), cowslipbend.KindInvalid)
	})
}

// TestLargeCommit guards against a commit of many large rows that is more than a transaction may
// have.
func TestLargeCommit(t *testing.T) {
	const flows, tasks = 60, 30
	table := &limitedTable{maxRow: 48 << 10}
	opts := usualOptions()
	opts.MaxRow = 48 << 10
	o, h := newOwnerWith(t, table, opts), newFakeHost(t, 1000)
	h.report(t, o)
	var ids []cowslipbend.JobID
	for i := range flows {
		ids = append(ids, cowslipbend.JobID(fmt.Sprintf("%016x", i)))
	}
	o.submit(t, table, tasks, ids...)
	waitFor(t, "all runs have started", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.running) == flows*tasks
	})
	h.report(t, o)
	waitFor(t, "the checkpoints are stored", func() bool {
		rows, err := table.Scan(t.Context(), "run/0", "", flows)
		assert.NilError(t, err)
		return len(rows) == flows && !slices.ContainsFunc(rows, func(r cowslipbend.Row) bool { return len(r.Value) < tasks*500 })
	})
	assert.Assert(t, table.largest.Load() > maxTransaction/2)
	assert.Equal(t, table.refused.Load(), int64(0))
}
