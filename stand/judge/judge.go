// Package judge keeps the truth that only the stand-ins see: what ran, where
// and how often. The system under test is never asked. Judge keeps the events
// of one process or, behind Handler, those that Clients of other processes
// post; Verdict counts in them what must never happen.
package judge

import (
	"sync"
)

// Judge gathers events. It is safe for concurrent use.
type Judge struct {
	mu     sync.Mutex
	events []Event
	lives  map[string]Moment
}

// New returns a judge that has seen nothing.
func New() *Judge { return &Judge{lives: map[string]Moment{}} }

// Note takes an event. An event without a moment happens now.
func (j *Judge) Note(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, e)
}

// Alive notes that the life of a worker is heard from. What a life that fell
// silent for good left running is taken to end with its last word.
func (j *Judge) Alive(life string, at Moment) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lives[life] = max(j.lives[life], at)
}

// Events returns all events so far in the order of their moments.
func (j *Judge) Events() History {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := History{Events: append([]Event(nil), j.events...), Lives: map[string]Moment{}}
	for life, at := range j.lives {
		h.Lives[life] = at
	}
	h.sort()
	return h
}
