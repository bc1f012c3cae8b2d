package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const callTimeout = 3 * time.Second

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// call sends a request to a front and returns the status, or 0 without an answer.
func (l *lab) call(method, front, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = hostName
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(wire["header.wait"], fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := callers.Do(q)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (l *lab) front() string { return l.fronts[rand.IntN(len(l.fronts))] }

// newJob makes a job with an id.
func (l *lab) newJob(steps ...step) *job {
	j := &job{ID: fmt.Sprintf("%016x", rand.Uint64()), Spec: fmt.Sprintf("spec %x", rand.Uint32()), Steps: steps}
	l.world.addJob(j)
	return j
}

// submit sends a job until it is accepted, at most for the span, and reports whether
// it is.
func (l *lab) submit(j *job, within time.Duration) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		code, data := l.call(http.MethodPost, l.front(), routePrefix+j.ID, body)
		l.world.note("submit", "%s: %d %s", j.ID, code, bytes.TrimSpace(data))
		switch {
		case code/100 == 2:
			return true
		case code/100 == 4 && code != http.StatusTooManyRequests && code != http.StatusNotFound:
			return false
		}
	}
	return false
}

// state asks for the state of a job. It is empty if no entry tells it.
func (l *lab) state(j *job) string {
	code, data := l.call(http.MethodGet, l.front(), routePrefix+j.ID, nil)
	var answer map[string]string
	if code != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		l.world.note("state", "%s: %d", j.ID, code)
		return ""
	}
	l.world.note("state", "%s: %s", j.ID, answer[wire["state"]])
	return answer[wire["state"]]
}

// await polls the state of a job until it is the wanted one, at most for the span.
func (l *lab) await(j *job, want string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if l.state(j) == want {
			return true
		}
	}
	return false
}

// ready waits until a small job has run, so that the system is up.
func (l *lab) ready() bool {
	j := l.newJob(step{Count: 1, CPU: 100, MemMB: 16, EstimateMS: 100, Work: 100 * time.Millisecond})
	return l.submit(j, 15*time.Second) && l.await(j, "done", 15*time.Second)
}
