package main

import (
	"errors"
	"time"
)

// Times of the case "crash".
const (
	crashWork = 4 * time.Second
	crashAge  = 3 * time.Second // of a run when it crashes its runner
	crashSpan = 60 * time.Second
	crashPoll = 500 * time.Millisecond
)

// playCrash submits a job whose only task crashes each runner some time after its start.
func playCrash(l *lab) error {
	j := l.newJob(step{Count: 1, CPU: 500, MemMB: 64, EstimateMS: int(crashWork.Milliseconds()), Work: crashWork, CrashAfter: crashAge})
	if !l.submit(j, callTimeout) {
		return errors.New("the job was not accepted")
	}
	for end := time.Now().Add(crashSpan); time.Now().Before(end); time.Sleep(crashPoll) {
		if s := l.state(j); s == "done" || s == "failed" || len(l.world.broken()) > 0 {
			return nil
		}
	}
	return nil
}
