package ruler

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
)

// Times of following.
const (
	// feedWait is how long a feed waits for changes. A connection that fell
	// silent is noticed soon after it, within the time in which rules must be
	// in force.
	feedWait  = cowslipbend.Second
	feedPause = 150 * cowslipbend.Millisecond
)

// Source is where the rules are written.
type Source struct {
	Feed  cowslipbend.Feed
	Table string
	Key   string
	// Decode reads the row's value.
	Decode func([]byte) (*cowslipbend.Rules, error)
}

// Ruler keeps the newest rules.
type Ruler struct {
	source Source
	clock  cowslipbend.Clock
	log    hclog.Logger
	mu     sync.Mutex
	rules  *cowslipbend.Rules
	done   chan struct{}
}

// New returns a ruler without rules.
func New(s Source, clock cowslipbend.Clock, log hclog.Logger) *Ruler {
	return &Ruler{source: s, clock: clock, log: log, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (r *Ruler) Done() <-chan struct{} { return r.done }

// Rules returns the rules in force, or nil.
func (r *Ruler) Rules() *cowslipbend.Rules {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules
}

// Run follows the rules until the context ends.
func (r *Ruler) Run(ctx context.Context) error {
	defer close(r.done)
	var version int64
	lost := false
	for ctx.Err() == nil {
		changes, err := cowslipbend.Read(ctx, r.source.Feed, r.source.Table, version, feedWait)
		if err != nil {
			if !lost {
				r.log.Warn("rules are not followed", "error", err)
			}
			lost, version = true, 0
			select {
			case <-ctx.Done():
			case <-r.clock.After(feedPause):
			}
			continue
		}
		if lost {
			r.log.Info("rules are followed again")
		}
		lost, version = false, changes.Version
		for _, row := range changes.Rows {
			if row.Key == r.source.Key {
				r.adopt(row)
			}
		}
	}
	return nil
}

func (r *Ruler) adopt(row cowslipbend.Row) {
	rules, err := r.source.Decode(row.Value)
	if err != nil {
		r.log.Warn("rules passed over", "version", row.Version, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rules != nil && rules.Version <= r.rules.Version {
		return
	}
	r.rules = rules
	r.log.Info("rules in force", "version", rules.Version, "row", row.Version, "queues", len(rules.Queues))
}
