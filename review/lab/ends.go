package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Times and sizes of the case "ends".
const (
	endsTasks = 3000 // 1,000 on each runner; a list of ends holds 500
	endsWork  = 8 * time.Second
	endsLead  = 50 * time.Millisecond // from the kill to the first end
)

// playEnds submits a job with many small tasks, and kills the process that leads just
// before they end.
func playEnds(l *lab) error {
	j := l.newJob(step{Count: endsTasks, CPU: 15, MemMB: 1, EstimateMS: int(endsWork.Milliseconds()), Work: endsWork})
	began := time.Now()
	if !l.submit(j, callTimeout) {
		return errors.New("the job was not accepted")
	}
	for l.world.atWork(j.ID) < endsTasks {
		if time.Since(began) > endsWork-endsLead {
			return fmt.Errorf("only %d tasks were started in time", l.world.atWork(j.ID))
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Until(l.world.firstStart(j.ID).Add(endsWork - endsLead)))
	if trouble {
		n, p := l.leader()
		l.world.note("kill", "entry%d, which leads", n)
		p.signal(syscall.SIGKILL)
		p.end()
		time.Sleep(time.Second)
		if err := p.start(); err != nil {
			return err
		}
	}
	if !l.await(j, "done", 30*time.Second) {
		l.world.note("case", "the job is not done")
	}
	return nil
}
