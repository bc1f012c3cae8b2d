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

// Names of what callers and endpoints of the stand agree on.
const (
	// HeaderNonce marks one sending of a caller; the answer repeats it.
	HeaderNonce = "Stand-Nonce"
	// EndMark ends every whole answer.
	EndMark = "\nend"
)

// Time of a request without neighbours: a fixed part and a drawn one.
const (
	baseTime  = 8 * time.Millisecond
	drawnTime = 3 * time.Millisecond
)

// tailSpan is the time behind a tail, and tailWindow the most answers in it.
const (
	tailSpan   = time.Second
	tailWindow = 2000
)

// sample is the time that one answer took.
type sample struct {
	at     time.Time
	micros int64
}

// endpoint is one service replica with a listener of its own.
type endpoint struct {
	worker *Worker
	class  cowslipbend.Class
	size   cowslipbend.Millicores
	http   *http.Server
	note   admitter.Announcement

	mu      sync.Mutex
	samples []sample
	busy    int
	conns   int
}

// open starts the endpoint of a service replica.
func (w *Worker) open(s cowslipbend.Start) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBusy, err, "free a port", "endpoint cannot listen")
	}
	e := &endpoint{worker: w, class: s.Class, size: s.Size.CPU}
	e.note = admitter.Announcement{
		ID: cowslipbend.EndpointID(fmt.Sprintf("%s-%d", s.Task, s.Attempt)), Service: s.Service,
		URL: "http://" + ln.Addr().String(), Slots: w.opts.Slots, Conns: w.opts.Conns,
	}
	e.http = &http.Server{Handler: e, ReadHeaderTimeout: time.Second, ConnState: e.connState}
	w.group.Go(func() error {
		_ = e.http.Serve(ln)
		return nil
	})
	return e, nil
}

func (e *endpoint) close() { _ = e.http.Close() }

// connState counts connections and refuses those above the bound.
func (e *endpoint) connState(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.conns++
		if e.conns > e.worker.opts.Conns {
			e.overflow("connections")
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		e.conns--
	case http.StateActive, http.StateIdle:
	}
}

func (e *endpoint) overflow(what string) {
	e.worker.judge.Note(judge.Event{Kind: judge.Over, Worker: e.worker.opts.ID, Reason: what})
}

// enter takes a slot. More requests than slots at once are a fault of the
// system, and are counted.
func (e *endpoint) enter() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy++
	if e.busy > e.worker.opts.Slots {
		e.overflow("slots")
	}
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
}

// demand is what the requests in the slots use.
func (e *endpoint) demand() cowslipbend.Millicores {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.size * cowslipbend.Millicores(min(e.busy, e.worker.opts.Slots)) / cowslipbend.Millicores(e.worker.opts.Slots)
}

// ServeHTTP runs a request: /check answers once, /watch?for=MS streams a mark
// now and then and takes no slot, /post is non-idempotent.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ran := judge.Event{Kind: judge.Ran, Nonce: r.Header.Get(HeaderNonce)}
	mark := ran.Nonce
	if r.URL.Path == "/post" {
		mark = r.Header.Get(cowslipbend.HeaderID)
		ran.ID = r.Header.Get(cowslipbend.HeaderTeam) + "/" + mark
	}
	if r.URL.Path == "/watch" {
		e.worker.judge.Note(ran)
		e.watch(w, r, mark)
		return
	}
	e.enter()
	defer e.leave()
	e.worker.judge.Note(ran)
	if e.worker.fails() {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprintf(w, "%s failed%s", mark, EndMark)
		return
	}
	time.Sleep(e.worker.requestTime(e.class))
	e.sample(time.Since(began).Microseconds())
	_, _ = fmt.Fprintf(w, "%s %s%s", mark, body, EndMark)
}

// watchPause is the time between two marks of a watcher.
const watchPause = 100 * time.Millisecond

func (e *endpoint) watch(w http.ResponseWriter, r *http.Request, mark string) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("for"))
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	flush := http.NewResponseController(w)
	_, _ = fmt.Fprintf(w, "%s ", mark)
	for time.Now().Before(until) && r.Context().Err() == nil {
		_, _ = io.WriteString(w, ".")
		_ = flush.Flush()
		time.Sleep(watchPause)
	}
	_, _ = io.WriteString(w, EndMark)
}

func (e *endpoint) sample(micros int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = append(e.samples, sample{time.Now(), micros})
	if len(e.samples) > tailWindow {
		e.samples = e.samples[len(e.samples)-tailWindow:]
	}
}

// tail returns the 99th percentile and the count of recent answers.
func (e *endpoint) tail() (micros, served int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := time.Now().Add(-tailSpan)
	for len(e.samples) > 0 && e.samples[0].at.Before(oldest) {
		e.samples = e.samples[1:]
	}
	if len(e.samples) == 0 {
		return 0, 0
	}
	sorted := make([]int64, len(e.samples))
	for i, s := range e.samples {
		sorted[i] = s.micros
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[len(sorted)*99/percentAll], int64(len(sorted))
}

// requestTime draws what a request takes beside what runs now.
func (w *Worker) requestTime(class cowslipbend.Class) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draws++
	rnd := rand.New(rand.NewPCG(w.opts.Seed, w.draws))
	l := w.measure(w.clock.Now())
	alone := float64(baseTime) + rnd.ExpFloat64()*float64(drawnTime)
	return time.Duration(alone * w.slow(l, class, l.used[class]) / l.share)
}

func (w *Worker) fails() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault.Fail
}
