package field_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"cowslipbend.dev"
	"cowslipbend.dev/platform"
	"cowslipbend.dev/stand/hostrunner"
	"cowslipbend.dev/timer"
)

// runnerName is the id of all incarnations of the runner of a machine.
const runnerName = "i-0"

// runnerCall is a call to a runner.
type runnerCall struct {
	path   string
	header http.Header
	body   []byte
	// Fields of the body.
	Acked    int64 `json:"ack_seq"`
	Deadline int64 `json:"deadline_ms"`
	Fence    int64 `json:"fencing_token"`
}

// machine runs one incarnation of a runner after another, with the same id and address.
type machine struct {
	t       *testing.T
	pool    *hostrunner.Pool
	address string
	// maxLease is the longest lease of its runners. hasOldClock is set if the clock of the first
	// one has run for long.
	maxLease    cowslipbend.Span
	hasOldClock bool
	// stopEntry stops the only entry, and waits until it has stopped.
	stopEntry func()

	mu          sync.Mutex
	incarnation *incarnation
	// leave tells which calls are left unanswered; left holds the last one by its name.
	leave map[string]func(*runnerCall) bool
	left  map[string]*runnerCall
	// silenced is set while the runner sends no heartbeats.
	silenced bool
}

// incarnation is one incarnation of a runner, with the connections to it.
type incarnation struct {
	runner *hostrunner.Runner
	server *httptest.Server
	// ended is closed once it has ended. Its connections stay open without an answer.
	ended chan struct{}
	// starts counts the starts that it has answered, and fence is the highest one of all calls.
	// leased is set once it has a lease.
	starts int
	fence  int64
	leased bool
}

// boot starts an incarnation, which carries out calls that were left unanswered before any other.
func (m *machine) boot(lateCalls ...string) {
	m.t.Helper()
	ln, err := net.Listen("tcp", m.address)
	assert.NilError(m.t, err)
	n := &incarnation{runner: hostrunner.New(m.pool, runnerName, taskDuration), ended: make(chan struct{})}
	if m.current() != nil || !m.hasOldClock {
		n.runner.StartClock()
	}
	n.runner.SetMaxLease(m.maxLease)
	n.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(n, w, r) }))
	n.server.Listener = ln
	m.mu.Lock()
	m.incarnation = n
	m.mu.Unlock()
	for _, name := range lateCalls {
		assert.Equal(m.t, m.carryOut(name), "")
	}
	n.server.Start()
	m.t.Cleanup(func() {
		n.server.CloseClientConnections()
		n.server.Close()
	})
}

// endSilently ends the incarnation. Connections to it stay open without an answer.
func (m *machine) endSilently() {
	n := m.current()
	close(n.ended)
	_ = n.server.Listener.Close()
	n.runner.Crash()
}

// crash ends the incarnation and its connections.
func (m *machine) crash() {
	m.endSilently()
	m.current().server.CloseClientConnections()
}

func (m *machine) setSilenced(silenced bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silenced = silenced
}

func (m *machine) current() *incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// beat sends heartbeats of the current incarnation and ends its runs until the context ends.
func (m *machine) beat(ctx context.Context, control string) error {
	return timer.Every(ctx, timer.Host{}, 50, func(context.Context) error {
		m.mu.Lock()
		silenced := m.silenced
		m.mu.Unlock()
		m.current().runner.EndDueRuns()
		if !silenced {
			_ = m.current().runner.SendHeartbeat(control, "ledger", false) // The agent may have stopped.
		}
		return nil
	})
}

// serve has an incarnation carry out a call, or leaves it unanswered.
func (m *machine) serve(n *incarnation, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := &runnerCall{path: r.URL.Path, header: r.Header.Clone(), body: body}
	if json.Unmarshal(body, c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if n != m.current() || m.isLeft(c) || n.hasEnded() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	n.runner.Handler().ServeHTTP(w, r)
	m.mu.Lock()
	defer m.mu.Unlock()
	n.leased = n.leased || c.Deadline > 0
	n.fence = max(n.fence, c.Fence)
	if c.path == "/-/run-start" {
		n.starts++
	}
}

func (n *incarnation) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// isLeft reports whether a call is to be left unanswered.
func (m *machine) isLeft(c *runnerCall) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, matches := range m.leave {
		if matches(c) {
			m.left[name] = c
			delete(m.leave, name)
			return true
		}
	}
	return false
}

