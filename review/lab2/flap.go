package main

import (
	"fmt"
	"sync"
	"time"

	"cowslipbend.dev"
)

// playFlap has one of four runners go down and up by turns, with a period of 1.4 s for
// 6.5 s. The others have no room for the job that a client submits, which is sound.
func playFlap(f *fleet, trouble bool) ([]string, error) {
	if err := f.start(2, 4, 1700*cowslipbend.Millisecond); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	watch := f.submit(`{"spec":"lasting","steps":[{"count":3,"cpu":3200,"mem_mb":512,"estimate_ms":400,"perpetual":true}]}`)
	f.awaitStates([]*job{watch}, 5*time.Second, "running")
	time.Sleep(time.Second)
	m := f.idleMachine()
	if m == nil {
		return nil, fmt.Errorf("no machine is idle: %v", f.pool.RunningTasks())
	}
	var flapping sync.WaitGroup
	defer flapping.Wait()
	if trouble {
		flapping.Go(func() { f.flap(m) })
	}
	j := f.submit(`{"spec":"x","steps":[{"count":1,"cpu":2000,"mem_mb":512,"estimate_ms":1700}]}`)
	f.awaitStates([]*job{j}, 40*time.Second, "done", "failed", "cancelled")
	f.rec.add("job %s: %s", j.id, j.state)
	if state := f.ask(j); state != "done" {
		return []string{fmt.Sprintf("job %s, whose task no runner has reported as failed, is shown as %q", j.id, state)}, nil
	}
	return nil, nil
}

// idleMachine returns the machine that has started no task.
func (f *fleet) idleMachine() *machine {
	for _, m := range f.hosts {
		if f.pool.StartsOn(m.name) == 0 {
			return m
		}
	}
	return nil
}

// flap has the runner of a machine go down and up by turns.
func (f *fleet) flap(m *machine) {
	const half = 700 * time.Millisecond
	time.Sleep(half)
	for n := 1; n <= 4; n++ {
		m.crash()
		time.Sleep(half)
		if err := m.boot(fmt.Sprintf("i-%d-%d", m.number, n)); err != nil {
			f.rec.add("machine %d: %v", m.number, err)
			return
		}
		if n < 4 {
			time.Sleep(half)
		}
	}
}
