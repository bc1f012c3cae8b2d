package crowder_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/stand/crowder"
)

// bin is the directory of the programs.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs and runs the tests.
func run(m *testing.M) int {
	var err error
	if bin, err = os.MkdirTemp("", "crowder"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }() // The system clears what is left.
	for _, program := range []string{"entry", "agent"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(bin, program), "cowslipbend.dev/"+program).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// waitTimeout bounds each wait for a condition. No test asserts a duration.
const waitTimeout = 60 * time.Second

// Limits of the machines. Few descriptors show whether connections are bounded; all others are
// as many as on the known deployments, so that bodies and headers are bounded without them.
const (
	entryMemoryMB   = 96
	agentMemoryMB   = 64
	fewDescriptors  = 400
	manyDescriptors = 4100
)

// testbeds numbers the testbeds.
var testbeds atomic.Int64

// testbed is a testbed whose processes are watched.
type testbed struct {
	*crowder.Testbed
	t *testing.T
	// ctx ends with the test, and if a process ends.
	ctx      context.Context
	opts     crowder.Options
	watchers map[string]*crowder.Watcher
}

// start starts a testbed and waits until an ordinary job has been done.
func start(t *testing.T, descriptors int) *testbed {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	b := &testbed{t: t, ctx: ctx, watchers: map[string]*crowder.Watcher{}, opts: crowder.Options{
		Bin: bin, Dir: t.TempDir(), Network: 110 + os.Getpid()%100, Number: int(testbeds.Add(1)),
		Entry: crowder.Limits{MemoryMB: entryMemoryMB, Descriptors: descriptors}, Agent: crowder.Limits{MemoryMB: agentMemoryMB, Descriptors: descriptors},
	}}
	var err error
	b.Testbed, err = crowder.Start(t.Context(), b.opts)
	t.Cleanup(func() { assert.NilError(t, b.Close()) })
	assert.NilError(t, err)
	b.watchers["entry"], err = crowder.Watch(t.Context(), cancel, b.Entry.ID(), b.EntryFront(), b.EntryReadiness(), b.EntryControl(), b.EntryInternal())
	assert.NilError(t, err)
	b.watchers["agent"], err = crowder.Watch(t.Context(), cancel, b.Agent.ID(), b.AgentControl(), b.AgentInternal())
	assert.NilError(t, err)
	b.assertServes(crowder.OrdinaryJob)
	return b
}

// assertServes checks that the entry is ready, and that a job is accepted and done.
func (b *testbed) assertServes(job string) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, waitTimeout)
	defer cancel()
	assert.Check(b.t, b.WaitUntilReady(ctx))
	id, err := b.Submit(ctx, job)
	assert.Check(b.t, err)
	if err == nil {
		assert.Check(b.t, b.WaitForEnd(ctx, id))
	}
}

// assertBounds ends the watchers, and checks that both processes live and have stayed within
// their limits.
func (b *testbed) assertBounds() {
	b.t.Helper()
	for name, l := range map[string]crowder.Limits{"entry": b.opts.Entry, "agent": b.opts.Agent} {
		peak, samples, err := b.watchers[name].End()
		b.t.Logf("%s: %s samples=%d limits: memory_mb=%d max_fds=%d", name, peak, samples, l.MemoryMB, l.Descriptors)
		if !assert.Check(b.t, err, "%s has ended", name) {
			b.t.Logf("end of its log:\n%s", b.logEnd(name))
		}
		assert.Check(b.t, peak.Total <= l.Memory(), "%s uses more than its %d MB of memory: %s", name, l.MemoryMB, peak)
		assert.Check(b.t, peak.Descriptors <= l.Descriptors, "%s has %d descriptors, of %d", name, peak.Descriptors, l.Descriptors)
		assert.Check(b.t, peak.Sockets <= l.Descriptors-crowder.ReservedDescriptors, "%s has %d sockets and pipes, of %d", name, peak.Sockets, l.Descriptors-crowder.ReservedDescriptors)
	}
}

// logEnd returns the end of the log of a process.
func (b *testbed) logEnd(name string) []byte {
	const size = 4 << 10
	log, err := os.ReadFile(filepath.Join(b.opts.Dir, name+".log"))
	if err != nil {
		return []byte(err.Error())
	}
	return log[max(0, len(log)-size):]
}

// play checks that ordinary callers are served while the crowd is there and after it has gone,
// that no refused job of it has run, and that both processes stay within their limits.
func (b *testbed) play(c crowder.Crowd) {
	b.t.Helper()
	p := c.Start()
	ctx, cancel := context.WithTimeout(b.ctx, waitTimeout)
	defer cancel()
	p.WaitUntilSettled(ctx)
	idle := p.Idle()
	b.assertServes(crowder.OrdinaryJob)
	for _, w := range b.watchers {
		w.Sample()
	}
	if c.AwaitsReplies() {
		p.WaitUntilIdle(ctx)
	}
	replies, faults := p.Leave()
	b.assertServes(crowder.OrdinaryJob)
	b.assertReplies(replies)
	statuses := map[int]int{}
	for _, r := range replies {
		statuses[r.Status]++
	}
	b.t.Logf("crowd: connections=%d idle=%d replies by status: %v", c.Connections, idle, statuses)
	assert.DeepEqual(b.t, faults, []string(nil))
	b.assertBounds()
}

