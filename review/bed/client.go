package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callTimeout is how long clients wait for an answer, as on the deployments' sheets.
const callTimeout = 3 * time.Second

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request of a client, and returns status 0 without a complete answer.
func (b *bed) call(method, front, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "jobs.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.Deadline, fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := clients.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // It has been read.
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// front returns the address of one of the entries.
func (b *bed) front() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fronts[rand.IntN(len(b.fronts))]
}

// submit hands a job in, and again after no answer or a refusal, four times at most. It
// reports whether the job was accepted.
func (b *bed) submit(id, body string) bool {
	for range 5 {
		code, _ := b.call(http.MethodPost, b.front(), "/run/"+id, body)
		b.record.add("POST %s: %d", id, code)
		if code >= 200 && code < 300 {
			return true
		}
		if code == http.StatusBadRequest || code == http.StatusNotFound {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or the status of another answer.
func (b *bed) state(id string) string {
	code, data := b.call(http.MethodGet, b.front(), "/run/"+id, "")
	var answer struct{ State string }
	if code != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return fmt.Sprintf("status %d", code)
	}
	return answer.State
}

// job returns the body of a job with one step.
func job(spec string, count int, fields string) string {
	text, _ := json.Marshal(spec)
	return fmt.Sprintf(`{"spec":%s,"steps":[{"count":%d%s}]}`, text, count, fields)
}