// leaveUnanswered leaves one call unanswered that the function accepts.
func (m *machine) leaveUnanswered(name string, matches func(*runnerCall) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leave[name] = matches
}

func (m *machine) hasLeft(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left[name] != nil
}

// hasLease reports whether the current incarnation has a lease.
func (m *machine) hasLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation.leased
}

// starts counts the starts that the current incarnation has answered.
func (m *machine) starts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation.starts
}

// hasHigherFence reports whether the current incarnation has answered a call with a higher
// fence than one that was left unanswered.
func (m *machine) hasHigherFence(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation.fence > m.left[name].Fence
}

// carryOut has the current incarnation carry out a call that was left unanswered. It returns
// why the runner refuses it, or an empty string if it doesn't.
func (m *machine) carryOut(name string) string {
	m.mu.Lock()
	c := m.left[name]
	m.mu.Unlock()
	req := httptest.NewRequestWithContext(m.t.Context(), http.MethodPost, c.path, bytes.NewReader(c.body))
	req.Header = c.header
	w := httptest.NewRecorder()
	m.current().runner.Handler().ServeHTTP(w, req)
	var reply struct{ Reason string }
	assert.NilError(m.t, json.Unmarshal(w.Body.Bytes(), &reply))
	return reply.Reason
}

// maxLease is the longest lease of the runners.
const maxLease = 6 * cowslipbend.Second

// newMachine starts an entry, an agent and a runner. restartAgent replaces the agent by its
// next process.
func newMachine(t *testing.T) (f *testbed, m *machine, restartAgent func()) {
	t.Helper()
	return newMachineWith(t, &machine{maxLease: maxLease})
}

// newMachineWith does the same with settings of the machine.
func newMachineWith(t *testing.T, m *machine) (*testbed, *machine, func()) {
	t.Helper()
	f := newStoreOnly(t, platform.Bounds{MaxLease: m.maxLease, JobRetention: cowslipbend.Minute})
	e := f.addEntry()
	m.t, m.pool, m.address, m.leave, m.left = t, f.pool, f.runnerAddr(0), map[string]func(*runnerCall) bool{}, map[string]*runnerCall{}
	m.boot()
	ctx, cancel := context.WithCancel(context.Background())
	var all, agents errgroup.Group
	stopAgent := func() {}
	startAgent := func() {
		a := f.newAgent(0)
		agentCtx, stop := context.WithCancel(ctx)
		stopAgent = stop
		agents.Go(func() error { return a.Run(agentCtx) })
	}
	startAgent()
	entryCtx, stopEntry := context.WithCancel(ctx)
	entryDone := make(chan struct{})
	m.stopEntry = func() {
		stopEntry()
		<-entryDone
	}
	all.Go(func() error {
		defer close(entryDone)
		defer stopEntry()
		return e.Run(entryCtx)
	})
	all.Go(func() error { return m.beat(ctx, f.controlAddr(0)) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, agents.Wait())
		assert.NilError(t, all.Wait())
		assert.DeepEqual(t, f.pool.Faults(), []string(nil))
	})
	return f, m, func() {
		stopAgent()
		assert.NilError(t, agents.Wait())
		startAgent()
	}
}

