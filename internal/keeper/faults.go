package keeper

import (
	"context"
	"math/rand/v2"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Fault is the way in which a write fails.
type Fault int

// The faults of a write.
const (
	// Pass applies the write and returns its result: no fault.
	Pass Fault = iota
	// Refuse does not apply the write and returns KindDown.
	Refuse
	// LoseReply applies the write and returns KindUnknown.
	LoseReply
	// LoseRequest does not apply the write and returns KindUnknown.
	LoseRequest
)

// Faults makes a table and an object store fail on demand. Its methods are safe
// for concurrent use. The same seed gives the same faults to the same sequence of
// writes.
type Faults struct {
	clock cowslipbend.Clock

	mu       sync.Mutex
	rnd      *rand.Rand
	down     bool
	delay    cowslipbend.Span // of each call
	lossRate float64          // share of writes that get LoseReply
	script   []Fault          // of the next writes
}

// NewFaults returns a Faults that causes no faults yet.
func NewFaults(seed uint64, clock cowslipbend.Clock) *Faults {
	return &Faults{clock: clock, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// SetDown sets whether the store is down, so that all calls return KindDown.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay delays every call by the span.
func (f *Faults) SetDelay(delay cowslipbend.Span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// SetLossRate sets the share of writes, from 0 to 1, that are applied and return
// KindUnknown, chosen at random.
func (f *Faults) SetLossRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = rate
}

// ScriptFaults appends faults to the script, which the next writes take in order.
func (f *Faults) ScriptFaults(script ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = append(f.script, script...)
}

func unavailableError() error {
	return cowslipbend.Fail(cowslipbend.KindDown, "store is unavailable", "wait for the platform's store")
}

func lostReplyError() error {
	return cowslipbend.Fail(cowslipbend.KindUnknown, "reply of the store was lost", "read the rows again to learn the effect")
}

// wait delays a call and returns an error while the store is down.
func (f *Faults) wait(ctx context.Context) error {
	f.mu.Lock()
	delay, down := f.delay, f.down
	f.mu.Unlock()
	if down {
		return unavailableError()
	}
	if delay > 0 && !timer.Sleep(ctx, f.clock, delay) {
		return lostReplyError()
	}
	return nil
}

// nextFault returns the fault of the next write.
func (f *Faults) nextFault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.script) > 0 {
		next := f.script[0]
		f.script = f.script[1:]
		return next
	}
	if f.lossRate > 0 && f.rnd.Float64() < f.lossRate {
		return LoseReply
	}
	return Pass
}

// apply calls write, unless a fault prevents it, and returns the error that the
// caller sees.
func (f *Faults) apply(ctx context.Context, write func() error) error {
	if err := f.wait(ctx); err != nil {
		return err
	}
	fault := f.nextFault()
	switch fault {
	case Refuse:
		return unavailableError()
	case LoseRequest:
		return lostReplyError()
	case Pass, LoseReply:
	}
	err := write()
	if fault == LoseReply {
		return lostReplyError()
	}
	return err
}

// Table returns the table with these faults.
func (f *Faults) Table(t cowslipbend.Table) cowslipbend.Table { return faultyTable{f, t} }

// Objects returns the object store with these faults.
func (f *Faults) Objects(o cowslipbend.Objects) cowslipbend.Objects { return faultyObjects{f, o} }

type faultyTable struct {
	faults *Faults
	next   cowslipbend.Table
}

func (t faultyTable) Get(ctx context.Context, key string) (cowslipbend.Row, error) {
	if err := t.faults.wait(ctx); err != nil {
		return cowslipbend.Row{}, unavailableError()
	}
	return t.next.Get(ctx, key)
}

func (t faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	if err := t.faults.wait(ctx); err != nil {
		return nil, unavailableError()
	}
	return t.next.Scan(ctx, prefix, after, limit)
}

func (t faultyTable) Commit(ctx context.Context, txn cowslipbend.Txn) (version int64, err error) {
	err = t.faults.apply(ctx, func() error {
		version, err = t.next.Commit(ctx, txn)
		return err
	})
	if err != nil {
		version = 0
	}
	return version, err
}

type faultyObjects struct {
	faults *Faults
	next   cowslipbend.Objects
}

func (o faultyObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.faults.apply(ctx, func() error { return o.next.Put(ctx, name, data) })
}

func (o faultyObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.faults.wait(ctx); err != nil {
		return nil, unavailableError()
	}
	return o.next.Get(ctx, name)
}

func (o faultyObjects) Delete(ctx context.Context, name string) error {
	return o.faults.apply(ctx, func() error { return o.next.Delete(ctx, name) })
}
