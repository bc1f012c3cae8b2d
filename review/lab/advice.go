package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of the service for advice, as in the config of the lab.
const (
	adviceDecide = 5 * time.Millisecond
	adviceEach   = time.Millisecond
	adviceValid  = 3 * time.Second
	adviceConfig = `,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":3000}`
)

// advisor is a stand-in for the service that knows which runners may run a step.
type advisor struct {
	lab *lab

	mu      sync.Mutex
	tickets map[string]ticket
}

// ticket allows a step on one life of a runner.
type ticket struct {
	step, runner string
	born         int64
	until        time.Time
}

func newAdvisor(l *lab) *advisor { return &advisor{lab: l, tickets: map[string]ticket{}} }

// serve serves the calls until the lab ends, and returns the address.
func (a *advisor) serve(ip string, port int) (string, error) {
	addr := fmt.Sprintf("%s:%d", ip, port)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire["path.advise"], a.advise)
	server := &http.Server{Handler: mux}
	a.lab.servers = append(a.lab.servers, server)
	group.Go(func() { _ = server.Serve(listener) })
	return addr, nil
}

func (a *advisor) advise(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(q.Body).Decode(&c) != nil || len(c.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(adviceDecide + time.Duration(len(c.Workers))*adviceEach)
	good := [][2]string{}
	j, _ := a.lab.world.stepOf(c.Step + ".0")
	for _, id := range c.Workers {
		n, m := a.lab.machineOf(id)
		if m == nil || j == nil || (j.allowed != nil && !j.allowed(n)) {
			continue
		}
		a.mu.Lock()
		text := fmt.Sprintf("t-%06d", len(a.tickets))
		a.tickets[text] = ticket{c.Step, id, m.born(), time.Now().Add(adviceValid)}
		a.mu.Unlock()
		good = append(good, [2]string{id, text})
	}
	a.lab.world.note("advice", "%s: asked for %d runners, %d of them may run it", c.Step, len(c.Workers), len(good))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": adviceValid.Milliseconds()}) // The caller may have left.
}

// isValid reports whether the ticket allows the task on the life of the runner.
func (a *advisor) isValid(text, task, runner string, born int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[text]
	return ok && strings.HasPrefix(task, t.step+".") && t.runner == runner && t.born == born && time.Now().Before(t.until)
}

// machineOf returns the machine with the runner, with its number in the order of the ids.
func (l *lab) machineOf(id string) (int, *machine) {
	i, ok := slices.BinarySearchFunc(l.machines, id, func(m *machine, id string) int { return cmp.Compare(m.id(), id) })
	if !ok {
		return 0, nil
	}
	return i, l.machines[i]
}

func (m *machine) id() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runner.id
}

func (m *machine) born() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runner.born
}

// Times and sizes of the case "advice".
const (
	adviceAllowed = 5
	adviceFinish  = 14 * time.Second
)

// playAdvice submits jobs to a queue whose policy allows only some of the runners.
func playAdvice(l *lab) error {
	allowed := func(n int) bool { return n < adviceAllowed }
	if trouble {
		allowed = func(n int) bool { return n >= len(l.machines)-adviceAllowed }
	}
	var jobs []*job
	for range 5 {
		j := l.newJob(step{Count: 2, CPU: 500, MemMB: 64, EstimateMS: 500, Work: 500 * time.Millisecond})
		j.allowed = allowed
		if l.submit(j, callTimeout) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		return errors.New("no job was accepted")
	}
	time.Sleep(adviceFinish)
	l.checkIdle(jobs, adviceFinish)
	return nil
}

// checkIdle checks that none of the jobs has nothing running for idleSpan. The runners
// that may run them have more than twice the room for each.
func (l *lab) checkIdle(jobs []*job, after time.Duration) {
	idle := map[string]bool{}
	for _, j := range jobs {
		idle[j.ID] = true
	}
	for end := time.Now().Add(idleSpan); time.Now().Before(end); time.Sleep(watchPoll) {
		for _, j := range jobs {
			if l.world.atWork(j.ID) > 0 || l.world.doneTasks(j.ID) == j.Steps[0].Count {
				delete(idle, j.ID)
			}
		}
	}
	for id := range idle {
		l.world.fault("LOST", "%s was accepted, and %s after the end of the traffic nothing of it runs for %s, with %d of %d thousandths of cores in use", id, after, idleSpan, l.usedCPU(), l.totalCPU())
	}
}
