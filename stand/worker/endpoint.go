package worker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/stand/judge"
)

// Protocol between the simulated callers and endpoints.
const (
	// HeaderNonce carries a value unique to each transmission of a request. The
	// answer begins with it, or with the request's id for /post.
	HeaderNonce = "Stand-Nonce"
	// EndMark terminates every complete answer.
	EndMark = "\nend"
)

// The service time of a request without interference is the base plus an
// exponentially distributed part with the given mean.
const (
	baseServiceTime      = 8 * time.Millisecond
	meanExtraServiceTime = 3 * time.Millisecond
)

// tailLatency covers the answers of the last latencyWindow, at most
// maxLatencySamples.
const (
	latencyWindow     = time.Second
	maxLatencySamples = 2000
)

// latencySample is the latency of one answer.
type latencySample struct {
	answeredAt time.Time
	micros     int64
}

// endpoint is the HTTP server of one service replica.
type endpoint struct {
	worker       *Worker
	class        cowslipbend.Class
	size         cowslipbend.Millicores
	server       *http.Server
	announcement admitter.Announcement

	mu             sync.Mutex
	latencies      []latencySample
	activeRequests int
	openConns      int
}

// startEndpoint listens on a free loopback port and serves the replica there.
func (w *Worker) startEndpoint(s cowslipbend.Start) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBusy, err, "free a port", "endpoint cannot listen on a loopback port")
	}
	e := &endpoint{worker: w, class: s.Class, size: s.Size.CPU}
	e.announcement = admitter.Announcement{
		ID: cowslipbend.EndpointID(fmt.Sprintf("%s-%d", s.Task, s.Attempt)), Service: s.Service,
		URL: "http://" + ln.Addr().String(), Slots: w.opts.Slots, Conns: w.opts.Conns,
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second, ConnState: e.connState}
	w.group.Go(func() error {
		_ = e.server.Serve(ln)
		return nil
	})
	return e, nil
}

func (e *endpoint) close() { _ = e.server.Close() }

// connState counts open connections. It closes and reports those above the
// announced limit, which the entries must not exceed.
func (e *endpoint) connState(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.openConns++
		if e.openConns > e.worker.opts.Conns {
			e.reportOverload("connections")
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		e.openConns--
	case http.StateActive, http.StateIdle:
	}
}

// reportOverload records that the system exceeded the endpoint's announced
// limit of connections or slots.
func (e *endpoint) reportOverload(resource string) {
	e.worker.judge.Record(judge.Event{Kind: judge.OverCapacity, Worker: e.worker.opts.ID, Reason: resource})
}

// acquireSlot counts an active request. More active requests than slots are a
// fault of the system under test and reported as such; the request still runs.
func (e *endpoint) acquireSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests++
	if e.activeRequests > e.worker.opts.Slots {
		e.reportOverload("slots")
	}
}

func (e *endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests--
}

// demand returns the processor demand of the active requests: the replica's
// size in proportion to the slots in use.
func (e *endpoint) demand() cowslipbend.Millicores {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.size * cowslipbend.Millicores(min(e.activeRequests, e.worker.opts.Slots)) / cowslipbend.Millicores(e.worker.opts.Slots)
}

// ServeHTTP executes a request: /check is idempotent, /post is not, and
// /watch?for=MS streams a dot per watchInterval for that time without taking a
// slot.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	runEvent := judge.Event{Kind: judge.Ran, Nonce: r.Header.Get(HeaderNonce)}
	answerPrefix := runEvent.Nonce
	if r.URL.Path == "/post" {
		answerPrefix = r.Header.Get(cowslipbend.HeaderID)
		runEvent.ID = r.Header.Get(cowslipbend.HeaderTeam) + "/" + answerPrefix
	}
	if r.URL.Path == "/watch" {
		e.worker.judge.Record(runEvent)
		e.watch(w, r, answerPrefix)
		return
	}
	e.acquireSlot()
	defer e.releaseSlot()
	e.worker.judge.Record(runEvent)
	if e.worker.failsRequests() {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprintf(w, "%s failed%s", answerPrefix, EndMark)
		return
	}
	time.Sleep(e.worker.drawServiceTime(e.class))
	e.recordLatency(time.Since(startedAt).Microseconds())
	_, _ = fmt.Fprintf(w, "%s %s%s", answerPrefix, body, EndMark)
}

// watchInterval is the time between two dots of a watch stream.
const watchInterval = 100 * time.Millisecond

func (e *endpoint) watch(w http.ResponseWriter, r *http.Request, answerPrefix string) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("for"))
	endAt := time.Now().Add(time.Duration(ms) * time.Millisecond)
	controller := http.NewResponseController(w)
	_, _ = fmt.Fprintf(w, "%s ", answerPrefix)
	for time.Now().Before(endAt) && r.Context().Err() == nil {
		_, _ = io.WriteString(w, ".")
		_ = controller.Flush()
		time.Sleep(watchInterval)
	}
	_, _ = io.WriteString(w, EndMark)
}

func (e *endpoint) recordLatency(micros int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latencies = append(e.latencies, latencySample{time.Now(), micros})
	if len(e.latencies) > maxLatencySamples {
		e.latencies = e.latencies[len(e.latencies)-maxLatencySamples:]
	}
}

// tailLatency returns the 99th percentile of the latency, in microseconds, and
// the number of answers within the latency window.
func (e *endpoint) tailLatency() (micros, served int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := time.Now().Add(-latencyWindow)
	for len(e.latencies) > 0 && e.latencies[0].answeredAt.Before(oldest) {
		e.latencies = e.latencies[1:]
	}
	if len(e.latencies) == 0 {
		return 0, 0
	}
	sorted := make([]int64, len(e.latencies))
	for i, s := range e.latencies {
		sorted[i] = s.micros
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[len(sorted)*99/fullPercent], int64(len(sorted))
}

// drawServiceTime draws the service time of a request under the present load of
// the worker.
func (w *Worker) drawServiceTime(class cowslipbend.Class) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drawCount++
	rnd := rand.New(rand.NewPCG(w.opts.Seed, w.drawCount))
	l := w.currentLoad(w.clock.Now())
	undisturbed := float64(baseServiceTime) + rnd.ExpFloat64()*float64(meanExtraServiceTime)
	return time.Duration(undisturbed * w.slowdown(l, class, l.coresByClass[class]) / l.cpuShare)
}

func (w *Worker) failsRequests() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault.FailAll
}
