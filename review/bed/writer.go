package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["writer"] = playWriter }

// Times of playWriter.
const (
	// foreignInterval is the time between two heartbeats of the other writer at one agent, and
	// foreignTime how long it sends them.
	foreignInterval = 300 * time.Millisecond
	foreignTime     = 8 * time.Second
)

// playWriter has another writer send heartbeats to all agents, with a service that no config
// names, while the processes of the agents are killed and started again. Then the system is
// calm, and one job is handed in for each runner.
func playWriter(b *bed, trouble bool) (broken []string, err error) {
	b.ownRacks = true
	if err := b.startFleet(3, 6); err != nil {
		return nil, err
	}
	if trouble {
		var writers sync.WaitGroup
		end := time.Now().Add(foreignTime)
		for _, r := range b.runners {
			writers.Go(func() { r.sendForeign(end) })
		}
		time.Sleep(foreignTime / 2)
		b.record.say("the agents' processes are killed")
		agents := b.processes[len(b.entries):]
		for _, p := range agents {
			p.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, p := range agents {
			if err := p.start(); err != nil {
				return nil, err
			}
		}
		writers.Wait()
		b.record.say("the other writer has stopped")
	}
	time.Sleep(10 * time.Second)
	ids := map[string]*runner{}
	for _, r := range b.runners {
		id := newID()
		if !b.submit(id, job("ms=300", 1, fmt.Sprintf(`,"cpu":100,"mem_mb":64,"estimate_ms":300,"required_label":%q`, r.rack))) {
			return nil, fmt.Errorf("job was not accepted")
		}
		ids[id] = r
	}
	b.record.say("%d jobs accepted", len(ids))
	time.Sleep(14 * time.Second)
	idle := 0
	for id, r := range ids {
		state, starts := b.state(id), b.ledger.startsOf(id)
		b.record.say("job %s for the runner with the label %s is %s, %d starts", id, r.rack, state, starts)
		if state != "done" && starts == 0 {
			idle++
		}
	}
	if idle > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for 14 s, while the runners that may run them are empty", idle, len(ids)))
	}
	return broken, nil
}

// sendForeign sends heartbeats of another writer to the agent of the runner until the time.
func (r *runner) sendForeign(end time.Time) {
	client := &http.Client{Timeout: time.Second}
	for ; time.Now().Before(end); time.Sleep(foreignInterval) {
		beat := r.heartbeat()
		beat["service"] = "unnamed"
		body, err := json.Marshal(beat)
		if err != nil {
			panic(err)
		}
		resp, err := client.Post("http://"+r.control+wire.Beat+r.id, "application/json", bytes.NewReader(body))
		if err != nil {
			r.record.add("heartbeat of another writer for %s: no answer", r.id)
			continue // The agent is down.
		}
		_ = resp.Body.Close()
		r.record.add("heartbeat of another writer for %s: %d", r.id, resp.StatusCode)
	}
}