// TestLateCalls guards against a call that an incarnation of a runner left unanswered, and
// that a later one with the same id carries out.
func TestLateCalls(t *testing.T) {
	for _, test := range []struct {
		restarts     int
		agentRestart bool
	}{{0, true}, {1, false}, {2, false}, {1, true}, {2, true}} {
		t.Run(fmt.Sprintf("%d restarts of the runner, restart of the agent %t", test.restarts, test.agentRestart), func(t *testing.T) {
			t.Parallel()
			f, m, restartAgent := newMachine(t)
			f.submit(0, 1, perpetualStep)
			f.waitForState(0, 1, "running")
			calls := map[string]func(*runnerCall) bool{
				"start":           func(c *runnerCall) bool { return c.path == "/-/run-start" },
				"stop":            func(c *runnerCall) bool { return c.path == "/-/run-stop" },
				"acknowledgement": func(c *runnerCall) bool { return c.path == "/-/hold" && c.Acked > 0 },
				"renewal":         func(c *runnerCall) bool { return c.path == "/-/hold" && c.Acked == 0 && c.Deadline > 0 },
			}
			for name, matches := range calls {
				m.leaveUnanswered(name, matches)
			}
			f.submit(0, 2, dependentSteps)
			f.waitForState(0, 2, "done")
			for name := range calls {
				f.waitFor(name, func() bool { return m.hasLeft(name) })
			}
			if test.agentRestart {
				restartAgent()
			}
			for range test.restarts {
				m.crash()
				m.boot()
				f.waitFor("the runner has a lease", m.hasLease)
			}
			if test.restarts == 0 {
				f.submit(0, 3, dependentSteps)
				f.waitForState(0, 3, "done")
			}
			for name := range calls {
				assert.Check(t, cmp.Equal(m.carryOut(name), "fence"), name)
			}
		})
	}
}

// TestCallsToRestartedRunner guards against calls that reach an incarnation before its first
// heartbeat, while the agent means the one before: work that the owner does not expect there,
// under a deadline of the earlier clock.
func TestCallsToRestartedRunner(t *testing.T) {
	for name, end := range map[string]func(*machine){"that ended silently": (*machine).endSilently, "that broke its connections": (*machine).crash} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, m, _ := newMachine(t)
			f.submit(0, 1, dependentSteps)
			f.waitForState(0, 1, "done")
			m.setSilenced(true)
			end(m)
			m.boot()
			for n := range 20 {
				f.submit(0, 2+n, dependentSteps)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Equal(t, m.starts(), 0)
			assert.Assert(t, !m.hasLease())
			m.setSilenced(false)
			for n := range 20 {
				f.waitForState(0, 2+n, "done")
			}
		})
	}
}

// TestLateStartBeforeFirstHeartbeat guards against a start that an incarnation left unanswered,
// and that the next one carries out before its first heartbeat, after the task was done elsewhere.
func TestLateStartBeforeFirstHeartbeat(t *testing.T) {
	for name, end := range map[string]func(*machine){"on a runner that ended silently": (*machine).endSilently, "on a runner that broke its connections": (*machine).crash} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, m, _ := newMachine(t)
			f.submit(0, 1, dependentSteps)
			f.waitForState(0, 1, "done")
			m.leaveUnanswered("start", func(c *runnerCall) bool { return c.path == "/-/run-start" })
			f.submit(0, 2, dependentSteps)
			f.waitForState(0, 2, "done")
			m.setSilenced(true)
			end(m)
			m.boot()
			f.waitFor("the incarnation refuses it", func() bool { return m.hasHigherFence("start") })
			assert.Equal(t, m.carryOut("start"), "fence")
			m.setSilenced(false)
			f.submit(0, 3, dependentSteps)
			f.waitForState(0, 3, "done")
		})
	}
}

// TestRunWithoutOwnerOutlivesGrant guards against a run that goes on after the lease of its owner,
// which has not heard of its runner's incarnation, as a late start gave it a longer one.
func TestRunWithoutOwnerOutlivesGrant(t *testing.T) {
	for name, silenced := range map[string]bool{"after the first heartbeat": false, "before the first heartbeat": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const hold, grant = 12 * cowslipbend.Second, 6 * cowslipbend.Second
			f, m, _ := newMachineWith(t, &machine{maxLease: hold, hasOldClock: true})
			f.submit(0, 1, dependentSteps)
			f.waitForState(0, 1, "done")
			m.leaveUnanswered("start", func(c *runnerCall) bool { return c.path == "/-/run-start" })
			f.submit(0, 2, perpetualStep)
			f.waitFor("a start is left unanswered", func() bool { return m.hasLeft("start") })
			m.stopEntry()
			grantEnd := time.Now().Add(grant.Duration())
			m.setSilenced(silenced)
			m.crash()
			m.boot("start")
			assert.Equal(t, len(f.pool.RunningTasks()), 1)
			time.Sleep(time.Until(grantEnd))
			assert.Equal(t, len(f.pool.RunningTasks()), 0)
		})
	}
}