// assertReplies checks that no refused job has run, and that all accepted ones are done.
func (b *testbed) assertReplies(replies []crowder.Reply) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.ctx, waitTimeout)
	defer cancel()
	for _, r := range replies {
		assert.Check(b.t, !r.IsRefusal() || !b.Pool.JobStarted(string(r.ID)), "%s was refused with %d and has run", r.ID, r.Status)
		if r.IsAcceptance() {
			assert.Check(b.t, b.WaitForEnd(ctx, r.ID))
		}
	}
}

// TestNoCrowd is the control of all others.
func TestNoCrowd(t *testing.T) {
	b := start(t, fewDescriptors)
	b.assertServes(crowder.OrdinaryJob)
	b.assertBounds()
}

// TestLargestJob guards against limits that refuse a legal request in calm.
func TestLargestJob(t *testing.T) {
	b := start(t, fewDescriptors)
	job := crowder.LargestJob()
	assert.Equal(t, len(job), crowder.MaxBody)
	b.assertServes(job)
	b.assertBounds()
}

// The tests of bodies to callers guard against memory that grows with the clients that have a
// body on the way.

func TestUnfinishedBodies(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 400, Requests: 1, Message: crowder.UnfinishedBody()})
}

func TestUnfinishedBodiesInPieces(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 400, Requests: 1, Message: crowder.UnfinishedBody(), PieceSize: 4 << 10})
}

func TestUnfinishedLargeChunks(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 400, Requests: 1, Message: crowder.UnfinishedChunks(32 << 10)})
}

func TestUnfinishedSmallChunks(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 400, Requests: 1, Message: crowder.UnfinishedChunks(2)})
}

func TestUnfinishedBodiesOverHTTP2(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 8, Requests: 1, Message: crowder.UnfinishedBody(), Streams: 50})
}

// The tests of complete bodies guard against memory that grows with what legal bodies are
// decoded to, and with replies to them.

// playJobs plays clients that submit jobs of legal size at once.
func playJobs(t *testing.T, connections, requests int, body []byte) {
	t.Helper()
	b := start(t, manyDescriptors)
	assert.Equal(t, len(body), crowder.MaxBody)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: connections, Requests: requests, Message: crowder.Job(body)})
}

func TestManySteps(t *testing.T)    { playJobs(t, 16, 2, crowder.ManySteps()) }
func TestLaterSteps(t *testing.T)   { playJobs(t, 16, 2, crowder.LaterSteps()) }
func TestEarlierSteps(t *testing.T) { playJobs(t, 128, 1, crowder.EarlierSteps()) }
func TestEscapedImage(t *testing.T) { playJobs(t, 128, 1, crowder.EscapedImage()) }
func TestInvalidText(t *testing.T)  { playJobs(t, 128, 1, crowder.InvalidText()) }
func TestRepeatedKeys(t *testing.T) { playJobs(t, 128, 1, crowder.RepeatedKeys()) }

func TestManyStepsWithUnreadReplies(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 32, Requests: 1, Message: crowder.Job(crowder.ManySteps()), Unread: true})
}

// The tests of silence guard against listeners that accept connections without bound.

func playSilence(t *testing.T, address func(*testbed) string) {
	t.Helper()
	b := start(t, fewDescriptors)
	b.play(crowder.Crowd{Address: address(b), Connections: 2 * fewDescriptors, Requests: 1, Message: crowder.Silence()})
}

func TestSilenceAtEntryFront(t *testing.T) {
	playSilence(t, func(b *testbed) string { return b.EntryFront() })
}

func TestSilenceAtEntryReadiness(t *testing.T) {
	playSilence(t, func(b *testbed) string { return b.EntryReadiness() })
}

func TestSilenceAtEntryControl(t *testing.T) {
	playSilence(t, func(b *testbed) string { return b.EntryControl() })
}

func TestSilenceAtEntryInternal(t *testing.T) {
	playSilence(t, func(b *testbed) string { return b.EntryInternal() })
}

func TestSilenceAtAgentControl(t *testing.T) {
	playSilence(t, func(b *testbed) string { return b.AgentControl() })
}

func TestSilenceAtAgentInternal(t *testing.T) {
	playSilence(t, func(b *testbed) string { return b.AgentInternal() })
}

func TestIdleAtEntryFront(t *testing.T) {
	b := start(t, fewDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 2 * fewDescriptors, Requests: 1, Message: crowder.Query()})
}

// The tests of headers guard against memory that grows with the clients that have a header on
// the way.

func TestUnfinishedHeaderOfOneField(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 2000, Requests: 1, Message: crowder.UnfinishedHeader("A: " + longValue)})
}

func TestUnfinishedHeaderOfManyFields(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 400, Requests: 1, Message: crowder.UnfinishedHeader("#:")})
}

// TestUnreadReplies guards against clients that send requests and read no replies.
func TestUnreadReplies(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryFront(), Connections: 800, Requests: 1, Message: crowder.Queries(4 << 20), Unread: true})
}

// The tests of internal calls guard against memory that grows with calls on the way.

func TestUnfinishedReports(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.EntryInternal(), Connections: 48, Requests: 1, Message: crowder.UnfinishedReport()})
}

func TestUnfinishedOrders(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.AgentInternal(), Connections: 48, Requests: 1, Message: crowder.UnfinishedOrders()})
}

func TestUnfinishedHeartbeats(t *testing.T) {
	b := start(t, manyDescriptors)
	b.play(crowder.Crowd{Address: b.AgentControl(), Connections: 1000, Requests: 1, Message: crowder.UnfinishedHeartbeat()})
}

// longValue is a value that leaves a header a little below the largest size.
var longValue = strings.Repeat("a", 32000)
