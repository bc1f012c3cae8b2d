package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
)

// callInput is the input of an operation in a history: one call of a request.
// Each call of an idempotent request has a key of its own.
type callInput struct {
	key  string
	body string
	once bool
}

// callOutput is the output of an operation in a history: the result that the
// caller received, or, with only isRun set, a run that an endpoint recorded.
type callOutput struct {
	outcome cowslipbend.Outcome
	body    string
	isRun   bool
}

// requestState is the model's state of a key.
type requestState struct {
	runs int
	body string
}

// requestModel defines the results that callers may receive. A history holds
// the calls and, as operations of their own, the runs at the endpoints:
//   - a non-idempotent request runs at most once;
//   - a caller that receives the outcome Ran receives the complete answer to its
//     own request, after a run;
//   - a call with the outcome NotRun contains a moment at which its request had
//     not run.
var requestModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(callInput).key
			byKey[key] = append(byKey[key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return requestState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(requestState), input.(callInput), output.(callOutput)
		if out.isRun {
			legal := s.runs == 0 || !in.once
			return legal, requestState{runs: s.runs + 1, body: in.body}
		}
		switch out.outcome {
		case cowslipbend.Ran:
			return s.runs > 0 && out.body == "answer to "+in.body && s.body == in.body, s
		case cowslipbend.NotRun:
			return s.runs == 0, s
		case cowslipbend.Uncertain:
		}
		return true, s
	},
	Equal: func(a, b any) bool { return a.(requestState) == b.(requestState) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// recorder records a history.
type recorder struct {
	startedAt time.Time
	mu        sync.Mutex
	ops       []porcupine.Operation
}

func newRecorder() *recorder { return &recorder{startedAt: time.Now()} }

func (r *recorder) now() int64 { return time.Since(r.startedAt).Nanoseconds() }

func (r *recorder) add(client int, in callInput, calledAt int64, out callOutput, returnedAt int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: calledAt, Output: out, Return: returnedAt})
}

// recordRuns records each run at the moment it starts.
func (r *recorder) recordRuns(client int, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		at := r.now()
		in := callInput{key: h.Header.Get(cowslipbend.HeaderID), body: h.URL.Path[1:], once: h.Header.Get(cowslipbend.HeaderOnce) == "1"}
		if in.key == "" {
			in.key = in.body
		}
		r.add(client, in, at, callOutput{isRun: true}, r.now())
		next(w, h)
	}
}

// runClients sends requests from several concurrent clients. Ids are drawn from
// a small set, so that many requests are repeated concurrently through all
// entries. The first client injects a fault before each of its requests.
func (s *system) runClients(r *recorder, clients, requests int, seed uint64, injectFault func(rnd *rand.Rand)) {
	var g errgroup.Group
	for c := range clients {
		rnd := rand.New(rand.NewPCG(seed, uint64(c)))
		g.Go(func() error {
			for n := range requests {
				if c == 0 {
					injectFault(rnd)
				}
				in := callInput{key: fmt.Sprintf("c%d-%d", c, n), body: fmt.Sprintf("c%d-%d", c, n)}
				id := ""
				if rnd.IntN(3) > 0 {
					id = fmt.Sprintf("id%d", rnd.IntN(clients*requests/4))
					in = callInput{key: id, body: "of-" + id, once: true}
				}
				calledAt := r.now()
				got := s.call(rnd.IntN(len(s.entries)), id, in.body, cowslipbend.HeaderDeadline, "3000")
				out := callOutput{outcome: got.outcome, body: got.body}
				if got.err != nil {
					out.outcome = cowslipbend.Uncertain
				}
				r.add(c, in, calledAt, out, r.now())
			}
			return nil
		})
	}
	assert.NilError(s.t, g.Wait())
}

func assertHistory(t *testing.T, r *recorder) {
	t.Helper()
	result, info := porcupine.CheckOperationsVerbose(requestModel, r.ops, time.Minute)
	if result != porcupine.Ok {
		path := t.ArtifactDir() + "/history.html"
		assert.Check(t, porcupine.VisualizePath(requestModel, info, path))
		t.Fatalf("history is %s, see %s", result, path)
	}
	outcomes := map[cowslipbend.Outcome]int{}
	for _, op := range r.ops {
		outcomes[op.Output.(callOutput).outcome]++
	}
	t.Logf("%d operations: %v", len(r.ops), outcomes)
	assert.Assert(t, outcomes[cowslipbend.Ran] > 0, "nothing ran")
}

