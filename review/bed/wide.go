package main

import (
	"fmt"
	"time"
)

func init() { cases["wide"] = playWide }

// wideTasks is the number of tasks of the large job, which the system accepts.
const wideTasks = 4000

// smallJobs hands small jobs in, waits for finish_s, and returns those that were accepted and
// of which nothing has run in that time.
func (b *bed) smallJobs(count int) (accepted, idle []string) {
	for range count {
		id := newID()
		if b.submit(id, job("ms=300", 2, `,"cpu":100,"mem_mb":64,"estimate_ms":300`)) {
			accepted = append(accepted, id)
		}
	}
	b.record.say("%d small jobs accepted", len(accepted))
	time.Sleep(14 * time.Second)
	for _, id := range accepted {
		state, starts := b.state(id), b.ledger.startsOf(id)
		b.record.add("%s is %s, %d starts", id, state, starts)
		if state != "done" && starts == 0 {
			idle = append(idle, id)
		}
	}
	return accepted, idle
}

// playWide has a client hand in one large job whose tasks save their progress.
func playWide(b *bed, trouble bool) (broken []string, err error) {
	if err := b.startFleet(3, 6); err != nil {
		return nil, err
	}
	for _, r := range b.runners {
		r.quiet = true
	}
	if trouble {
		id := newID()
		if !b.submit(id, job("ms=20000 spread=80000 save=2000", wideTasks, `,"cpu":3,"mem_mb":8,"estimate_ms":60000,"saves_progress":true`)) {
			return nil, fmt.Errorf("large job was not accepted")
		}
		time.Sleep(25 * time.Second)
		b.record.say("large job %s is %s, %d starts", id, b.state(id), b.ledger.startsOf(id))
	}
	for range 2 {
		accepted, idle := b.smallJobs(5)
		if len(idle) > 0 {
			broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for 14 s", len(idle), len(accepted)))
		}
	}
	b.record.say("store: refused %d transactions, largest rows %v", b.store.refused, b.store.largest)
	return broken, nil
}
