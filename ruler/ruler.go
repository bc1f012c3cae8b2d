package ruler

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
)

const (
	// pollTimeout is how long one call of the feed waits for changes. A dead
	// connection is detected shortly after it, within the time in which new
	// rules must be in force.
	pollTimeout = cowslipbend.Second
	retryDelay  = 150 * cowslipbend.Millisecond
	// warnInterval is the time between log lines while reads fail.
	warnInterval = 5 * cowslipbend.Second
)

// Source locates and decodes the row that holds the rules.
type Source struct {
	Feed  cowslipbend.Feed
	Table string
	Key   string
	// Decode decodes the row's value.
	Decode func([]byte) (*cowslipbend.Rules, error)
	// Observe is called with all that is read of the table, unless it is nil.
	// With whole set, the rows are all that the table has. The read began at
	// askedAt.
	Observe func(changes *cowslipbend.Changes, whole bool, askedAt cowslipbend.Time)
}

// Ruler holds the newest rules. It is safe for concurrent use.
type Ruler struct {
	source Source
	clock  cowslipbend.Clock
	log    hclog.Logger
	mu     sync.Mutex
	rules  *cowslipbend.Rules
	// readAt is when the table was last read to its end.
	readAt cowslipbend.Time
	done   chan struct{}
}

// New returns a ruler that has no rules until Run reads them.
func New(s Source, clock cowslipbend.Clock, log hclog.Logger) *Ruler {
	return &Ruler{source: s, clock: clock, log: log, readAt: clock.Now(), done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (r *Ruler) Done() <-chan struct{} { return r.done }

// Rules returns the rules in force, or nil before the first were read.
func (r *Ruler) Rules() *cowslipbend.Rules {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules
}

// Version returns the version of the rules in force, or zero before the first were
// read.
func (r *Ruler) Version() int64 {
	if rules := r.Rules(); rules != nil {
		return rules.Version
	}
	return 0
}

// ReadAge returns the time since the table was last read to its end, or since the
// ruler was made. The rules in force may be out of date by as much.
func (r *Ruler) ReadAge() cowslipbend.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Sub(r.readAt)
}

// Run watches the table and adopts newer rules until the context is done.
// After an error it reads the whole table again.
func (r *Ruler) Run(ctx context.Context) error {
	defer close(r.done)
	var version int64
	var failures failureLog
	for ctx.Err() == nil {
		askedAt := r.clock.Now()
		changes, err := cowslipbend.Read(ctx, r.source.Feed, r.source.Table, version, pollTimeout)
		if err != nil {
			r.recordFailure(&failures, err)
			version = 0
			select {
			case <-ctx.Done():
			case <-r.clock.After(retryDelay):
			}
			continue
		}
		r.recordRead(&failures)
		if r.source.Observe != nil {
			r.source.Observe(&changes, version == 0, askedAt)
		}
		version = changes.Version
		for _, row := range changes.Rows {
			if row.Key == r.source.Key {
				r.adopt(row)
			}
		}
	}
	return nil
}

// failureLog tells which of a series of failed reads have been logged.
type failureLog struct {
	count    int
	loggedAt cowslipbend.Time
}

// recordFailure logs the first failure of a series, and one at each warnInterval.
func (r *Ruler) recordFailure(f *failureLog, err error) {
	now := r.clock.Now()
	f.count++
	if f.count > 1 && now.Sub(f.loggedAt) < warnInterval {
		return
	}
	f.loggedAt = now
	r.log.Warn("cannot read changes of the rules table; keeping the rules in force", "version", r.Version(), "age", r.ReadAge().String(), "failures", f.count, "error", err)
}

// recordRead ends a series of failures.
func (r *Ruler) recordRead(f *failureLog) {
	if f.count > 0 {
		r.log.Info("reading changes of the rules table has recovered", "age", r.ReadAge().String(), "failures", f.count)
	}
	*f = failureLog{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = r.clock.Now()
}

func (r *Ruler) adopt(row cowslipbend.Row) {
	rules, err := r.source.Decode(row.Value)
	if err != nil {
		r.log.Warn("cannot decode a row of rules; keeping the rules in force", "version", row.Version, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rules != nil && rules.Version <= r.rules.Version {
		return
	}
	r.rules = rules
	r.log.Info("new rules in force", "version", rules.Version, "row", row.Version, "queues", len(rules.Queues))
}
