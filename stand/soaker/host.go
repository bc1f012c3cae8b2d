package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/stand/hostrunner"
	"cowslipbend.dev/timer"
)

// host runs one incarnation of a runner after another at the same address. Connections end
// with the incarnation to which they were made.
type host struct {
	runnerProxy *proxy
	control     string
	pool        *hostrunner.Pool
	number      int
	// durations are the run times of tasks, which the incarnations use in turn. maxLease is
	// the longest lease of a runner.
	durations []cowslipbend.Span
	maxLease  cowslipbend.Span
	// server serves the runner, and end ends its heartbeats and its clock.
	server *server.Server
	end    context.CancelFunc
	// restarting is held while the runner is replaced. lives counts the incarnations, ids
	// their ids. runner is nil while it is down.
	restarting sync.Mutex
	lives, ids atomic.Int64
	runner     atomic.Pointer[hostrunner.Runner]
	// latePercent is the share of calls that are carried out late.
	latePercent atomic.Int64
	// faults counts the faults that act on the agent, and calmAt is when the last one
	// ended, in milliseconds.
	faults, calmAt atomic.Int64
}

// contactTime is how long after a fault an agent counts as out of contact.
const contactTime = 3 * cowslipbend.Second

// disturb marks the agent as out of contact until the returned function is called, and for
// the span and contactTime after that.
func (h *host) disturb(after time.Duration) (end func()) {
	if h == nil {
		return func() {}
	}
	h.faults.Add(1)
	return func() {
		h.calmAt.Store(int64(timer.Host{}.Now().Add(cowslipbend.SpanOf(after))))
		h.faults.Add(-1)
	}
}

func (h *host) inContact() bool {
	return h.faults.Load() == 0 && timer.Host{}.Now().Sub(cowslipbend.Time(h.calmAt.Load())) > contactTime
}

// A call that is carried out late is so minLateness to maxLateness after it
// arrived.
const (
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// ServeHTTP passes a call to the runner, or leaves it unanswered and carries it out later, by
// the incarnation that is up then.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rand.Int64N(100) < h.latePercent.Load() {
		h.delayCall(r)
	}
	runner := h.runner.Load()
	if runner == nil {
		panic(http.ErrAbortHandler)
	}
	runner.Handler().ServeHTTP(w, r)
}

// delayCall carries out a call late, and does not return until the client has given it up.
func (h *host) delayCall(r *http.Request) {
	arrivedAt := timer.Host{}.Now()
	body, err := io.ReadAll(r.Body)
	if err == nil {
		late := r.Clone(hostrunner.WithArrival(context.WithoutCancel(r.Context()), arrivedAt))
		time.AfterFunc(minLateness+rand.N(maxLateness-minLateness), func() {
			defer func() { _ = recover() }() // The runner has crashed meanwhile.
			if runner := h.runner.Load(); runner != nil {
				late.Body = io.NopCloser(bytes.NewReader(body))
				runner.Handler().ServeHTTP(httptest.NewRecorder(), late)
			}
		})
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// leave ends the runner for good.
func (h *host) leave() {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.end()
	h.stopRunner()
	h.server.Close()
}

// stopRunner crashes the runner, which ends all its runs.
func (h *host) stopRunner() {
	if runner := h.runner.Swap(nil); runner != nil {
		runner.Crash()
	}
}

// startRunner starts the next incarnation.
func (h *host) startRunner() {
	work := h.durations[(h.number+int(h.lives.Add(1)))%len(h.durations)]
	runner := hostrunner.New(h.pool, h.runnerName(), work)
	runner.StartClock()
	runner.SetMaxLease(h.maxLease)
	runner.SetDomain(domainOf(h.number))
	runner.SetContact(h.inContact)
	runner.OnCrash(func() {
		if h.runner.Load() == runner { // A fault may have replaced it too.
			h.replaceRunner()
		}
	})
	h.runner.Store(runner)
}

// replaceRunner has the runner crash and start again at once. Its connections are closed.
// Every second time it has another id.
func (h *host) replaceRunner() {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.stopRunner()
	if h.runnerProxy != nil {
		h.runnerProxy.reset()
	}
	if h.lives.Load()%2 == 1 {
		h.ids.Add(1)
	}
	h.startRunner()
}

// restart has the runner end and start again under its id after the time. Connections to it are
// refused meanwhile.
func (h *host) restart(ctx context.Context, down time.Duration) error {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.stopRunner()
	h.runnerProxy.refuse()
	sleep(ctx, down)
	h.startRunner()
	return h.runnerProxy.listen()
}

// restartSilently has the runner end without a sign and start again under its id after the
// time. The connections to the earlier incarnation stay open without an answer.
func (h *host) restartSilently(ctx context.Context, down time.Duration) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.runnerProxy.silence()
	h.stopRunner()
	sleep(ctx, down)
	h.startRunner()
	h.runnerProxy.endSilence()
}

// runnerName returns the id of the runner.
func (h *host) runnerName() string { return fmt.Sprintf("i-%d-%d", h.number, h.ids.Load()) }

// beat sends heartbeats until the context ends. The first one of an incarnation comes up to an
// interval after its start.
func (h *host) beat(ctx context.Context) error {
	return timer.Every(ctx, timer.Host{}, heartbeatInterval, func(context.Context) error {
		if runner := h.runner.Load(); runner != nil {
			_ = runner.SendHeartbeat(h.control, "ledger", false) // The agent may be down.
		}
		return nil
	})
}

// endDueRuns ends the runs that are due until the context ends.
func (h *host) endDueRuns(ctx context.Context) error {
	return timer.Every(ctx, timer.Host{}, leaseCheckInterval, func(context.Context) error {
		if runner := h.runner.Load(); runner != nil {
			runner.EndDueRuns()
		}
		return nil
	})
}

// setSlowdown makes the tasks of the runner take longer by a factor.
func (h *host) setSlowdown(factor int) {
	if runner := h.runner.Load(); runner != nil {
		runner.SetSlowdown(factor)
	}
}

// sendForeignHeartbeats sends heartbeats that are not of the runner to its agent for the
// span: of a later start of it, of another runner, and with a port that can't be.
func (h *host) sendForeignHeartbeats(ctx context.Context, span time.Duration) {
	foreign := func(name, address string) *hostrunner.Runner {
		r := hostrunner.New(h.pool, name, h.durations[0])
		r.SetAddress(address)
		r.SetDomain(domainOf(h.number))
		return r
	}
	runners := []*hostrunner.Runner{foreign(h.runnerName(), "127.0.0.1:1"), foreign("i-other", "127.0.0.1:1"), foreign("i-odd", "127.0.0.1:99999")}
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, foreignInterval) {
		for _, r := range runners {
			_ = r.SendHeartbeat(h.control, "ledger", false) // The agent may be down.
		}
	}
}
