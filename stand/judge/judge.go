// Package judge checks the invariants of the system under test. It relies only on
// events that the simulated callers, endpoints and workers observe, never on the
// system's own statements, except for the outcomes of jobs given to Lost. A Judge
// collects the events of its own process and, by its Handler, those that Clients
// of other processes post. A Verdict counts the violations.
package judge

import (
	"sync"
)

// Judge collects events. It is safe for concurrent use.
type Judge struct {
	mu          sync.Mutex
	events      []Event
	lastContact map[string]Moment // last post of each process, by its incarnation
}

// New returns a judge without events.
func New() *Judge { return &Judge{lastContact: map[string]Moment{}} }

// Record adds an event. An event without a time gets the present.
func (j *Judge) Record(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, e)
}

// RecordContact updates the time of the last post by a process, given its
// incarnation. Attempts for which the process posted no end are taken to have
// ended at its last post.
func (j *Judge) RecordContact(life string, at Moment) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastContact[life] = max(j.lastContact[life], at)
}

// History returns all events so far in the order of their times.
func (j *Judge) History() History {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := History{Events: append([]Event(nil), j.events...), Lives: map[string]Moment{}}
	for life, at := range j.lastContact {
		h.Lives[life] = at
	}
	h.sort()
	return h
}
