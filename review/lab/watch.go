package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Times and sizes of the case "watch".
const (
	watchJobs   = 24
	watchStart  = 20 * time.Second // for all tasks to be at work
	watchCalm   = 8 * time.Second  // at work before they fail
	watchFails  = 30 * time.Second // in which each task fails once
	watchSpan   = 50 * time.Second // from the first failure
	restartSpan = 6 * time.Second  // from the last run of a task that lasts
	idleSpan    = 3 * time.Second  // for which nothing of the job may run after that
	calmSpan    = 4 * time.Second  // without a failure before that
	watchPoll   = 50 * time.Millisecond
)

// playWatch submits jobs with one task each that lasts, and has these tasks fail once,
// one after the other.
func playWatch(l *lab) error {
	var jobs []*job
	for range watchJobs {
		j := l.newJob(step{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 400, Perpetual: true})
		if !l.submit(j, callTimeout) {
			return errors.New("a job was not accepted")
		}
		jobs = append(jobs, j)
	}
	for end := time.Now().Add(watchStart); l.working(jobs) < len(jobs); time.Sleep(watchPoll) {
		if time.Now().After(end) {
			return fmt.Errorf("only %d tasks are at work", l.working(jobs))
		}
	}
	time.Sleep(watchCalm)
	calmFrom := time.Now()
	if trouble {
		calmFrom = calmFrom.Add(watchFails + calmSpan + idleSpan)
		for i, j := range jobs {
			group.Go(func() { l.failAfter(j, time.Duration(i)*watchFails/watchJobs) })
		}
	}
	idleSince, broken := map[string]time.Time{}, map[string]bool{}
	for end := time.Now().Add(watchSpan); time.Now().Before(end); time.Sleep(watchPoll) {
		for _, j := range jobs {
			switch since := idleSince[j.ID]; {
			case l.world.atWork(j.ID) > 0:
				delete(idleSince, j.ID)
			case since.IsZero():
				idleSince[j.ID] = time.Now()
			case time.Since(since) > restartSpan+idleSpan && time.Now().After(calmFrom) && !broken[j.ID]:
				broken[j.ID] = true
				l.world.fault("LOST", "the task of %s that lasts has not run for %s, the last %s without a failure, with %d of %d thousandths of cores in use", j.ID, time.Since(since).Round(watchPoll), calmSpan+idleSpan, l.usedCPU(), l.totalCPU())
			}
		}
	}
	l.world.note("case", "%d of %d tasks are at work at the end", l.working(jobs), len(jobs))
	return nil
}

// working returns how many of the jobs have a task at work.
func (l *lab) working(jobs []*job) int {
	n := 0
	for _, j := range jobs {
		n += min(l.world.atWork(j.ID), 1)
	}
	return n
}

func (l *lab) usedCPU() int {
	sum := 0
	for _, m := range l.machines {
		m.mu.Lock()
		r := m.runner
		m.mu.Unlock()
		r.mu.Lock()
		sum += r.used
		r.mu.Unlock()
	}
	return sum
}

func (l *lab) totalCPU() int {
	sum := 0
	for _, m := range l.machines {
		sum += m.cpu
	}
	return sum
}

// failAfter has the runs of a job fail once after the span.
func (l *lab) failAfter(j *job, span time.Duration) {
	time.Sleep(span)
	for _, m := range l.machines {
		m.mu.Lock()
		r := m.runner
		m.mu.Unlock()
		r.mu.Lock()
		for task, x := range r.runs {
			if strings.HasPrefix(task, j.ID+".") {
				r.end(x, "failed")
			}
		}
		r.mu.Unlock()
	}
}