// TestHistories checks the results of concurrent callers against the model
// while faults are injected and removed.
func TestHistories(t *testing.T) {
	const clients, requests = 12, 25
	run := func(name string, injectFault func(s *system, table *faultyTable, rnd *rand.Rand)) {
		t.Run(name, func(t *testing.T) {
			table := &faultyTable{Table: &keeper.Table{}}
			s := newSystemOn(t, table, 3, 3)
			r := newRecorder()
			for i, h := range s.hosts {
				h.setHandler(r.recordRuns(100+i, echoBody))
			}
			s.runClients(r, clients, requests, 7, func(rnd *rand.Rand) { injectFault(s, table, rnd) })
			assertHistory(t, r)
		})
	}
	silenceConnections := func(s *system, _ *faultyTable, rnd *rand.Rand) {
		s.hosts[rnd.IntN(len(s.hosts))].relay.Silence()
	}
	failTable := func(_ *system, table *faultyTable, rnd *rand.Rand) {
		combinations := []faults{
			{},
			{commitKind: cowslipbend.KindDown},
			{getKind: cowslipbend.KindDown},
			{lostAnswerKind: cowslipbend.KindUnknown},
			{lostAnswerKind: cowslipbend.KindUnknown, getKind: cowslipbend.KindDown},
		}
		table.set(combinations[rnd.IntN(len(combinations))])
	}
	replaceEndpoint := func(s *system, _ *faultyTable, rnd *rand.Rand) {
		s.hosts[rnd.IntN(len(s.hosts))].replace(s.t)
	}
	run("without faults", func(*system, *faultyTable, *rand.Rand) {})
	run("with stalled connections", silenceConnections)
	run("with a failing table", failTable)
	run("with endpoints that are replaced", replaceEndpoint)
	run("with all faults at once", func(s *system, table *faultyTable, rnd *rand.Rand) {
		silenceConnections(s, table, rnd)
		failTable(s, table, rnd)
		replaceEndpoint(s, table, rnd)
	})
}

// TestModelRefuses checks that the model rejects histories with known defects.
func TestModelRefuses(t *testing.T) {
	once := callInput{key: "id", body: "b", once: true}
	plain := callInput{key: "k", body: "b"}
	op := func(in callInput, calledAt, returnedAt int64, out callOutput) porcupine.Operation {
		return porcupine.Operation{ClientId: int(calledAt), Input: in, Call: calledAt, Output: out, Return: returnedAt}
	}
	run := callOutput{isRun: true}
	ran := callOutput{outcome: cowslipbend.Ran, body: "answer to b"}
	for name, history := range map[string][]porcupine.Operation{
		"a second run":             {op(once, 1, 2, run), op(once, 3, 4, run)},
		"not run after a run":      {op(once, 1, 2, run), op(once, 3, 4, callOutput{outcome: cowslipbend.NotRun})},
		"ran without a run":        {op(once, 1, 2, ran)},
		"ran before the run":       {op(once, 1, 2, ran), op(once, 3, 4, run)},
		"a truncated answer":       {op(once, 1, 2, run), op(once, 1, 4, callOutput{outcome: cowslipbend.Ran, body: "answer"})},
		"another request's answer": {op(plain, 1, 2, run), op(plain, 1, 4, callOutput{outcome: cowslipbend.Ran, body: "answer to c"})},
		"not run of an idempotent": {op(plain, 1, 2, run), op(plain, 3, 4, callOutput{outcome: cowslipbend.NotRun})},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, !porcupine.CheckOperations(requestModel, history), "the model accepts the history")
		})
	}
	t.Run("accepts a correct history", func(t *testing.T) {
		history := []porcupine.Operation{
			op(once, 1, 4, callOutput{outcome: cowslipbend.NotRun}), op(once, 5, 10, ran), op(once, 6, 7, run),
			op(once, 8, 20, ran), op(once, 9, 21, callOutput{outcome: cowslipbend.Uncertain}),
		}
		assert.Assert(t, porcupine.CheckOperations(requestModel, history))
	})
}
