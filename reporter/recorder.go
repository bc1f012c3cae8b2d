package reporter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Intervals and bounds of a recorder.
const (
	writeInterval = 10 * cowslipbend.Second
	retention     = 73  // hours
	coarsenAfter  = 2   // hours after which an hour is reduced to coarseMinutes
	maxDeletes    = 100 // expired rows deleted by one write
	maxServices   = 500 // services counted in one hour
)

// hour numbers the hours since the Unix epoch.
type hour int64

// minute numbers the minutes since the Unix epoch.
type minute int64

const minutesPerHour = 60 // minutes

func minuteOf(wall cowslipbend.Time) minute {
	return minute(wall / cowslipbend.Time(cowslipbend.Minute))
}

func (m minute) hour() hour { return hour(m / minutesPerHour) }

// buckets holds the counts of an hour by service and minute.
type buckets map[cowslipbend.ServiceID]map[minute]Counts

// hourCounts holds the counts of one hour.
type hourCounts struct {
	buckets buckets
	dirty   bool // has changes that are not written
}

// Recorder counts the requests of one incarnation of an entry and writes the
// counts to the table. It is safe for concurrent use.
//
// Each hour has a row that only this incarnation writes, so that writes need
// no condition and can be repeated if the response was lost.
type Recorder struct {
	entry        cowslipbend.EntryID
	incarnation  cowslipbend.Incarnation
	table        cowslipbend.Table
	clock        cowslipbend.Clock
	log          hclog.Logger
	maxLatencies atomic.Pointer[map[cowslipbend.ServiceID]cowslipbend.Span]
	done         chan struct{}

	mu    sync.Mutex
	hours map[hour]*hourCounts
	// sweptHour is the hour of the last complete scan for expired rows; zero has
	// the next write scan again.
	sweptHour hour
}

// NewRecorder returns a recorder without counts or services.
func NewRecorder(entry cowslipbend.EntryID, incarnation cowslipbend.Incarnation, table cowslipbend.Table, clock cowslipbend.Clock, log hclog.Logger) *Recorder {
	r := &Recorder{
		entry: entry, incarnation: incarnation, table: table, clock: clock, log: log,
		done: make(chan struct{}), hours: map[hour]*hourCounts{},
	}
	r.maxLatencies.Store(&map[cowslipbend.ServiceID]cowslipbend.Span{})
	return r
}

// SetServices replaces the services that are counted, and their objectives, by
// those of the set.
func (r *Recorder) SetServices(set *cowslipbend.Set) {
	maxLatencies := make(map[cowslipbend.ServiceID]cowslipbend.Span, len(set.Services))
	for i := range set.Services {
		maxLatencies[set.Services[i].Name] = set.Services[i].Objective.P99
	}
	r.maxLatencies.Store(&maxLatencies)
}

// Count counts a request and returns its cause. An invalid request and one of
// an undeclared service are not counted and have the empty cause.
func (r *Recorder) Count(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, kind cowslipbend.Kind, latency time.Duration) Cause {
	maxLatency, declared := (*r.maxLatencies.Load())[service]
	if !declared {
		return notCounted
	}
	cause := Classify(outcome, kind, latency, maxLatency)
	if cause == notCounted {
		return notCounted
	}
	now := minuteOf(r.clock.Wall())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countsOf(now.hour()).add(service, now, cause)
	return cause
}

// countsOf returns the counts of an hour and creates them if needed. The
// caller must hold r.mu.
func (r *Recorder) countsOf(h hour) *hourCounts {
	counts, ok := r.hours[h]
	if !ok {
		counts = &hourCounts{buckets: buckets{}}
		r.hours[h] = counts
	}
	return counts
}

func (h *hourCounts) add(service cowslipbend.ServiceID, m minute, cause Cause) {
	minutes, ok := h.buckets[service]
	if !ok {
		if len(h.buckets) >= maxServices {
			return
		}
		minutes = map[minute]Counts{}
		h.buckets[service] = minutes
	}
	c := minutes[m]
	c.add(cause)
	minutes[m] = c
	h.dirty = true
}

// Run writes the counts every writeInterval until the context is done, and
// once more then.
func (r *Recorder) Run(ctx context.Context) error {
	defer close(r.done)
	err := timer.Every(ctx, r.clock, writeInterval, func(ctx context.Context) error {
		r.Write(ctx)
		return nil
	})
	r.Write(context.WithoutCancel(ctx))
	return err
}

// Done returns a channel that is closed when Run has returned.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Write writes the hours that have changed in one transaction. If that fails,
// the next call writes them again.
func (r *Recorder) Write(ctx context.Context) {
	now := minuteOf(r.clock.Wall()).hour()
	txn := cowslipbend.Txn{Dels: r.expiredKeys(ctx, now)}
	written := r.collectChanges(now, &txn)
	if len(txn.Puts)+len(txn.Dels) == 0 {
		return
	}
	if _, err := r.table.Commit(ctx, txn); err != nil {
		r.log.Debug("cannot write the request counts; the next write retries", "error", err)
		r.markUnwritten(written)
	}
}

// collectChanges adds the changed hours to the transaction, returns them and
// drops expired ones. It marks the hours as written.
func (r *Recorder) collectChanges(now hour, txn *cowslipbend.Txn) []hour {
	r.mu.Lock()
	defer r.mu.Unlock()
	var written []hour
	for h, counts := range r.hours {
		if h < now-retention {
			delete(r.hours, h)
			continue
		}
		if h <= now-coarsenAfter {
			counts.coarsen()
		}
		if !counts.dirty {
			continue
		}
		counts.dirty = false
		written = append(written, h)
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: r.rowKey(h), Value: encode(counts.buckets)})
	}
	return written
}

// markUnwritten marks hours as changed after a write that failed, and has the
// next write look for expired rows again.
func (r *Recorder) markUnwritten(hours []hour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hours {
		if counts, ok := r.hours[h]; ok {
			counts.dirty = true
		}
	}
	r.sweptHour = 0
}

// expiredKeys returns the keys of up to maxDeletes rows that are older than
// the retention. It scans the table once an hour, and again with the next write
// while there are more.
func (r *Recorder) expiredKeys(ctx context.Context, now hour) []string {
	r.mu.Lock()
	sweptHour := r.sweptHour
	r.mu.Unlock()
	if sweptHour == now {
		return nil
	}
	var keys []string
	last := ""
	for done := false; !done; {
		rows, err := r.table.Scan(ctx, keyPrefix, last, maxDeletes)
		if err != nil {
			r.log.Debug("cannot scan for expired request counts; the next write scans again", "error", err)
			return nil
		}
		done = len(rows) < maxDeletes
		for _, row := range rows {
			last = row.Key
			h, ok := hourOf(row.Key)
			if !ok {
				continue // The key is no hour, so that no expired row is to be found by it.
			}
			if h >= now-retention || len(keys) == maxDeletes {
				done = true // Keys are in the order of their hours.
				break
			}
			keys = append(keys, row.Key)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(keys) < maxDeletes {
		r.sweptHour = now
	}
	return keys
}

// coarseMinutes is the resolution of hours older than coarsenAfter.
const coarseMinutes = 10 // minutes

// coarsen merges the counts of an hour into intervals of coarseMinutes.
func (h *hourCounts) coarsen() {
	for service, minutes := range h.buckets {
		coarse := map[minute]Counts{}
		for m, c := range minutes {
			start := m - m%coarseMinutes
			coarse[start] = coarse[start].Plus(c)
		}
		if len(coarse) < len(minutes) {
			h.dirty = true
		}
		h.buckets[service] = coarse
	}
}
