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

// Times and bounds of a recorder.
const (
	period   = 10 * cowslipbend.Second // between two writes
	keep     = 73                      // hours
	coarsen  = 2                       // hours after which an hour loses its minutes
	maxTrim  = 100                     // old rows deleted with one write
	maxNames = 500                     // services in one hour
)

// hour numbers the hours since the Unix epoch.
type hour int64

// minute numbers the minutes since the Unix epoch.
type minute int64

const perHour = 60 // minutes

func minuteOf(wall cowslipbend.Time) minute {
	return minute(wall / cowslipbend.Time(cowslipbend.Minute))
}

func (m minute) hour() hour { return hour(m / perHour) }

// buckets holds the counts of an hour by service and minute.
type buckets map[cowslipbend.ServiceID]map[minute]Counts

// page is one hour of a recorder.
type page struct {
	buckets buckets
	dirty   bool
}

// Recorder counts requests in one life of an entry and writes the counts to
// the table. It is safe for concurrent use.
//
// Each hour has a row that only this life of this entry writes, so that a
// write needs no condition and may be repeated after a lost answer.
type Recorder struct {
	entry  cowslipbend.EntryID
	life   cowslipbend.Incarnation
	table  cowslipbend.Table
	clock  cowslipbend.Clock
	log    hclog.Logger
	bounds atomic.Pointer[map[cowslipbend.ServiceID]cowslipbend.Span]
	done   chan struct{}

	mu    sync.Mutex
	pages map[hour]*page
	swept hour
}

// NewRecorder returns a recorder that has counted nothing.
func NewRecorder(entry cowslipbend.EntryID, life cowslipbend.Incarnation, table cowslipbend.Table, clock cowslipbend.Clock, log hclog.Logger) *Recorder {
	r := &Recorder{
		entry: entry, life: life, table: table, clock: clock, log: log,
		done: make(chan struct{}), pages: map[hour]*page{},
	}
	r.bounds.Store(&map[cowslipbend.ServiceID]cowslipbend.Span{})
	return r
}

// Declare takes the services of a newer set.
func (r *Recorder) Declare(set *cowslipbend.Set) {
	bounds := make(map[cowslipbend.ServiceID]cowslipbend.Span, len(set.Services))
	for i := range set.Services {
		bounds[set.Services[i].Name] = set.Services[i].Objective.P99
	}
	r.bounds.Store(&bounds)
}

// Count counts a request and returns its cause. A request of a service that
// is not declared is not counted and has the empty cause.
func (r *Recorder) Count(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, kind cowslipbend.Kind, took time.Duration) Cause {
	bound, declared := (*r.bounds.Load())[service]
	if !declared {
		return none
	}
	cause := Classify(outcome, kind, took, bound)
	if cause == none {
		return none
	}
	now := minuteOf(r.clock.Wall())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.page(now.hour()).add(service, now, cause)
	return cause
}

func (r *Recorder) page(h hour) *page {
	p, ok := r.pages[h]
	if !ok {
		p = &page{buckets: buckets{}}
		r.pages[h] = p
	}
	return p
}

func (p *page) add(service cowslipbend.ServiceID, m minute, cause Cause) {
	minutes, ok := p.buckets[service]
	if !ok {
		if len(p.buckets) >= maxNames {
			return
		}
		minutes = map[minute]Counts{}
		p.buckets[service] = minutes
	}
	c := minutes[m]
	c.add(cause)
	minutes[m] = c
	p.dirty = true
}

// Run writes the counts until the context ends, and once more then.
func (r *Recorder) Run(ctx context.Context) error {
	defer close(r.done)
	err := timer.Every(ctx, r.clock, period, func(ctx context.Context) error {
		r.Write(ctx)
		return nil
	})
	r.Write(context.WithoutCancel(ctx))
	return err
}

// Done is closed when Run has returned.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Write writes the hours that have changed, in one transaction. What a store
// that is out does not take is written by a later call.
func (r *Recorder) Write(ctx context.Context) {
	now := minuteOf(r.clock.Wall()).hour()
	txn := cowslipbend.Txn{Dels: r.old(ctx, now)}
	written := r.collect(now, &txn)
	if len(txn.Puts)+len(txn.Dels) == 0 {
		return
	}
	if _, err := r.table.Commit(ctx, txn); err != nil {
		r.log.Debug("counts wait for the store", "error", err)
		r.restore(written)
	}
}

// collect puts the changed hours into the transaction and drops those that
// are no longer reported.
func (r *Recorder) collect(now hour, txn *cowslipbend.Txn) []hour {
	r.mu.Lock()
	defer r.mu.Unlock()
	var written []hour
	for h, p := range r.pages {
		if h < now-keep {
			delete(r.pages, h)
			continue
		}
		if h <= now-coarsen {
			p.coarsen()
		}
		if !p.dirty {
			continue
		}
		p.dirty = false
		written = append(written, h)
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: r.key(h), Value: encode(p.buckets)})
	}
	return written
}

// restore marks hours as changed that were not written.
func (r *Recorder) restore(hours []hour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hours {
		if p, ok := r.pages[h]; ok {
			p.dirty = true
		}
	}
	r.swept = 0
}

// old returns rows that are no longer reported. It looks once an hour.
func (r *Recorder) old(ctx context.Context, now hour) []string {
	r.mu.Lock()
	swept := r.swept
	r.mu.Unlock()
	if swept == now {
		return nil
	}
	rows, err := r.table.Scan(ctx, prefix, "", maxTrim)
	if err != nil {
		return nil
	}
	var keys []string
	for _, row := range rows {
		if h, ok := hourOf(row.Key); ok && h < now-keep {
			keys = append(keys, row.Key)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(keys) < maxTrim {
		r.swept = now
	}
	return keys
}

// coarsePart is the resolution of an hour that is no longer recent.
const coarsePart = 10 // minutes

// coarsen sums the minutes of an hour into parts of ten.
func (p *page) coarsen() {
	for service, minutes := range p.buckets {
		coarse := map[minute]Counts{}
		for m, c := range minutes {
			at := m - m%coarsePart
			coarse[at] = coarse[at].Plus(c)
		}
		if len(coarse) < len(minutes) {
			p.dirty = true
		}
		p.buckets[service] = coarse
	}
}
