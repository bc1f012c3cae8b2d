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

// sending is one sending of a request, as history input. An idempotent one has
// a key of its own.
type sending struct {
	key  string
	body string
	once bool
}

// told is what its caller was told, as history output. For a run, which the
// endpoint records, all but ran is empty.
type told struct {
	outcome cowslipbend.Outcome
	body    string
	ran     bool
}

// requestState is what the model knows of a key.
type requestState struct {
	runs int
	body string
}

// requestModel says what callers may be told. A history holds the sendings and
// the runs at the endpoints, as operations of their own:
//   - a non-idempotent request runs at most once;
//   - a caller that is told "ran" gets the whole answer to its own request,
//     after a run;
//   - a caller that is told "not run" is told so at a moment when its request
//     had not run.
var requestModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(sending).key
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
		s, in, out := state.(requestState), input.(sending), output.(told)
		if out.ran {
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

// recorder gathers a history.
type recorder struct {
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

func (r *recorder) now() int64 { return time.Since(r.began).Nanoseconds() }

func (r *recorder) add(client int, in sending, call int64, out told, back int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: back})
}

// endpoint records each run at the moment it starts.
func (r *recorder) endpoint(client int, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		at := r.now()
		in := sending{key: h.Header.Get(cowslipbend.HeaderID), body: h.URL.Path[1:], once: h.Header.Get(cowslipbend.HeaderOnce) == "1"}
		if in.key == "" {
			in.key = in.body
		}
		r.add(client, in, at, told{ran: true}, r.now())
		next(w, h)
	}
}

// callers sends requests from several clients, each in its own order. Ids are
// drawn from a few, so that many are repeated at once through all entries.
// The first client plants a fault before each of its requests.
func (s *system) callers(r *recorder, clients, requests int, seed uint64, plant func(rnd *rand.Rand)) {
	var g errgroup.Group
	for c := range clients {
		rnd := rand.New(rand.NewPCG(seed, uint64(c)))
		g.Go(func() error {
			for n := range requests {
				if c == 0 {
					plant(rnd)
				}
				in := sending{key: fmt.Sprintf("c%d-%d", c, n), body: fmt.Sprintf("c%d-%d", c, n)}
				id := ""
				if rnd.IntN(3) > 0 {
					id = fmt.Sprintf("id%d", rnd.IntN(clients*requests/4))
					in = sending{key: id, body: "of-" + id, once: true}
				}
				call := r.now()
				got := s.call(rnd.IntN(len(s.entries)), id, in.body, cowslipbend.HeaderDeadline, "3000")
				out := told{outcome: got.outcome, body: got.body}
				if got.err != nil {
					out.outcome = cowslipbend.Uncertain
				}
				r.add(c, in, call, out, r.now())
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
		outcomes[op.Output.(told).outcome]++
	}
	t.Logf("%d operations: %v", len(r.ops), outcomes)
	assert.Assert(t, outcomes[cowslipbend.Ran] > 0, "nothing ran")
}

// TestHistories checks what concurrent callers were told while faults come and
// go.
func TestHistories(t *testing.T) {
	const clients, requests = 12, 25
	run := func(name string, plant func(s *system, table *faultyTable, rnd *rand.Rand)) {
		t.Run(name, func(t *testing.T) {
			table := &faultyTable{Table: &keeper.Table{}}
			s := newSystemOn(t, table, 3, 3)
			r := newRecorder()
			for i, h := range s.hosts {
				h.on(r.endpoint(100+i, echoBody))
			}
			s.callers(r, clients, requests, 7, func(rnd *rand.Rand) { plant(s, table, rnd) })
			assertHistory(t, r)
		})
	}
	silence := func(s *system, _ *faultyTable, rnd *rand.Rand) {
		s.hosts[rnd.IntN(len(s.hosts))].relay.Silence()
	}
	failTable := func(_ *system, table *faultyTable, rnd *rand.Rand) {
		kinds := []faults{
			{},
			{commit: cowslipbend.KindDown},
			{read: cowslipbend.KindDown},
			{after: cowslipbend.KindUnknown},
			{after: cowslipbend.KindUnknown, read: cowslipbend.KindDown},
		}
		table.set(kinds[rnd.IntN(len(kinds))])
	}
	replace := func(s *system, _ *faultyTable, rnd *rand.Rand) {
		s.hosts[rnd.IntN(len(s.hosts))].replace(s.t)
	}
	run("without faults", func(*system, *faultyTable, *rand.Rand) {})
	run("with silent connections", silence)
	run("with a failing table", failTable)
	run("with endpoints that are replaced", replace)
	run("with all at once", func(s *system, table *faultyTable, rnd *rand.Rand) {
		silence(s, table, rnd)
		failTable(s, table, rnd)
		replace(s, table, rnd)
	})
}

// TestModelRefuses plants the defects that the model must find.
func TestModelRefuses(t *testing.T) {
	once := sending{key: "id", body: "b", once: true}
	plain := sending{key: "k", body: "b"}
	op := func(in sending, call, back int64, out told) porcupine.Operation {
		return porcupine.Operation{ClientId: int(call), Input: in, Call: call, Output: out, Return: back}
	}
	run := told{ran: true}
	ran := told{outcome: cowslipbend.Ran, body: "answer to b"}
	for name, history := range map[string][]porcupine.Operation{
		"a second run":             {op(once, 1, 2, run), op(once, 3, 4, run)},
		"not run after a run":      {op(once, 1, 2, run), op(once, 3, 4, told{outcome: cowslipbend.NotRun})},
		"ran without a run":        {op(once, 1, 2, ran)},
		"ran before the run":       {op(once, 1, 2, ran), op(once, 3, 4, run)},
		"a short answer":           {op(once, 1, 2, run), op(once, 1, 4, told{outcome: cowslipbend.Ran, body: "answer"})},
		"the answer of another":    {op(plain, 1, 2, run), op(plain, 1, 4, told{outcome: cowslipbend.Ran, body: "answer to c"})},
		"not run of an idempotent": {op(plain, 1, 2, run), op(plain, 3, 4, told{outcome: cowslipbend.NotRun})},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, !porcupine.CheckOperations(requestModel, history), "the model takes it")
		})
	}
	t.Run("but not what is right", func(t *testing.T) {
		history := []porcupine.Operation{
			op(once, 1, 4, told{outcome: cowslipbend.NotRun}), op(once, 5, 10, ran), op(once, 6, 7, run),
			op(once, 8, 20, ran), op(once, 9, 21, told{outcome: cowslipbend.Uncertain}),
		}
		assert.Assert(t, porcupine.CheckOperations(requestModel, history))
	})
}
