package field_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	agent "cowslipbend.dev/agent/joiner"
	entry "cowslipbend.dev/entry/joiner"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/stand/hostrunner"
	"cowslipbend.dev/stand/metastore"
	"cowslipbend.dev/timer"
)

const (
	rulesJSON = `{"version":3,"routes":[{"name":"q1","host":"jobs.example","path_prefix":"/run/","service":"ledger",` +
		`"target_latency_ms":250,"max_attempts":3,"stretch":1.5}],"services":[{"name":"ledger","rejects_overload":true}],` +
		`"limits":{"max_body_bytes":65536}}`
	taskDuration = 60 * cowslipbend.Millisecond
	// waitTimeout bounds each wait for a condition. No test asserts a duration.
	waitTimeout = 60 * time.Second
)

// testbed runs the stand-ins of the platform, two entries, and three hosts with
// an agent and a runner each.
type testbed struct {
	t       *testing.T
	port    int
	store   *metastore.Store
	pool    *hostrunner.Pool
	bounds  platform.Bounds
	runners []*hostrunner.Runner
	entries []*entry.Entry
	fronts  []string
}

// freePort returns a port that is unused on 127.0.0.1.
func freePort(t *testing.T) int {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// serve serves the handler on the address until the test ends.
func serve(t *testing.T, addr string, h http.Handler) {
	t.Helper()
	s, err := server.Listen(addr, h)
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(s.Run)
	t.Cleanup(func() {
		s.Close()
		assert.NilError(t, g.Wait())
	})
}

// newStoreOnly starts a testbed without processes, whose store has the operator's
// configuration and the other rows.
func newStoreOnly(t *testing.T, bounds platform.Bounds, rows ...cowslipbend.Put) *testbed {
	t.Helper()
	f := &testbed{t: t, port: freePort(t), store: metastore.New(), pool: hostrunner.NewPool(), bounds: bounds}
	_, err := f.store.Table().Commit(t.Context(), cowslipbend.Txn{Puts: append(rows, cowslipbend.Put{Key: "op/config", Value: []byte(rulesJSON)})})
	assert.NilError(t, err)
	serve(t, f.storeAddr(), f.store.Handler())
	return f
}

func (f *testbed) storeAddr() string { return fmt.Sprintf("127.0.3.1:%d", f.port) }

// runnerAddr and controlAddr return the addresses of a runner and of its agent for heartbeats.
func (f *testbed) runnerAddr(i int) string  { return fmt.Sprintf("127.0.2.%d:%d", i+1, f.port+3) }
func (f *testbed) controlAddr(i int) string { return fmt.Sprintf("127.0.2.%d:%d", i+1, f.port+4) }

// addEntry adds the next entry, which does not run yet.
func (f *testbed) addEntry() *entry.Entry {
	f.t.Helper()
	i := len(f.entries)
	ip := fmt.Sprintf("127.0.1.%d", i+1)
	f.fronts = append(f.fronts, fmt.Sprintf("%s:%d", ip, f.port+1))
	e, err := entry.New(platform.Settings{
		Node: fmt.Sprintf("e%d", i), Domain: "z0", IP: ip, Port: f.port, Front: f.fronts[i], Ready: fmt.Sprintf("%s:%d", ip, f.port+2), Store: f.storeAddr(), Bounds: f.bounds,
	}, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(f.t, err)
	f.entries = append(f.entries, e)
	return e
}

// newAgent returns an agent that does not run yet.
func (f *testbed) newAgent(i int) *agent.Agent {
	f.t.Helper()
	a, err := agent.New(platform.Settings{
		Node: fmt.Sprintf("a%d", i), IP: fmt.Sprintf("127.0.2.%d", i+1), Port: f.port, Control: f.controlAddr(i), Runner: f.runnerAddr(i), Store: f.storeAddr(),
		Seeds: []string{"127.0.1.1"}, Bounds: f.bounds,
	}, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(f.t, err)
	return a
}

// newTestbed starts a testbed whose store has the operator's configuration and the
// other rows.
func newTestbed(t *testing.T, rows ...cowslipbend.Put) *testbed {
	t.Helper()
	f := newStoreOnly(t, platform.Bounds{MaxLease: 6 * cowslipbend.Second, JobRetention: cowslipbend.Minute, Evacuation: 5 * cowslipbend.Second}, rows...)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for range 2 {
		e := f.addEntry()
		g.Go(func() error { return e.Run(ctx) })
	}
	for i := range 3 {
		runner := hostrunner.New(f.pool, fmt.Sprintf("i-%d", i), taskDuration)
		runner.SetDomain(fmt.Sprint("z", i))
		f.runners = append(f.runners, runner)
		serve(t, f.runnerAddr(i), runner.Handler())
		a := f.newAgent(i)
		g.Go(func() error { return a.Run(ctx) })
		g.Go(func() error { return sendHeartbeats(ctx, runner, f.controlAddr(i)) })
	}
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
		assert.DeepEqual(t, f.pool.Faults(), []string(nil))
	})
	return f
}

func sendHeartbeats(ctx context.Context, r *hostrunner.Runner, control string) error {
	return timer.Every(ctx, timer.Host{}, 200, func(context.Context) error {
		_ = r.SendHeartbeat(control, "ledger", false) // The agent may have stopped already.
		return nil
	})
}

// call sends a request to an entry and returns the status and body, or 0 and
// the error if no answer arrives.
func (f *testbed) call(front int, method, path, body string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.fronts[front]+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Host = "jobs.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return resp.StatusCode, string(data)
}

// waitFor polls until the condition holds, and fails the test if it never does.
func (f *testbed) waitFor(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatal("condition not met in time: " + what)
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// submit submits a job, and retries until it is accepted.
func (f *testbed) submit(front, n int, steps string) {
	f.t.Helper()
	spec := "x"
	if steps == perpetualStep {
		spec = hostrunner.PerpetualSpec
	}
	f.waitFor("job accepted", func() bool {
		code, _ := f.call(front, http.MethodPost, "/run/"+jobID(n), `{"spec":"`+spec+`","steps":[`+steps+`]}`)
		return code == http.StatusOK
	})
}

func (f *testbed) waitForState(front, n int, want string) {
	f.t.Helper()
	f.waitFor(jobID(n)+" "+want, func() bool {
		code, body := f.call(front, http.MethodGet, "/run/"+jobID(n), "")
		var state struct{ State string }
		return code == http.StatusOK && json.Unmarshal([]byte(body), &state) == nil && state.State == want
	})
}

const (
	dependentSteps = `{"count":5,"cpu":500,"mem_mb":64,"estimate_ms":60},{"count":3,"cpu":1000,"mem_mb":64,"estimate_ms":60,"after":[0]}`
	perpetualStep  = `{"count":2,"cpu":500,"mem_mb":64,"perpetual":true}`
)

func TestWholePath(t *testing.T) {
	f := newTestbed(t)
	t.Run("jobs run to their end, and every entry reports it", func(*testing.T) {
		f.submit(0, 1, dependentSteps)
		f.submit(1, 2, dependentSteps)
		for n := 1; n <= 2; n++ {
			f.waitForState(0, n, "done")
			f.waitForState(1, n, "done")
		}
	})
	t.Run("a repeated submission starts no further task", func(t *testing.T) {
		before := f.pool.Starts()
		f.submit(1, 1, dependentSteps)
		f.waitForState(1, 1, "done")
		assert.Equal(t, f.pool.Starts(), before)
	})
	t.Run("a cancelled job stops", func(t *testing.T) {
		f.submit(0, 3, perpetualStep)
		f.waitForState(0, 3, "running")
		code, _ := f.call(1, http.MethodDelete, "/run/"+jobID(3), "")
		assert.Equal(t, code, http.StatusOK)
		f.waitForState(1, 3, "cancelled")
	})
	t.Run("unknown jobs, unknown queues and invalid bodies are refused with the right status", func(t *testing.T) {
		for _, c := range []struct {
			method, path, body string
			want               int
		}{
			{http.MethodGet, "/run/" + jobID(99), "", http.StatusGone},
			{http.MethodDelete, "/run/" + jobID(99), "", http.StatusGone},
			{http.MethodPost, "/none/" + jobID(1), "{}", http.StatusNotFound},
			{http.MethodPost, "/run/short", "{}", http.StatusBadRequest},
			{http.MethodPost, "/run/" + jobID(98), "{", http.StatusBadRequest},
			{http.MethodPost, "/run/" + jobID(98), `{"steps":[]}`, http.StatusBadRequest},
			{http.MethodPost, "/run/" + jobID(98), `{"steps":[{"count":1,"after":[4]}]}`, http.StatusBadRequest},
			{http.MethodPost, "/run/" + jobID(98), `{"spec":"` + strings.Repeat("x", 70000) + `"}`, http.StatusRequestEntityTooLarge},
			{http.MethodPut, "/run/" + jobID(1), "", http.StatusMethodNotAllowed},
			{http.MethodGet, "/run/", "", http.StatusOK},
		} {
			code, body := f.call(0, c.method, c.path, c.body)
			assert.Equal(t, code, c.want, "%s %s: %s", c.method, c.path, body)
		}
	})
	t.Run("unknown and undecodable rows are ignored", func(t *testing.T) {
		_, err := f.store.Table().Commit(t.Context(), cowslipbend.Txn{Puts: []cowslipbend.Put{
			{Key: "work/foreign", Value: []byte("{")},
			{Key: "entry/foreign", Value: []byte(base64.StdEncoding.EncodeToString([]byte("x")))},
			{Key: "op/other", Value: []byte("{}")},
		}})
		assert.NilError(t, err)
		f.submit(0, 4, dependentSteps)
		f.waitForState(0, 4, "done")
	})
}

// TestLostOwner kills the entry that conducts the jobs while they run. The other
// entry must take over, finish them, and keep the perpetual one running.
func TestLostOwner(t *testing.T) {
	f := newTestbed(t)
	f.submit(0, 1, perpetualStep)
	f.waitForState(0, 1, "running")
	for n := 2; n < 8; n++ {
		f.submit(n%2, n, dependentSteps)
	}
	owner := 0
	if f.entries[1].OwnsFlows() {
		owner = 1
	}
	f.entries[owner].Kill()
	for n := 2; n < 8; n++ {
		f.waitForState(1-owner, n, "done")
	}
	f.waitForState(1-owner, 1, "running")
}

// TestLostAnswers has the store apply writes but lose 30 % of the answers to them
// while jobs are submitted and run.
func TestLostAnswers(t *testing.T) {
	f := newTestbed(t)
	f.submit(0, 1, dependentSteps)
	f.waitForState(0, 1, "done")
	f.store.Faults().SetLossRate(0.3)
	for n := 2; n < 6; n++ {
		f.submit(n%2, n, dependentSteps)
	}
	for n := 2; n < 6; n++ {
		f.waitForState(n%2, n, "done")
	}
	f.store.Faults().SetLossRate(0)
}

func TestStoreDown(t *testing.T) {
	f := newTestbed(t)
	f.submit(0, 1, perpetualStep)
	f.waitForState(0, 1, "running")
	before := f.pool.Starts()
	f.store.Faults().SetDown(true)
	code, body := f.call(0, http.MethodPost, "/run/"+jobID(2), `{"steps":[`+dependentSteps+`]}`)
	assert.Equal(t, code, http.StatusServiceUnavailable, "%s", body)
	f.store.Faults().SetDown(false)
	f.submit(0, 2, dependentSteps)
	f.waitForState(0, 2, "done")
	assert.Equal(t, f.pool.Starts(), before+8, "starts other than those of the second job: the perpetual tasks were started again")
}

// TestRunnerWithoutAnswers has one runner execute orders without answering them.
func TestRunnerWithoutAnswers(t *testing.T) {
	f := newTestbed(t)
	f.submit(0, 1, dependentSteps)
	f.waitForState(0, 1, "done")
	f.runners[1].SetDropAnswers(true)
	f.submit(0, 2, dependentSteps)
	f.waitForState(0, 2, "done")
	f.runners[1].SetDropAnswers(false)
	f.submit(0, 3, dependentSteps)
	f.waitForState(0, 3, "done")
}

// TestDomainOut guards against starts in a failure domain that was out of service
// before the owner began, whatever else is among the operator's rows, also after
// the owner is lost; and against a domain that gets no work once it is back. The
// entries are in that domain themselves, and go on.
func TestDomainOut(t *testing.T) {
	f := newTestbed(
		t, cowslipbend.Put{Key: "op/evacuate/z0", Value: []byte("{")}, cowslipbend.Put{Key: "op/evacuate/", Value: []byte("{}")},
		cowslipbend.Put{Key: "op/evacuate/nowhere", Value: []byte("{}")},
	)
	runAll := func(front, first int) {
		for n := first; n < first+4; n++ {
			f.submit(front, n, dependentSteps)
		}
		for n := first; n < first+4; n++ {
			f.waitForState(front, n, "done")
		}
	}
	runAll(0, 1)
	assert.Equal(t, f.pool.StartsOn("i-0"), 0)
	owner := 0
	if f.entries[1].OwnsFlows() {
		owner = 1
	}
	f.entries[owner].Kill()
	runAll(1-owner, 5)
	assert.Equal(t, f.pool.StartsOn("i-0"), 0)
	_, err := f.store.Table().Commit(t.Context(), cowslipbend.Txn{Dels: []string{"op/evacuate/z0"}})
	assert.NilError(t, err)
	next := 9
	f.waitFor("the domain that is back gets work", func() bool {
		runAll(1-owner, next)
		next += 4
		return f.pool.StartsOn("i-0") > 0
	})
}
